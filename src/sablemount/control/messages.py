"""Messages between the processes, and what a caller's front is told."""

import enum
from typing import TypeAlias

import msgspec

from sablemount.control.standing import FULL
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
    "not_taken",
    "other_version",
]

RETRY_AFTER = 1.0
"""Seconds after which a caller that was refused is asked to come back."""


class LeaderRecord(msgspec.Struct, frozen=True):
    """Who leads since when: the newest record of the leader topic."""

    epoch: int
    name: str
    address: str
    incarnation: str
    end: int = 0
    """Where the topic ends after it; 0 if an earlier release wrote or told it."""


class Operation(enum.IntEnum):
    """What a caller wants."""

    SUBMIT = 0
    STATE = 1
    CANCEL = 2


class Outcome(enum.IntEnum):
    """What became of a caller's request; only ``UNKNOWN`` leaves open whether it took effect."""

    DONE = 0
    NO_JOB = 1
    NO_QUEUE = 2
    INVALID = 3
    NOT_TAKEN = 4
    UNKNOWN = 5
    NO_KEY = 6
    """The caller has shown no key of an organisation."""
    NAME_TAKEN = 7
    """Another organisation's job has that name."""


class Ping(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A member's sign of life to the leader; ``epoch`` is the highest leadership it knows."""

    name: str
    address: str
    epoch: int
    uptime: float = 0.0
    """Seconds since the member's process started."""
    standing: float = FULL
    """How well the member's machine carries the lead."""
    stopping: bool = False
    """Whether the member is being stopped, so that it can't take over."""
    roster: int = 0
    """Version of the addresses that this leader has given to the member."""
    configuration: int = -1
    """Version of the configuration that the member has."""
    cell: int = 0
    """How many members its last leader counted, that one included; 0 if none has told."""


class ViewCall(msgspec.Struct, frozen=True, tag=True):
    """A member asks another whether it hears the leader."""


class CallerCall(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A caller's request, passed to the leader once it is admitted.

    Its key does not travel: what it stands for does.
    """

    operation: Operation
    host: str
    path: str
    spec: JobSpec | None = None
    organisation: str = ""
    """Whose key the caller has shown; empty if none was needed."""
    version: int = -1
    """Version of the configuration by which it was admitted."""


class AdviseCall(msgspec.Struct, frozen=True, tag=True):
    """The leader lets a member ask for advice; ``timeout`` is in seconds."""

    step: str
    vms: tuple[str, ...]
    timeout: float


class ConfigurationCall(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A process asks another for a configuration that is newer than some version."""

    version: int
    parts: bool = False
    """Whether it takes it in parts; a process that knows of none sends it whole."""
    of: int = -1
    """Version of which it has some parts."""
    check: int = 0
    """Checksum of that as it is sent."""
    offset: int = 0
    """How many bytes of it have come."""


class ConfigurationNews(msgspec.Struct, frozen=True, tag=True):
    """A member gives a leader that takes no parts the newer configuration that it wants."""

    configuration: Configuration


class TakeOver(msgspec.Struct, frozen=True, tag=True):
    """The leader asks a member to lead."""

    epoch: int
    once_read: bool = False
    """Whether there is time to read all that lasts first: this leader does not stop."""


class Announce(msgspec.Struct, frozen=True, tag=True):
    """A new leader tells a member that has not come to it, and may not reach the store."""

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
    """For how long an answer of the store has been due to the leader."""
    loading: bool = False
    """Whether it is about to lead and reads what lasts."""
    members: dict[str, str] | None = None
    """Addresses of the members that the leader has heard, by name, if there is a newer version."""
    roster: int = 0
    """Version of these addresses."""
    leader: LeaderRecord | None = None
    """Who leads as far as a member knows that does not lead itself."""
    configuration: int = -1
    """Version of the configuration that the leader has."""
    configuration_age: float = 0.0
    """Seconds since it was last known to be the newest one."""
    wants_configuration: bool = False
    """Whether a leader that takes no parts wants the member's, which is newer."""
    cell: int = 0
    """How many members the leader counts, itself included; 0 if the ping has told that number."""
    best: float = FULL
    """Standing of the best member that could take over."""
    loaded: int = -1
    """How far it is with what it reads, a number that grows; -1 if it does not tell."""


class LeaderView(msgspec.Struct, frozen=True, tag=True):
    """What a member knows of the leader: its epoch, and how long ago it was heard (seconds).

    ``linked`` tells whether the member's connection to the leader stands.
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
    """Whether the leader is changing, so that the member that asked may ask again at once."""
    version: int = -1
    """The leader's version of the configuration, if the call was admitted by another one."""
    organisation: str = ""
    """Whose call was refused, for the log line; empty if that is not known."""
    epoch: int = 0
    """Under which leader it was answered, for the log line; 0 if none was asked."""


def not_taken(reason: str, changing: bool = False) -> CallerReply:
    """Return the answer to what has certainly not run, with a time to come back."""
    return CallerReply(Outcome.NOT_TAKEN, reason=reason, retry_after=RETRY_AFTER, changing=changing)


def other_version(version: int) -> CallerReply:
    """Return the answer to a call that was judged by another version than the leader's."""
    reply = not_taken("the configuration is changing", changing=True)
    return msgspec.structs.replace(reply, version=version)


class AdviceReply(msgspec.Struct, frozen=True, tag=True):
    """Tickets by VM, or none with ``ok`` false if there was no usable answer."""

    ok: bool
    good: dict[str, str] = {}
    valid_ms: float = 0.0


class ConfigurationReply(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A newer configuration or a part of it; nothing if there is none."""

    configuration: Configuration | None = None
    """The whole, for a process that takes no parts."""
    part: bytes = b""
    """What follows an offset, compressed."""
    of: int = -1
    """Version of which this is a part."""
    check: int = 0
    """Checksum of all parts together."""
    offset: int = 0
    size: int = 0
    """Bytes of all parts together."""
    later: float = 0.0
    """Seconds after which to ask again, as others have their turn."""


class TakeOverReply(msgspec.Struct, frozen=True, tag=True):
    """Whether a member that was asked to take over is about to claim the leadership."""

    taken: bool


Reply: TypeAlias = (
    Pong | LeaderView | CallerReply | AdviceReply | TakeOverReply | ConfigurationReply
)
