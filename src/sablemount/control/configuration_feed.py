"""The newest configuration that a process knows, from wherever it comes.

A process reads it in the store. One that the store turns away gets it from the leader, and the
leader from any member that has a newer one; versions travel with the pings.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Sequence

from sablemount.control.clock import monotonic
from sablemount.control.figures import Figures
from sablemount.control.gate import Gate
from sablemount.control.leader_link import LeaderLink
from sablemount.control.messages import (
    ConfigurationCall,
    ConfigurationNews,
    ConfigurationReply,
    Pong,
)
from sablemount.control.network import CallFailed
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
CALL_TIMEOUT = 0.5
"""Seconds that the leader has to give its configuration, or to take a newer one."""
WANTED_INTERVAL = 0.3
"""Seconds between two members that a leader asks for their newer configuration."""

_logger = logging.getLogger("sablemount.control.configuration")


class ConfigurationFeed:
    """Keeps the newest version; ``spawn`` runs what takes time."""

    def __init__(
        self,
        codec: DirectoryCodec,
        link: LeaderLink,
        figures: Figures,
        spawn: Callable[[Coroutine[object, object, None]], "asyncio.Task[None]"],
    ) -> None:
        self._codec = codec
        self._link = link
        self._figures = figures
        self._spawn = spawn
        self._listeners: list[Callable[[Configuration], None]] = []
        self._changed = asyncio.Event()
        self._pulling: asyncio.Task[None] | None = None
        self._behind_since: float | None = None
        self._wanted_at = -WANTED_INTERVAL
        self.gate = Gate(Configuration())
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
        self.gate = Gate(configuration)
        self._link.configuration = configuration.version
        self._behind_since = None
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
        for listener in list(self._listeners):
            listener(configuration)
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    # -- The leader's side -------------------------------------------------------------------

    def wants(self, version: int) -> bool:
        """Tell a leader whether to ask a member for its configuration of some version."""
        now = monotonic()
        if version <= self.version or now - self._wanted_at < WANTED_INTERVAL:
            return False
        self._wanted_at = now
        return True

    def newer_than(self, version: int) -> ConfigurationReply:
        """Return what a member gets that has some version."""
        newer = self.version > version
        return ConfigurationReply(self.gate.configuration if newer else None)

    # -- A member's side ---------------------------------------------------------------------

    def heard(self, pong: Pong, asked_at: float) -> None:
        """Take what the leader, asked at a local time, has told of its version."""
        now = monotonic()
        if pong.configuration <= self.version:
            self._behind_since = None
            if pong.configuration == self.version:
                # The answer may have been on its way since then.
                self.confirmed(asked_at - pong.configuration_age)
            if pong.wants_configuration:
                self._spawn(self._give())
            return
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > PULL_AFTER:
            self._pull_once()

    async def reach(self, version: int) -> None:
        """Wait until some version is in force here; ask the leader if the store does not tell."""
        try:
            async with asyncio.timeout(OWN_READ_TIME):
                while self.version < version:
                    await self._changed.wait()
        except TimeoutError:
            await asyncio.wait([self._pull_once()])

    def _pull_once(self) -> "asyncio.Task[None]":
        if self._pulling is None or self._pulling.done():
            self._pulling = self._spawn(self._pull())
        return self._pulling

    async def _pull(self) -> None:
        try:
            reply = await self._link.call(ConfigurationCall(self.version), CALL_TIMEOUT)
        except CallFailed as failed:
            _logger.info("no configuration of the leader", extra={"why": str(failed)})
            return
        if isinstance(reply, ConfigurationReply) and reply.configuration is not None:
            self.offer(reply.configuration, "leader")

    async def _give(self) -> None:
        try:
            await self._link.call(ConfigurationNews(self.gate.configuration), CALL_TIMEOUT)
        except CallFailed as failed:
            _logger.info("configuration not given", extra={"why": str(failed)})
