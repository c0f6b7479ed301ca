"""Events that the core handles, each at a local monotonic time in seconds."""

import enum
from typing import Any, TypeAlias

import msgspec

from sablemount.core.documents import Document, Scalar, Shape
from sablemount.core.facts import VmFacts
from sablemount.core.messages import PeerMessage
from sablemount.core.rows import LogEntry
from sablemount.core.verdict import Failure

__all__ = [
    "AppendEnded",
    "AppendStatus",
    "CancelRequested",
    "DrainRequested",
    "Event",
    "JobSubmitted",
    "LogRead",
    "LogReadFailed",
    "PeerReceived",
    "PollEnded",
    "PublishRequested",
    "RequestArrived",
    "RequestEnded",
    "RequestWithdrawn",
    "RunReport",
    "RunState",
    "StartEnded",
    "StartStatus",
    "StopRequested",
    "Tick",
    "VmListRead",
]


class _Event(msgspec.Struct, frozen=True, gc=False):
    """Base of the events."""


class Tick(_Event, frozen=True):
    """Periodic event, on which all systems run."""


class LogRead(_Event, frozen=True):
    """A read of the log, sent at ``sent_at``, has returned.

    ``first`` is the oldest offset that the log retained at the time of the read, and ``head`` the
    newest one.
    """

    sent_at: float
    entries: tuple[LogEntry, ...]
    head: int
    first: int


class LogReadFailed(_Event, frozen=True):
    """A read of the log has failed or timed out."""


class AppendStatus(enum.StrEnum):
    """Outcome of an append; ``UNKNOWN`` if it may have taken effect or may still do so."""

    WRITTEN = "written"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class AppendEnded(_Event, frozen=True):
    """An append has ended or timed out."""

    sequence: int
    status: AppendStatus


class VmListRead(_Event, frozen=True):
    """The platform's VM list was read; it may be out of date."""

    vms: tuple[VmFacts, ...]


class StartStatus(enum.StrEnum):
    """Outcome of a start request; ``UNKNOWN`` if the run may have started."""

    STARTED = "started"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class StartEnded(_Event, frozen=True):
    """A start request has ended or timed out."""

    run: str
    status: StartStatus


class RunState(enum.StrEnum):
    """State of a run as reported by its worker."""

    RUNNING = "running"
    THROTTLED = "throttled"
    DONE = "done"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class RunReport(_Event, frozen=True):
    """A worker's report of one run; ``shape`` is what the run holds now."""

    run: str
    state: RunState
    shape: Shape


class PollEnded(_Event, frozen=True):
    """A poll sent at ``sent_at`` has ended; ``boot`` is empty if the worker did not answer.

    ``boot`` identifies the incarnation of the worker, and ``requests`` has the requests that it
    holds slots for.
    """

    vm: str
    sent_at: float
    boot: str = ""
    leaving: bool = False
    runs: tuple[RunReport, ...] = ()
    requests: tuple[str, ...] = ()


class RequestArrived(_Event, frozen=True):
    """A request has arrived from a caller or a peer; ``deadline`` is local monotonic time."""

    request: str
    template: str
    deadline: float
    body: bytes = b""
    key: str = ""
    forwarded: bool = False


class RequestEnded(_Event, frozen=True):
    """An attempt at a request has ended; ``failure`` is ``None`` for a complete answer.

    ``slot_released`` means that the worker holds no slot for the request any more.
    """

    request: str
    vm: str
    failure: Failure | None
    slot_released: bool
    elapsed: float = 0.0
    served: Any = None


class RequestWithdrawn(_Event, frozen=True):
    """The caller no longer waits for the answer to a request."""

    request: str


class JobSubmitted(_Event, frozen=True):
    """A caller submits a job of ``count`` tasks; the answer refers to ``token``."""

    token: str
    job: str
    template: str
    count: int
    parameters: dict[str, Scalar]
    deadline: float


class CancelRequested(_Event, frozen=True):
    """A caller asks to cancel a task."""

    token: str
    task: str
    deadline: float


class PublishRequested(_Event, frozen=True):
    """An operator publishes a document, if its current revision is the expected one."""

    token: str
    document: Document
    expected: int
    author: str
    deadline: float


class DrainRequested(_Event, frozen=True):
    """An operator drains a VM, or returns it to use."""

    token: str
    vm: str
    drain: bool
    deadline: float


class StopRequested(_Event, frozen=True):
    """A planned stop of this scheduler begins."""


class PeerReceived(_Event, frozen=True):
    """A message has arrived from another scheduler."""

    message: PeerMessage


Event: TypeAlias = (
    Tick
    | LogRead
    | LogReadFailed
    | AppendEnded
    | VmListRead
    | StartEnded
    | PollEnded
    | RequestArrived
    | RequestEnded
    | RequestWithdrawn
    | JobSubmitted
    | CancelRequested
    | PublishRequested
    | DrainRequested
    | StopRequested
    | PeerReceived
)
