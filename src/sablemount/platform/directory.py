"""Decodes the entries that the operator and the workers write to the store.

Others may write to the same topics. An incomplete or invalid entry yields no VM or configuration,
and each error is logged once.
"""

import ipaddress
import logging
import math
from collections import Counter
from collections.abc import Iterator
from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta

from sablemount.control.gate import key_digest
from sablemount.jobs.model import (
    AdviceTerms,
    Configuration,
    Organisation,
    Queue,
    QueueTerms,
    RequestLimits,
    Shape,
    VmInfo,
)
from sablemount.jobs.records import Record
from sablemount.platform.lives import incarnation_name, is_valid_id

__all__ = ["PlatformDirectory"]

CONFIG_KEY = "config"
OPERATOR_PREFIX = "op/"
WORKERS_PREFIX = "servers/"
DRAINING = "draining"
MAX_ID_LENGTH = 100
"""Longest worker id, in characters: a key that contains it may have at most 255 bytes."""
MAX_PORT = 65_535
MAX_LOGGED_KEYS = 500
"""Maximum number of keys whose last error is remembered, so that it is logged once."""
MS_PER_S = 1000.0

Count = Annotated[int, Meta(ge=0)]
Duration = Annotated[float, Meta(ge=0.0)]
Name = Annotated[str, Meta(min_length=1)]

_T = TypeVar("_T")
_logger = logging.getLogger("sablemount.platform.directory")


class Capacity(msgspec.Struct, frozen=True, rename="camel"):
    """Capacity of a worker, demand of a task or cap of an organisation."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def shape(self) -> Shape:
        """Convert to the product's shape."""
        return Shape(self.cpu, self.mem_mb, self.gpu)


class _WorkerCapacity(msgspec.Struct, frozen=True, rename="camel"):
    cpu: Count
    mem_mb: Count
    gpu: Count = 0

    def shape(self) -> Shape:
        """Convert to the product's shape."""
        return Shape(self.cpu, self.mem_mb, self.gpu)


class _Worker(msgspec.Struct, frozen=True, rename="camel"):
    """An entry of a worker, with all fields that every worker writes.

    Some are not used here, but their absence shows that an entry was written by something else.
    """

    service: Name
    addr: Name
    zone: str
    version: str
    slots: Count
    state: Literal["ready", "draining"]
    capacity: _WorkerCapacity
    seq: Count
    cold_left_ms: Duration = 0.0
    labels: tuple[str, ...] = ()
    machine: str = ""
    remaining_ms: Duration = 0.0
    born: Count = 0


class _Advice(msgspec.Struct, frozen=True, rename="camel"):
    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    host: str
    path_prefix: str
    service: str
    target_latency_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: _Advice | None = None
    public: bool = False


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    rejects_overload: bool = False
    max_conns: Count = 0


class _Tenant(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    api_keys: tuple[str, ...] = ()
    weight: float = 1.0
    cap: Capacity = Capacity()

    def organisation(self) -> Organisation:
        """Convert to the product's organisation."""
        digests = tuple(key_digest(key.encode()) for key in self.api_keys if key)
        return Organisation(self.name, digests, self.weight, self.cap.shape())


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: float = 0.0
    idle_timeout_ms: float = 0.0

    def limits(self) -> RequestLimits:
        """Convert to the product's limits."""
        return RequestLimits(
            self.max_header_bytes,
            self.max_body_bytes,
            self.header_timeout_ms / MS_PER_S,
            self.idle_timeout_ms / MS_PER_S,
        )


class _Configuration(msgspec.Struct, frozen=True, rename="camel"):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    tenants: tuple[_Tenant, ...] = ()
    limits: _Limits = _Limits()

    def errors(self) -> Iterator[str]:
        """Yield a description of each invalid value."""
        for tenant in self.tenants:
            if not tenant.name:
                yield "an organisation without a name"
            if min(tenant.cap.cpu, tenant.cap.mem_mb, tenant.cap.gpu) < 0:
                yield f"a cap below 0: {tenant.name}"
            if not 0.0 <= tenant.weight < math.inf:
                yield f"a weight below 0: {tenant.name}"
        names = Counter(tenant.name for tenant in self.tenants)
        for name, count in names.items():
            if count > 1:
                yield f"an organisation twice: {name}"


_WORKER = msgspec.json.Decoder(_Worker)
_CONFIGURATION = msgspec.json.Decoder(_Configuration)


class PlatformDirectory:
    """Decodes entries of workers and the operator; invalid ones are logged and ignored.

    With ``keyed``, callers need keys even if the configuration names no organisation.
    """

    def __init__(self, keyed: bool = False) -> None:
        self._keyed = keyed
        self._logged_errors: dict[str, str] = {}
        """The last error logged for an entry, by its key."""

    def vm(self, record: Record) -> VmInfo | None:
        """Decode a worker's entry."""
        entry = self._decode(_WORKER, record)
        if entry is None:
            return None
        name = record.key.removeprefix(WORKERS_PREFIX)
        if not _is_id(name) or not _is_address(entry.addr):
            self._log_once(record.key, "no id, or no address")
            return None
        return VmInfo(
            incarnation_name(name, entry.born),
            entry.addr,
            entry.service,
            entry.capacity.shape(),
            entry.labels,
            entry.state == DRAINING,
            entry.machine,
            entry.remaining_ms / MS_PER_S,
            entry.seq,
            name,
            entry.born,
        )

    def configuration(self, record: Record) -> Configuration | None:
        """Decode the configuration."""
        if record.key.removeprefix(OPERATOR_PREFIX) != CONFIG_KEY:
            return None
        entry = self._decode(_CONFIGURATION, record)
        if entry is None:
            return None
        error = next(entry.errors(), None)
        if error is not None:
            _logger.warning("configuration refused", extra={"version": entry.version, "why": error})
            return None
        return Configuration(
            entry.version,
            tuple(map(_queue, entry.routes)),
            frozenset(service.name for service in entry.services if service.rejects_overload),
            self._keyed or bool(entry.tenants),
            tuple(tenant.organisation() for tenant in entry.tenants),
            entry.limits.limits(),
            frozenset(service.name for service in entry.services),
            {service.name: service.max_conns for service in entry.services if service.max_conns},
        )

    def _decode(self, decoder: msgspec.json.Decoder[_T], record: Record) -> _T | None:
        """Decode a record's value; ``None`` if the record deletes its key or is invalid."""
        if not record.value:
            return None
        try:
            decoded = decoder.decode(record.value)
        except (msgspec.DecodeError, RecursionError) as error:
            self._log_once(record.key, str(error))
            return None
        self._logged_errors.pop(record.key, None)
        return decoded

    def _log_once(self, key: str, error: str) -> None:
        """Log an entry's error, unless it is the same as the last one of this key."""
        if self._logged_errors.get(key) == error:
            return
        if len(self._logged_errors) >= MAX_LOGGED_KEYS:
            self._logged_errors.clear()
        self._logged_errors[key] = error
        # A key written by something else may not be valid text.
        _logger.warning("undecodable", extra={"key": ascii(key), "error": ascii(error)})


def _is_id(name: str) -> bool:
    return is_valid_id(name) and 0 < len(name) <= MAX_ID_LENGTH


def _is_address(address: str) -> bool:
    """Return whether a string consists of an IPv4 address and a port."""
    host, _, port = address.rpartition(":")
    if not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def _queue(route: _Route) -> Queue:
    advice = None
    if route.advice is not None:
        given = route.advice
        advice = AdviceTerms(given.decide_ms, given.each_ms, given.valid_ms)
    terms = QueueTerms(
        route.name,
        route.service,
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_latency_ms,
        advice,
    )
    return Queue(route.host, route.path_prefix, terms, route.public)
