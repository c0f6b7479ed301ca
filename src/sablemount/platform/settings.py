"""The settings file that the platform places for each process."""

import os
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from sablemount.control.member_settings import MemberSettings
from sablemount.control.standing import MachineLimits
from sablemount.jobs.settings import JobSettings

__all__ = ["BootSettings", "SettingsFault", "load", "member_settings"]

PATH_VARIABLE = "SABLEMOUNT_BOOT"
METRICS_PORT = 9464
"""Where a process tells its own figures; the deploy file names the same port."""
LONGEST_LEASE = 6.0
"""Seconds: what ran on a silent worker starts elsewhere only after its lease, and a change of
leader takes about one second."""
TENANTS_CONTRACT = "tenants"
"""Part of the rules under which callers have to show keys."""
MS = 1000.0


class _Wire(msgspec.Struct, frozen=True, rename="camel"):
    """Base of what the platform writes; unknown fields are ignored."""


class Listen(_Wire, frozen=True):
    """Addresses on which the process is called from outside."""

    front: str
    ready: str


class Bounds(_Wire, frozen=True):
    """Figures of the rules that the product needs."""

    hold_max_ms: float = 6000
    stop_ms: float = 400
    status_s: float = msgspec.field(name="status_s", default=120)
    restore_ms: float = 250
    grace_s: float = 6
    fail_closed: bool = False
    revoke_ms: float = 5000
    quota_overage: float = 0.0


class Limits(_Wire, frozen=True):
    """What the machine gives: ``cores`` times as fast, for ``cpu_share`` of the time."""

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: float = 0.0
    max_fds: int = 0
    link_mbps: float = 0.0


class Service(_Wire, frozen=True):
    """Where the store answers, and how many bytes it takes in a record and in a call."""

    addr: str
    record_bytes: int = msgspec.field(name="record_bytes", default=JobSettings().record_bytes)
    call_bytes: int = msgspec.field(name="call_bytes", default=JobSettings().call_bytes)


class BootSettings(_Wire, frozen=True):
    """What a process is told at its start."""

    node_name: str
    ip: str
    listen: Listen
    port_range: tuple[int, int]
    platform: Service
    advice: str | None = None
    bounds: Bounds = Bounds()
    contracts: tuple[str, ...] = ()
    limits: Limits = Limits()

    @property
    def keyed(self) -> bool:
        """Tell whether callers have to show keys."""
        return TENANTS_CONTRACT in self.contracts


class SettingsFault(msgspec.Struct, frozen=True):
    """What is wrong with a settings file."""

    file: str
    reason: str


def load() -> Result[BootSettings, SettingsFault]:
    """Read the file that the environment names."""
    name = os.environ.get(PATH_VARIABLE, "")
    if not name:
        return Err(SettingsFault("-", f"the variable {PATH_VARIABLE} is not set"))
    try:
        payload = Path(name).read_bytes()
        return Ok(msgspec.json.decode(payload, type=BootSettings))
    except OSError as error:
        return Err(SettingsFault(name, error.strerror or "unreadable"))
    except msgspec.DecodeError as error:
        return Err(SettingsFault(name, str(error)))


def member_settings(boot: BootSettings) -> MemberSettings:
    """Translate into the product's settings."""
    bounds = boot.bounds
    jobs = JobSettings(
        lease_s=min(bounds.hold_max_ms / MS, LONGEST_LEASE),
        stop_time_s=bounds.stop_ms / MS,
        state_retention_s=bounds.status_s,
        restore_s=bounds.restore_ms / MS,
        cap_overage=bounds.quota_overage,
        record_bytes=boot.platform.record_bytes,
        call_bytes=boot.platform.call_bytes,
    )
    given = boot.limits
    limits = MachineLimits(
        given.cpu_share * given.cores, given.link_mbps, given.max_fds, given.memory_mb
    )
    return MemberSettings(
        boot.node_name,
        f"{boot.ip}:{boot.port_range[0]}",
        jobs,
        limits,
        bounds.fail_closed,
        bounds.revoke_ms / MS,
    )
