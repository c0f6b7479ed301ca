"""The newest configuration that a process knows, from wherever it comes.

A process reads it in the store. One that the store turns away gets it from the leader, and the
leader from any member that has a newer one; versions travel with the pings.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import TypeAlias

import msgspec

from sablemount.control.clock import monotonic, set_within
from sablemount.control.configuration_parts import Arriving, BrokenParts
from sablemount.control.configuration_source import ConfigurationSource
from sablemount.control.figures import Figures
from sablemount.control.gate import Gate
from sablemount.control.leader_link import LeaderLink
from sablemount.control.messages import (
    CallerCall,
    ConfigurationCall,
    ConfigurationNews,
    ConfigurationReply,
    Message,
    Pong,
    Reply,
)
from sablemount.control.network import CallFailed, Link
from sablemount.control.ports import DirectoryCodec
from sablemount.control.store import PageItem
from sablemount.jobs.model import Configuration
from sablemount.jobs.records import Record

__all__ = ["ConfigurationFeed"]

OWN_READ_TIME = 0.05
"""Seconds for which a process that knows of a newer version waits for its own read of the store,
which brings it within 10 ms; 45 members that asked the leader at once would fill a link of
5 Mbit/s for 0.7 s."""
PULL_AFTER = 0.5
"""The same where no caller waits for it."""
FIRST_TIMEOUT = 0.5
"""Seconds that a part may take: 12 times what it needs on a link of 5 Mbit/s."""
LAST_TIMEOUT = 2.0
"""The same after parts that did not come in time, each of which doubles it: they may be late
because the link is full."""
GIVE_TIMEOUT = 2.0
"""Seconds that a leader has to take a whole configuration: 0.8 MB need 1.3 s of 5 Mbit/s."""
FORMER = 2
"""Earlier versions that are kept, as a member is behind by few: 2.5 MB each for 4,000 queues."""
WANTED_INTERVAL = 0.3
"""Seconds between two members that a leader asks for their newer configuration."""

_logger = logging.getLogger("sablemount.control.configuration")


Call: TypeAlias = Callable[[Message, float], Awaitable[Reply]]


class ConfigurationFeed:
    """Keeps the newest version; ``spawn`` runs what takes time, ``mbits`` is the own link's rate.

    What it asks of other processes comes in parts. What has come of a version is kept until that
    is complete, or until this or a later one is known.
    """

    def __init__(
        self,
        codec: DirectoryCodec,
        link: LeaderLink,
        figures: Figures,
        spawn: Callable[[Coroutine[object, object, None]], "asyncio.Task[None]"],
        mbits: float = 0.0,
    ) -> None:
        self._codec = codec
        self._link = link
        self._figures = figures
        self._spawn = spawn
        self._listeners: list[Callable[[Configuration], None]] = []
        self._changed = asyncio.Event()
        """Set as soon as a version, a part or the end of a transfer has come."""
        self._pulling: asyncio.Task[None] | None = None
        self._giving: asyncio.Task[None] | None = None
        self._arriving: Arriving | None = None
        self._queued = False
        """Whether others have their turn first."""
        self._timeout = FIRST_TIMEOUT
        """Seconds that the next part may take."""
        self._waits = False
        """Whether the last call for a part has failed."""
        self._behind_since: float | None = None
        self._wanted_at = -WANTED_INTERVAL
        self.gate = Gate(Configuration())
        self._former: deque[Gate] = deque(maxlen=FORMER)
        """Those of the versions before, the newest one last."""
        self.told_of = -1
        """The newest version that a leader has told of."""
        self.source = ConfigurationSource(mbits, figures, lambda: self.gate.configuration)
        self.confirmed_at = -1e9
        """Local time at which the version in force was last known to be the newest one."""

    @property
    def version(self) -> int:
        """Return the version in force here; -1 before the first one."""
        return self.gate.configuration.version

    @property
    def age(self) -> float:
        """Return for how many seconds the version in force has not been confirmed."""
        return monotonic() - self.confirmed_at

    def listen(self, listener: Callable[[Configuration], None]) -> Callable[[], None]:
        """Hand on the version in force and each newer one; return what ends that."""
        self._listeners.append(listener)
        if self.version >= 0:
            listener(self.gate.configuration)
        return lambda: self._listeners.remove(listener)

    # -- What comes --------------------------------------------------------------------------

    def listed(self, items: Sequence[PageItem], end: int) -> None:
        """Take the newest records of the topic."""
        self.told([item.record for item in items], end)

    def told(self, records: Sequence[Record], end: int) -> None:
        """Take records of the topic."""
        for record in records:
            configuration = self._codec.configuration(record)
            if configuration is not None:
                self.offer(configuration, "store")

    def confirmed(self, asked_at: float) -> None:
        """Take that the store, asked at a local time, has nothing newer than was read."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def offer(self, configuration: Configuration, source: str) -> bool:
        """Take a configuration; tell whether it is newer than the one in force."""
        if configuration.version <= self.version:
            return False
        self._former.append(self.gate)
        self.gate = Gate(configuration)
        self._link.configuration = configuration.version
        self._behind_since = None
        self._calm()
        self._figures.count("configuration", source)
        _logger.info(
            "configuration known",
            extra={
                "version": configuration.version,
                "source": source,
                "queues": len(configuration.queues),
                "organisations": len(configuration.organisations),
            },
        )
        arriving = self._arriving
        if arriving is not None and arriving.version <= configuration.version:
            self._give_up(arriving, f"known from: {source}")
        for listener in list(self._listeners):
            listener(configuration)
        self._wake()
        return True

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # -- The leader's side -------------------------------------------------------------------

    def pinged(self, link: Link, version: int) -> None:
        """Take that a member at the other end of a link has some version."""
        now = monotonic()
        if version <= self.version or now - self._wanted_at < WANTED_INTERVAL:
            return
        self._wanted_at = now
        self._pull_once(link.call, "member")

    def as_now(self, call: CallerCall) -> CallerCall:
        """Return a call that an earlier version has admitted as the one in force does.

        It stays as it is where both would not admit it alike.
        """
        for former in self._former:
            if former.configuration.version == call.version and self.gate.admits_alike(
                former, call
            ):
                return msgspec.structs.replace(call, version=self.version)
        return call

    # -- A member's side ---------------------------------------------------------------------

    def heard(self, pong: Pong, asked_at: float) -> None:
        """Take what the leader, asked at a local time, has told of its version."""
        now = monotonic()
        self.told_of = max(self.told_of, pong.configuration)
        if pong.configuration <= self.version:
            self._behind_since = None
            if pong.configuration == self.version:
                # The answer may have been on its way since then.
                self.confirmed(asked_at - pong.configuration_age)
            if pong.wants_configuration and (self._giving is None or self._giving.done()):
                self._giving = self._spawn(self._give())
            return
        if self._behind_since is None:
            self._behind_since = now
            self._spawn(self._pull_after(PULL_AFTER, pong.configuration))
        elif now - self._behind_since > PULL_AFTER:
            self._pull_once(self._link.call, "leader")

    async def _pull_after(self, seconds: float, version: int) -> None:
        """Ask the leader for some version if it is not here after some seconds."""
        await asyncio.sleep(seconds)
        if self.version < version:
            self._pull_once(self._link.call, "leader")

    async def _give(self) -> None:
        try:
            await self._link.call(ConfigurationNews(self.gate.configuration), GIVE_TIMEOUT)
        except CallFailed as failed:
            _logger.info("configuration not given", extra={"why": str(failed)})

    async def reach(self, version: int, seconds: float) -> bool:
        """Wait until some version is in force here, for some seconds at most; return whether it is.

        If the store does not tell, the leader is asked. What can't come in time is not waited for.
        """
        last = monotonic() + seconds
        if self._pulling is None or self._pulling.done():
            await self._read_here(version, min(seconds, OWN_READ_TIME))
        while self.version < version and self._may_come(version, last):
            pulling = self._pull_once(self._link.call, "leader")
            await set_within(self._changed, last - monotonic())
            if pulling.done():
                break
        return self.version >= version

    async def _read_here(self, version: int, seconds: float) -> None:
        last = monotonic() + seconds
        while self.version < version and monotonic() < last:
            await set_within(self._changed, last - monotonic())

    def _may_come(self, version: int, last: float) -> bool:
        """Tell whether some version may be here by some time."""
        now = monotonic()
        if self._queued or now >= last:
            return False
        arriving = self._arriving
        if arriving is None or arriving.version < version:
            return True
        return now + arriving.left(now) <= last

    # -- Transfers ---------------------------------------------------------------------------

    def _pull_once(self, call: Call, source: str) -> "asyncio.Task[None]":
        """Return the transfer under way, or begin or go on with one."""
        if self._pulling is None or self._pulling.done():
            self._pulling = self._spawn(self._pull(call, source))
        return self._pulling

    async def _pull(self, call: Call, source: str) -> None:
        """Ask for parts one after the other, until all are here or one does not come.

        Whoever is still behind then goes on with the next sign of life of the other side.
        """
        try:
            while await self._pull_part(call, source):
                pass
        finally:
            self._queued = False
            self._wake()

    async def _pull_part(self, call: Call, source: str) -> bool:
        """Ask for a part; return whether to ask for the next one."""
        asked_at = monotonic()
        arriving = self._arriving
        message = ConfigurationCall(self.version, True)
        if arriving is not None:
            message = arriving.next_call(self.version)
        try:
            reply = await call(message, self._timeout)
        except CallFailed as failed:
            self._failed(failed, source)
            return False
        self._calm()
        if not isinstance(reply, ConfigurationReply):
            return False
        if reply.configuration is not None:
            self.offer(reply.configuration, source)
            return False
        self._queued = reply.later > 0
        if self._queued:
            self._wake()
            await asyncio.sleep(reply.later)
            return True
        return self._take(reply, asked_at, source)

    def _calm(self) -> None:
        """Take that an answer has come, or that none is needed."""
        self._waits = False
        self._timeout = FIRST_TIMEOUT

    def _failed(self, failed: CallFailed, source: str) -> None:
        self._figures.count("configuration_part", "failed")
        if failed.sent and not failed.closed:
            self._timeout = min(LAST_TIMEOUT, 2 * self._timeout)
        if not self._waits:
            self._waits = True
            extra = {"source": source, "why": str(failed), **self._progress()}
            _logger.info("configuration waits", extra=extra)

    def _progress(self) -> dict[str, int]:
        arriving = self._arriving
        if arriving is None:
            return {"got": 0}
        return {"version": arriving.version, "got": arriving.got, "size": arriving.size}

    def _take(self, reply: ConfigurationReply, asked_at: float, source: str) -> bool:
        """Take a part; return whether to ask for the next one."""
        if reply.of <= self.version or not reply.part:
            return False
        self._figures.count("configuration_bytes", "got", len(reply.part))
        arriving = self._arriving
        if arriving is None or not arriving.add(reply):
            if reply.offset:
                return False
            arriving = self._begin(reply, asked_at, source)
        if not arriving.complete:
            self._wake()
            return True
        self._complete(arriving, source)
        return False

    def _begin(self, reply: ConfigurationReply, asked_at: float, source: str) -> Arriving:
        former = self._arriving
        if former is not None:
            self._give_up(former, "another one is in force there")
        arriving = self._arriving = Arriving(reply, asked_at)
        self._figures.count("configuration_transfer", "begun")
        _logger.info("configuration arrives", extra={"source": source, **self._progress()})
        return arriving

    def _complete(self, arriving: Arriving, source: str) -> None:
        try:
            configuration = arriving.configuration()
        except BrokenParts as broken:
            self._give_up(arriving, str(broken))
            return
        self._arriving = None
        seconds = monotonic() - arriving.begun_at
        self._figures.count("configuration_transfer", "ended")
        self._figures.observe("configuration_transfer", seconds)
        _logger.info(
            "configuration arrived",
            extra={
                "source": source,
                "version": arriving.version,
                "size": arriving.size,
                "seconds": round(seconds, 3),
            },
        )
        self.offer(configuration, source)

    def _give_up(self, arriving: Arriving, why: str) -> None:
        """Drop what has come of a version."""
        seconds = round(monotonic() - arriving.begun_at, 3)
        extra = {"why": why, "seconds": seconds, **self._progress()}
        self._arriving = None
        self._figures.count("configuration_transfer", "given up")
        _logger.info("configuration transfer given up", extra=extra)
