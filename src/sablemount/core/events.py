"""Events that the core takes; each is handled at a local monotonic time in seconds."""

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
    """Time has passed."""


class LogRead(_Event, frozen=True):
    """A read of the log, sent at ``sent_at``; ``head`` is the log's last offset at the read.

    ``first`` is the oldest retained offset.
    """

    sent_at: float
    entries: tuple[LogEntry, ...]
    head: int
    first: int


class LogReadFailed(_Event, frozen=True):
    """A read of the log brought no answer."""


class AppendStatus(enum.StrEnum):
    """What is known of an append."""

    WRITTEN = "written"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class AppendEnded(_Event, frozen=True):
    """An append has ended, or was given up."""

    sequence: int
    status: AppendStatus


class VmListRead(_Event, frozen=True):
    """The platform's VM list, which lags behind reality."""

    vms: tuple[VmFacts, ...]


class StartStatus(enum.StrEnum):
    """What is known of a start command."""

    STARTED = "started"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class StartEnded(_Event, frozen=True):
    """A start command has ended."""

    run: str
    status: StartStatus


class RunState(enum.StrEnum):
    """State of a run as its worker tells it."""

    RUNNING = "running"
    THROTTLED = "throttled"
    DONE = "done"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class RunReport(_Event, frozen=True):
    """One run on a worker; ``shape`` is what it holds now."""

    run: str
    state: RunState
    shape: Shape


class PollEnded(_Event, frozen=True):
    """A worker's answer to a poll sent at ``sent_at``, or none (``boot`` is empty)."""

    vm: str
    sent_at: float
    boot: str = ""
    leaving: bool = False
    runs: tuple[RunReport, ...] = ()
    requests: tuple[str, ...] = ()


class RequestArrived(_Event, frozen=True):
    """A caller's request; ``deadline`` is local monotonic time."""

    request: str
    template: str
    deadline: float
    body: bytes = b""
    key: str = ""
    forwarded: bool = False


class RequestEnded(_Event, frozen=True):
    """An attempt at a request has ended; ``failure`` is ``None`` for a whole answer.

    ``free`` tells that the worker holds nothing for the request any more.
    """

    request: str
    vm: str
    failure: Failure | None
    free: bool
    elapsed: float = 0.0
    served: Any = None


class RequestWithdrawn(_Event, frozen=True):
    """The caller has gone."""

    request: str


class JobSubmitted(_Event, frozen=True):
    """A job of ``count`` tasks is submitted under the caller's token."""

    token: str
    job: str
    template: str
    count: int
    parameters: dict[str, Scalar]
    deadline: float


class CancelRequested(_Event, frozen=True):
    """Somebody asks to cancel a task."""

    token: str
    task: str
    deadline: float


class PublishRequested(_Event, frozen=True):
    """An operator publishes a document against an expected revision."""

    token: str
    document: Document
    expected: int
    author: str
    deadline: float


class DrainRequested(_Event, frozen=True):
    """An operator drains a VM, or takes it back into use."""

    token: str
    vm: str
    drain: bool
    deadline: float


class StopRequested(_Event, frozen=True):
    """A planned stop of this scheduler begins."""


class PeerReceived(_Event, frozen=True):
    """A message from another scheduler."""

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
