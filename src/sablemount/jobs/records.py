"""Persistent state of jobs: records under the keys of a keyed topic; the newest of each key counts.

``j/JOB`` holds the accepted job and never changes; ``p/JOB`` holds its progress and is replaced
with each recorded completion; ``w/VM`` names an incarnation of a VM that may run something;
``c/JOB`` holds the cancellation of a job that was not known. A record without a value deletes its
key.
"""

import msgspec

from sablemount.jobs.model import JobSpec, QueueTerms

__all__ = [
    "CANCELLATION_PREFIX",
    "Cancellation",
    "JOB_PREFIX",
    "PROGRESS_PREFIX",
    "VM_PREFIX",
    "JobRecord",
    "Progress",
    "Record",
    "StepProgress",
    "VmRecord",
    "decode_cancellation",
    "decode_job",
    "decode_progress",
    "decode_vm",
    "encode",
]

JOB_PREFIX = "j/"
PROGRESS_PREFIX = "p/"
VM_PREFIX = "w/"
CANCELLATION_PREFIX = "c/"


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job; times of day are in ms since 1970."""

    terms: QueueTerms
    spec: JobSpec
    accepted_ms: float
    epoch: int
    """Epoch of the leader that accepted it."""
    organisation: str = ""
    """Organisation that owns the job; empty if no key was presented for it."""
    public: bool = False
    """Whether it was submitted where no key is needed, so that anybody may query it."""


class StepProgress(msgspec.Struct, array_like=True):
    """Recorded completions of the tasks of one step and repetition."""

    done: str = ""
    """Bit mask of the tasks that are done, as a hexadecimal number."""
    failures: dict[int, tuple[int, ...]] = {}
    """Numbers of the runs that failed, by task."""
    saved: dict[int, str] = {}


class Progress(msgspec.Struct, omit_defaults=True):
    """Progress of a job."""

    state: int
    steps: dict[str, StepProgress] = {}
    """Progress of each step, by repetition and step joined by a dot."""
    ended_ms: float = 0.0
    organisation: str = ""
    public: bool = False
    """As in the record of the accepted job, which is dropped when the job ends."""
    crashes: dict[str, tuple[str, ...]] = {}
    """VMs that crashed under a task, by repetition, step and index joined by dots."""
    weights: dict[str, tuple[float, ...]] = {}
    """Evidence weight of each of these crashes, where some are below the maximum."""
    completed: str = ""
    """Bit mask, as a hexadecimal number, of the repetitions of which all tasks are done. They are
    not among the steps."""


class VmRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """An incarnation of a VM that may run something."""

    address: str
    pool: str
    suspects: tuple[str, ...] = ()
    """Tasks that a crash would be attributed to: recently started ones, or all once the VM is
    silent."""
    machine: str = ""
    """Id by which another incarnation of it is recognised, whatever its address."""
    instance: str = ""
    """Id that its incarnations share, if that is not its name."""
    born: int = 0
    """Unix time of its start in ms; 0 if unknown."""
    deaf: bool = False
    """Whether completions there may go unlisted, so that nothing may be started."""
    speed: float = 0.0
    """Its speed relative to the usual one, as a logarithm; 0 also if unknown."""
    leased: bool = False
    """Whether a call for the previous incarnation has extended the lease of this one."""
    sealed_epoch: int = 0
    """Epoch of the leader under which only ``sealed_tasks`` may run there; 0 if any task may."""
    sealed_tasks: tuple[str, ...] = ()


class Cancellation(msgspec.Struct, frozen=True):
    """A cancellation of a job that was not known."""

    at_ms: float
    """Time of day in ms since 1970."""
    organisations: tuple[str, ...]
    """Organisations whose callers have cancelled it; an empty name stands for callers of none."""


class Record(msgspec.Struct, frozen=True):
    """A key with its new value; an empty value deletes the key."""

    key: str
    value: bytes = b""


_ENCODER = msgspec.msgpack.Encoder()
_JOB_DECODER = msgspec.msgpack.Decoder(JobRecord)
_PROGRESS_DECODER = msgspec.msgpack.Decoder(Progress)
_CANCELLATION_DECODER = msgspec.msgpack.Decoder(Cancellation)
_VM_DECODER = msgspec.msgpack.Decoder(VmRecord)


def encode(value: JobRecord | Progress | VmRecord | Cancellation) -> bytes:
    """Encode a record's value."""
    return _ENCODER.encode(value)


def decode_job(value: bytes) -> JobRecord:
    """Decode an accepted job; raises ``msgspec.DecodeError``."""
    return _JOB_DECODER.decode(value)


def decode_progress(value: bytes) -> Progress:
    """Decode a job's progress; raises ``msgspec.DecodeError``."""
    return _PROGRESS_DECODER.decode(value)


def decode_cancellation(value: bytes) -> Cancellation:
    """Decode a cancellation; raises ``msgspec.DecodeError``."""
    return _CANCELLATION_DECODER.decode(value)


def decode_vm(value: bytes) -> VmRecord:
    """Decode a VM's record; raises ``msgspec.DecodeError``."""
    return _VM_DECODER.decode(value)
