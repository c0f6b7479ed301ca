"""Actions that the core returns; the runtime performs them and reports the results as events.

Actions that send something to a worker have ``not_after``, in local monotonic seconds: the latest
time at which the first byte may be written to the network. The runtime checks it again just before
it writes.
"""

import enum
from typing import TypeAlias

import msgspec

from sablemount.core.documents import Scalar, Shape
from sablemount.core.events import RequestArrived
from sablemount.core.messages import PeerMessage
from sablemount.core.verdict import Failure, ServeResult

__all__ = [
    "Action",
    "AnswerCommand",
    "AnswerRequest",
    "AppendLog",
    "CommandKind",
    "Forward",
    "Poll",
    "ReadLog",
    "RunCommand",
    "SendPeer",
    "Serve",
    "StartRun",
    "Stopped",
]


class _Action(msgspec.Struct, frozen=True, gc=False):
    """Base of the actions."""


class ReadLog(_Action, frozen=True):
    """Read the entries of the log after an offset."""

    after: int


class AppendLog(_Action, frozen=True):
    """Append one encoded batch to the log."""

    sequence: int
    payload: bytes


class StartRun(_Action, frozen=True):
    """Start a run on a VM under a lease of ``lease`` seconds.

    ``seconds`` is the expected duration of the run, or 0 for a service, which does not end by
    itself.
    """

    vm: str
    run: str
    organisation: str
    template: str
    shape: Shape
    lease: float
    parameters: dict[str, Scalar]
    seconds: float
    not_after: float


class CommandKind(enum.StrEnum):
    """Kind of a command to a worker about a run."""

    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    RESTORE = "restore"


class RunCommand(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A command to a worker about one run."""

    run: str
    kind: CommandKind


class Poll(_Action, frozen=True):
    """Renew leases, acknowledge ended runs, send commands and ask which runs the worker has."""

    vm: str
    renew: tuple[str, ...]
    acknowledge: tuple[str, ...]
    commands: tuple[RunCommand, ...]
    lease: float
    not_after: float


class Serve(_Action, frozen=True):
    """Send a request to a VM."""

    request: str
    attempt: int
    vm: str
    body: bytes
    deadline: float
    not_after: float
    repeatable: bool


class Forward(_Action, frozen=True):
    """Forward a request to a peer that is likely to have a free slot."""

    peer: str
    arrival: RequestArrived


class SendPeer(_Action, frozen=True):
    """Send a message to a peer, without retries."""

    peer: str
    message: PeerMessage


class AnswerRequest(_Action, frozen=True):
    """Answer a caller's request."""

    request: str
    result: ServeResult


class AnswerCommand(_Action, frozen=True):
    """Answer the operation that came with ``token``; ``failure`` is ``None`` for success."""

    token: str
    failure: Failure | None


class Stopped(_Action, frozen=True):
    """Report that no shard is held and nothing is in flight: the process may exit."""


Action: TypeAlias = (
    ReadLog
    | AppendLog
    | StartRun
    | Poll
    | Serve
    | Forward
    | SendPeer
    | AnswerRequest
    | AnswerCommand
    | Stopped
)
