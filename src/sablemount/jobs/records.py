"""What lasts of a job: records under keys of a keyed topic, the newest of each key counting.

``j/JOB`` holds what was accepted and never changes; ``p/JOB`` holds how far it is and is replaced
with each noted end; ``w/VM`` names a life of a VM that may run something. A record without a value
drops its key.
"""

import msgspec

from sablemount.jobs.model import JobSpec, QueueTerms

__all__ = [
    "JOB_PREFIX",
    "PROGRESS_PREFIX",
    "VM_PREFIX",
    "JobRecord",
    "Progress",
    "Record",
    "StepProgress",
    "VmRecord",
    "decode_job",
    "decode_progress",
    "decode_vm",
    "encode",
]

JOB_PREFIX = "j/"
PROGRESS_PREFIX = "p/"
VM_PREFIX = "w/"


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job; times of day are in ms since 1970."""

    terms: QueueTerms
    spec: JobSpec
    accepted_ms: float
    epoch: int
    """Under which leader it was accepted."""
    organisation: str = ""
    """Whose job it is; empty if nobody has shown a key for it."""
    public: bool = False
    """Whether it was handed in where no key is needed, so that anybody may ask for it."""


class StepProgress(msgspec.Struct, array_like=True):
    """Noted ends of the tasks of one step and repetition."""

    done: str = ""
    """Bit mask of the tasks that are done, as a hexadecimal number."""
    failures: dict[int, tuple[int, ...]] = {}
    """Runs that failed, by task."""
    saved: dict[int, str] = {}


class Progress(msgspec.Struct, omit_defaults=True):
    """How far a job is."""

    state: int
    steps: dict[str, StepProgress] = {}
    """By repetition and step, joined by a dot."""
    ended_ms: float = 0.0
    organisation: str = ""
    public: bool = False
    """As in the job's own record, which is dropped at its end."""
    crashes: dict[str, tuple[str, ...]] = {}
    """VMs that have crashed under a task, by repetition, step and index, joined by dots."""
    weights: dict[str, tuple[float, ...]] = {}
    """What each of them tells of the task, where some tell less than a clear one."""


class VmRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A VM that may run something."""

    address: str
    pool: str
    suspects: tuple[str, ...] = ()
    """Tasks that its crash would count for: what was started of late, or all once it is silent."""
    machine: str = ""
    """By which another life of it is known, wherever that answers."""
    instance: str = ""
    """Id that its lives share, if that is not its name."""
    born: int = 0
    """Unix time of its start in ms; 0 if that is not known."""
    deaf: bool = False
    """Whether ends there may go unlisted, so that nothing may be started."""
    speed: float = 0.0
    """Its speed beside the usual one, as a logarithm; 0 also where it is not known."""


class Record(msgspec.Struct, frozen=True):
    """A key with its new value; an empty value drops the key."""

    key: str
    value: bytes = b""


_ENCODER = msgspec.msgpack.Encoder()
_JOB_DECODER = msgspec.msgpack.Decoder(JobRecord)
_PROGRESS_DECODER = msgspec.msgpack.Decoder(Progress)
_VM_DECODER = msgspec.msgpack.Decoder(VmRecord)


def encode(value: JobRecord | Progress | VmRecord) -> bytes:
    """Encode a record's value."""
    return _ENCODER.encode(value)


def decode_job(value: bytes) -> JobRecord:
    """Decode an accepted job; raises ``msgspec.DecodeError``."""
    return _JOB_DECODER.decode(value)


def decode_progress(value: bytes) -> Progress:
    """Decode a job's progress; raises ``msgspec.DecodeError``."""
    return _PROGRESS_DECODER.decode(value)


def decode_vm(value: bytes) -> VmRecord:
    """Decode a VM's record; raises ``msgspec.DecodeError``."""
    return _VM_DECODER.decode(value)
