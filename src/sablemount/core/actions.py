"""Actions that the core gives; the runtime carries each out and reports back by an event.

A command to a worker carries ``not_after`` in local monotonic seconds: the last moment at which
its bytes may be handed to the network. The runtime checks it again just before it writes.
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
    """Read the log from after an offset."""

    after: int


class AppendLog(_Action, frozen=True):
    """Append one batch."""

    sequence: int
    payload: bytes


class StartRun(_Action, frozen=True):
    """Start a run on a VM under a lease of ``lease`` seconds.

    ``seconds`` is how long the run is expected to take; 0 for one that does not end by itself.
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
    """What a worker is told to do with a run."""

    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    RESTORE = "restore"


class RunCommand(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One command about one run."""

    run: str
    kind: CommandKind


class Poll(_Action, frozen=True):
    """Renew leases, acknowledge ended runs, give commands and ask what the worker runs."""

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
    """Send a request to the peer that is likely to have room."""

    peer: str
    arrival: RequestArrived


class SendPeer(_Action, frozen=True):
    """Send a message to a peer once."""

    peer: str
    message: PeerMessage


class AnswerRequest(_Action, frozen=True):
    """Give a caller its answer."""

    request: str
    result: ServeResult


class AnswerCommand(_Action, frozen=True):
    """Answer a submission, a cancellation or a publication; ``failure`` is ``None`` for success."""

    token: str
    failure: Failure | None


class Stopped(_Action, frozen=True):
    """Nothing is held or in flight any more; the process may end."""


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
