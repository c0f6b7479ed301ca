"""Messages between the processes, and the answers to callers' requests."""

import enum
from typing import TypeAlias

import msgspec

from sablemount.control.standing import FULL_STANDING
from sablemount.jobs.model import Configuration, JobSpec

__all__ = [
    "AdviceReply",
    "AdviseCall",
    "Announce",
    "CallerCall",
    "CallerReply",
    "ConfigurationCall",
    "ConfigurationNews",
    "ConfigurationReply",
    "LeaderRecord",
    "LeaderView",
    "Message",
    "Operation",
    "Outcome",
    "Ping",
    "Pong",
    "Reply",
    "TakeOver",
    "TakeOverReply",
    "ViewCall",
    "not_taken_reply",
    "unserved_reply",
    "version_mismatch_reply",
]

RETRY_AFTER_S = 1.0
"""Seconds after which a refused caller is asked to retry."""
UNSERVED_RETRY_AFTER_S = 10.0
"""Seconds after which a caller whose job no VM can run is asked to retry: only a VM of another kind
changes the answer, and takes some seconds to start."""


class LeaderRecord(msgspec.Struct, frozen=True):
    """Who leads, and in which epoch: the newest record of the leader topic."""

    epoch: int
    name: str
    address: str
    incarnation: str
    end: int = 0
    """End offset of the topic after this record; 0 if an earlier release wrote or sent it."""


class Operation(enum.IntEnum):
    """The operation that a caller requests."""

    SUBMIT = 0
    STATE = 1
    CANCEL = 2


class Outcome(enum.IntEnum):
    """Outcome of a caller's request; only ``UNKNOWN`` leaves open whether it took effect."""

    DONE = 0
    NO_JOB = 1
    NO_QUEUE = 2
    INVALID = 3
    NOT_TAKEN = 4
    UNKNOWN = 5
    NO_KEY = 6
    """The caller has presented no key of an organisation."""
    NAME_TAKEN = 7
    """A job of another organisation has that name."""


class Ping(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A member's heartbeat to the leader; ``epoch`` is the highest epoch that it knows."""

    name: str
    address: str
    epoch: int
    uptime: float = 0.0
    """Seconds since the member's process started."""
    standing: float = FULL_STANDING
    """Leader suitability of the member's machine."""
    stopping: bool = False
    """Whether the member is being stopped, so that it cannot take over."""
    roster: int = 0
    """Version of the addresses that this leader has sent to the member."""
    configuration: int = -1
    """Version of the configuration that the member has."""
    cell: int = 0
    """Number of members that its last leader counted, including that leader; 0 if unknown."""


class ViewCall(msgspec.Struct, frozen=True, tag=True):
    """A member asks another whether it hears the leader."""


class CallerCall(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A caller's request, forwarded to the leader after admission.

    The caller's key is not sent, only the organisation that it belongs to.
    """

    operation: Operation
    host: str
    path: str
    spec: JobSpec | None = None
    organisation: str = ""
    """The organisation whose key the caller has presented; empty if none was needed."""
    version: int = -1
    """Version of the configuration under which the request was admitted."""


class AdviseCall(msgspec.Struct, frozen=True, tag=True):
    """The leader has a member request advice; ``timeout`` is in seconds."""

    step: str
    vms: tuple[str, ...]
    timeout: float


class ConfigurationCall(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A process asks another for a configuration that is newer than some version."""

    version: int
    parts: bool = False
    """Whether it accepts the configuration in parts; a process that does not support parts answers
    with the complete configuration."""
    of: int = -1
    """Version of which it has some parts."""
    check: int = 0
    """Checksum of the transmitted form of that version."""
    offset: int = 0
    """Number of bytes of it already received."""


class ConfigurationNews(msgspec.Struct, frozen=True, tag=True):
    """A member sends its newer configuration to a leader that does not accept parts."""

    configuration: Configuration


class TakeOver(msgspec.Struct, frozen=True, tag=True):
    """The leader asks a member to take over."""

    epoch: int
    once_read: bool = False
    """Whether to claim only once the persistent state is read: this leader is not being stopped."""


class Announce(msgspec.Struct, frozen=True, tag=True):
    """A new leader announces itself to a member that has not connected to it.

    The member may not reach the store.
    """

    leader: LeaderRecord


Message: TypeAlias = (
    Ping
    | ViewCall
    | CallerCall
    | AdviseCall
    | TakeOver
    | Announce
    | ConfigurationCall
    | ConfigurationNews
)


class Pong(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The leader's answer to a ping; ages are in seconds."""

    epoch: int
    leading: bool
    store_silent: float
    """Seconds for which an answer of the store to the leader has been overdue."""
    loading: bool = False
    """Whether it is about to lead and is reading the persistent state."""
    members: dict[str, str] | None = None
    """Addresses by name of the members that the leader has heard, if there is a newer version."""
    roster: int = 0
    """Version of these addresses."""
    leader: LeaderRecord | None = None
    """The leader known to a member that does not lead itself."""
    configuration: int = -1
    """Version of the configuration that the leader has."""
    configuration_age: float = 0.0
    """Seconds since it was last known to be the newest one."""
    wants_configuration: bool = False
    """Whether a leader that does not accept parts wants the member's newer configuration."""
    cell: int = 0
    """Number of members that the leader counts, including itself; 0 if equal to the ping's."""
    best: float = FULL_STANDING
    """Suitability of the best member that could take over."""
    loaded: int = -1
    """Position of its load, which only increases; -1 if it is not reported."""


class LeaderView(msgspec.Struct, frozen=True, tag=True):
    """A member's view of the leader: its epoch, and the seconds since it was last heard.

    ``linked`` is whether the member has a connection to the leader.
    """

    epoch: int
    heard_age: float
    linked: bool
    leader: LeaderRecord | None = None


class CallerReply(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The final answer to a caller's request."""

    outcome: Outcome
    state: str = ""
    waiting: int = -1
    path: str = ""
    reason: str = ""
    retry_after: float = 0.0
    changing: bool = False
    """Whether the leader is changing, so that the member that forwarded this may retry at once."""
    version: int = -1
    """The leader's version of the configuration, if the call was admitted under another one."""
    organisation: str = ""
    """The organisation whose call was refused, for the log line; empty if unknown."""
    epoch: int = 0
    """Epoch of the leader that answered, for the log line; 0 if none was asked."""
    unserved: bool = False
    """Whether a job was not taken because no VM can run it, for the counter of submissions."""


def not_taken_reply(
    reason: str, changing: bool = False, retry_after: float = RETRY_AFTER_S
) -> CallerReply:
    """Return the answer to a request that has certainly not taken effect; it asks for a retry."""
    return CallerReply(Outcome.NOT_TAKEN, reason=reason, retry_after=retry_after, changing=changing)


def unserved_reply(path: str, reason: str) -> CallerReply:
    """Return the answer to a job that no VM can run now, though a later one might."""
    return CallerReply(
        Outcome.NOT_TAKEN,
        path=path,
        reason=reason,
        retry_after=UNSERVED_RETRY_AFTER_S,
        unserved=True,
    )


def version_mismatch_reply(version: int) -> CallerReply:
    """Return the answer to a call that was admitted under a version other than the leader's."""
    reply = not_taken_reply("the configuration is changing", changing=True)
    return msgspec.structs.replace(reply, version=version)


class AdviceReply(msgspec.Struct, frozen=True, tag=True):
    """Advice tickets by VM; ``ok`` is false if there was no usable answer."""

    ok: bool
    good: dict[str, str] = {}
    valid_ms: float = 0.0


class ConfigurationReply(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A newer configuration or a part of it; empty if there is none."""

    configuration: Configuration | None = None
    """The complete configuration, for a process that does not accept parts."""
    part: bytes = b""
    """The compressed bytes from an offset."""
    of: int = -1
    """Version that this is a part of."""
    check: int = 0
    """Checksum of all parts together."""
    offset: int = 0
    size: int = 0
    """Total bytes of all parts."""
    later: float = 0.0
    """Seconds after which to ask again, while other processes are served."""


class TakeOverReply(msgspec.Struct, frozen=True, tag=True):
    """Whether a member that was asked to take over is about to claim the leadership."""

    taken: bool


Reply: TypeAlias = (
    Pong | LeaderView | CallerReply | AdviceReply | TakeOverReply | ConfigurationReply
)
