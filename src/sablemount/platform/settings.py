"""The settings file that the platform provides for each process."""

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
"""Port of a process's metrics; the deployment file names the same port."""
MAX_LEASE_S = 6.0
"""Longest lease that is requested, in seconds. The tasks of a silent worker start elsewhere only
after their lease has expired; a change of leader takes about one second."""
JOB_MEMORY_SHARE = 0.375
"""Share of a machine's memory that all jobs may hold together."""
BYTES_PER_MB = 1024 * 1024
TENANTS_CONTRACT = "tenants"
"""Contract under which callers have to present keys."""
MS_PER_S = 1000.0


class _PlatformStruct(msgspec.Struct, frozen=True, rename="camel"):
    """Base of the types that the platform writes; unknown fields are ignored."""


class Listen(_PlatformStruct, frozen=True):
    """Addresses on which the process serves callers and readiness checks."""

    front: str
    ready: str


class Bounds(_PlatformStruct, frozen=True):
    """Limits from the platform's rules that the product has to meet."""

    hold_max_ms: float = 6000
    stop_ms: float = 400
    status_s: float = msgspec.field(name="status_s", default=120)
    restore_ms: float = 250
    grace_s: float = 6
    fail_closed: bool = False
    revoke_ms: float = 5000
    quota_overage: float = 0.0


class Limits(_PlatformStruct, frozen=True):
    """Limits of the machine: ``cores`` times the usual speed, for ``cpu_share`` of the time."""

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: float = 0.0
    max_fds: int = 0
    link_mbps: float = 0.0


class Service(_PlatformStruct, frozen=True):
    """Address of the store, and how many bytes it accepts in a record and in a call."""

    addr: str
    record_bytes: int = msgspec.field(name="record_bytes", default=JobSettings().record_bytes)
    call_bytes: int = msgspec.field(name="call_bytes", default=JobSettings().call_bytes)


class BootSettings(_PlatformStruct, frozen=True):
    """Settings of a process."""

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
        """Return whether callers have to present keys."""
        return TENANTS_CONTRACT in self.contracts


class SettingsFault(msgspec.Struct, frozen=True):
    """Why a settings file was rejected."""

    file: str
    reason: str


def load() -> Result[BootSettings, SettingsFault]:
    """Read the settings file that the environment variable names."""
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


def _job_memory_bytes(memory_mb: float) -> int:
    """Return the memory for jobs on a machine; a memory of 0 MB is no limit."""
    if memory_mb <= 0:
        return JobSettings().job_memory_bytes
    return int(memory_mb * JOB_MEMORY_SHARE * BYTES_PER_MB)


def member_settings(boot: BootSettings) -> MemberSettings:
    """Convert to the product's settings."""
    bounds = boot.bounds
    jobs = JobSettings(
        lease_s=min(bounds.hold_max_ms / MS_PER_S, MAX_LEASE_S),
        max_lease_s=bounds.hold_max_ms / MS_PER_S,
        stop_time_s=bounds.stop_ms / MS_PER_S,
        state_retention_s=bounds.status_s,
        restore_s=bounds.restore_ms / MS_PER_S,
        cap_overage=bounds.quota_overage,
        record_bytes=boot.platform.record_bytes,
        call_bytes=boot.platform.call_bytes,
        job_memory_bytes=_job_memory_bytes(boot.limits.memory_mb),
    )
    machine = boot.limits
    limits = MachineLimits(
        machine.cpu_share * machine.cores, machine.link_mbps, machine.max_fds, machine.memory_mb
    )
    return MemberSettings(
        boot.node_name,
        f"{boot.ip}:{boot.port_range[0]}",
        jobs,
        limits,
        bounds.fail_closed,
        bounds.revoke_ms / MS_PER_S,
    )
