"""Settings of the daemon, read from a JSON file and checked against a published schema."""

import ipaddress
import json
from pathlib import Path
from typing import Annotated, Any, Literal, TypeAlias

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from sablemount.core.config import CoreSettings

__all__ = [
    "Address",
    "Limits",
    "LogSettings",
    "PeerAddress",
    "Settings",
    "SettingsError",
    "load_settings",
    "parse_settings",
    "settings_schema",
]

Address = Annotated[str, Meta(description="IP number and port, such as 127.0.0.1:8080")]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Seconds = Annotated[float, Meta(gt=0)]
MAX_PORT = 65_535


class PeerAddress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Another scheduler of the cell."""

    name: Name
    address: Address


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the HTTP interface and of the connections to workers."""

    max_body_bytes: Annotated[int, Meta(gt=0, le=64 * 1024 * 1024)] = 1024 * 1024
    default_deadline: Seconds = 10.0
    max_deadline: Seconds = 300.0
    worker_connections: Annotated[int, Meta(gt=0, le=64)] = 16
    stop_seconds: Seconds = 30.0


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Level and format of the daemon's log."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["text", "json"] = "text"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one scheduler process."""

    name: Name
    hall: str
    listen: Address
    peer_listen: Address
    log_service: Address
    vm_list: Address
    peers: tuple[PeerAddress, ...] = ()
    limits: Limits = Limits()
    logging: LogSettings = LogSettings()
    core: CoreSettings = CoreSettings()


class SettingsError(msgspec.Struct, frozen=True):
    """Describes the first problem found in a settings file: where it is, and the value there."""

    file: str
    path: str
    value: str
    problem: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: got {self.value}; {self.problem}"


SettingsResult: TypeAlias = Result[Settings, SettingsError]


def settings_schema() -> dict[str, Any]:
    """Return the JSON schema of the settings file."""
    return msgspec.json.schema(Settings)


def load_settings(path: Path) -> SettingsResult:
    """Read and validate a settings file."""
    try:
        payload = path.read_bytes()
    except OSError as error:
        return Err(SettingsError(str(path), "$", "no file", error.strerror or "unreadable"))
    return parse_settings(payload, str(path))


def parse_settings(payload: bytes, file: str) -> SettingsResult:
    """Decode and validate the contents of a settings file."""
    try:
        settings = msgspec.json.decode(payload, type=Settings)
    except msgspec.ValidationError as error:
        return Err(_describe_error(error, payload, file))
    except msgspec.DecodeError as error:
        return Err(SettingsError(file, "$", "malformed JSON", str(error)))
    return _check_settings(settings, file)


def _describe_error(error: msgspec.ValidationError, payload: bytes, file: str) -> SettingsError:
    message, _, path = str(error).partition(" - at ")
    path = path.strip("`") or "$"
    try:
        document = json.loads(payload)
    except ValueError as decode_error:
        return SettingsError(file, "$", "malformed JSON", str(decode_error))
    value = _value_at(document, path)
    problem = _enum_values_at(path) or message[0].lower() + message[1:]
    return SettingsError(file, path, json.dumps(value), problem)


def _enum_values_at(path: str) -> str:
    """Return a text that lists the enumerated values for a path, or an empty one."""
    schema = settings_schema()
    node: Any = schema
    for part in path.replace("[", ".[").split(".")[1:]:
        node = schema["$defs"].get(node.get("$ref", "").rpartition("/")[2], node)
        node = node.get("items", {}) if part.startswith("[") else node["properties"].get(part, {})
    return f"expected one of {', '.join(node['enum'])}" if "enum" in node else ""


def _value_at(document: Any, path: str) -> Any:
    """Return the value at a path such as ``$.peers[0].name``.

    Where the document lacks a part of the path, return the innermost value that exists.
    """
    value = document
    for part in path.replace("[", ".[").split(".")[1:]:
        try:
            value = value[int(part[1:-1])] if part.startswith("[") else value[part]
        except (KeyError, IndexError, TypeError, ValueError):
            break
    return value


def _check_settings(settings: Settings, file: str) -> SettingsResult:
    addresses = [
        ("$.listen", settings.listen),
        ("$.peer_listen", settings.peer_listen),
        ("$.log_service", settings.log_service),
        ("$.vm_list", settings.vm_list),
    ]
    addresses += [
        (f"$.peers[{index}].address", peer.address) for index, peer in enumerate(settings.peers)
    ]
    for path, address in addresses:
        if not _is_address(address):
            problem = "expected an IP number and a port, such as 127.0.0.1:8080"
            return Err(SettingsError(file, path, json.dumps(address), problem))
    if len({peer.name for peer in settings.peers}) != len(settings.peers):
        names = json.dumps([peer.name for peer in settings.peers])
        return Err(SettingsError(file, "$.peers", names, "expected distinct names"))
    return Ok(settings)


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdigit() and int(port) <= MAX_PORT
