"""Keeps the newest configuration that a process knows, whatever its source.

A process reads the configuration from the store. If the store does not serve it, a member requests
it from the leader, and a leader from any member with a newer version. Pings and their answers carry
the versions.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import TypeAlias

import msgspec

from sablemount.control.clock import monotonic, wait_for_event
from sablemount.control.configuration_parts import IncomingTransfer, InvalidParts
from sablemount.control.configuration_source import ConfigurationSource
from sablemount.control.figures import Metrics
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

OWN_READ_TIME_S = 0.05
"""How long a process that knows of a newer version waits for its own read of the store, which
returns it within 10 ms; if 45 members asked the leader at once, this would occupy a link of
5 Mbit/s for 0.7 s."""
PULL_DELAY_S = 0.5
"""Same if no caller waits for the version."""
MIN_PART_TIMEOUT_S = 0.5
"""Initial time-out of a part: 12 times its transmission time on a link of 5 Mbit/s."""
MAX_PART_TIMEOUT_S = 2.0
"""Longest time-out of a part. The time-out doubles with each part that is not answered in time, as
the link may be congested."""
PUSH_TIMEOUT_S = 2.0
"""Time-out of sending a complete configuration to the leader: 0.8 MB take 1.3 s at 5 Mbit/s."""
EARLIER_VERSIONS = 2
"""Number of earlier versions that are kept, since a member lags by only a few: each takes 2.5 MB
with 4,000 queues."""
MIN_REQUEST_INTERVAL_S = 0.3
"""Shortest interval at which a leader requests a newer configuration from members."""

_logger = logging.getLogger("sablemount.control.configuration")


Call: TypeAlias = Callable[[Message, float], Awaitable[Reply]]


class ConfigurationFeed:
    """Keeps the newest configuration, and transfers it from and to other processes.

    ``spawn`` starts a background task, and ``mbits`` is the rate of this machine's link. A
    configuration is requested from other processes in parts. The parts received of a version are
    kept until it is complete, or until this or a later version is known.
    """

    def __init__(
        self,
        codec: DirectoryCodec,
        link: LeaderLink,
        metrics: Metrics,
        spawn: Callable[[Coroutine[object, object, None]], "asyncio.Task[None]"],
        mbits: float = 0.0,
    ) -> None:
        self._codec = codec
        self._link = link
        self._metrics = metrics
        self._spawn = spawn
        self._listeners: list[Callable[[Configuration], None]] = []
        self._changed = asyncio.Event()
        """Set when a version or a part arrives or a transfer ends."""
        self._pulling: asyncio.Task[None] | None = None
        self._pushing: asyncio.Task[None] | None = None
        self._transfer: IncomingTransfer | None = None
        self._deferred = False
        """Whether the other side has asked this process to retry later."""
        self._part_timeout = MIN_PART_TIMEOUT_S
        """Time-out of the next part in seconds."""
        self._stalled = False
        """Whether the latest request for a part has failed."""
        self._behind_since: float | None = None
        self._requested_at = -MIN_REQUEST_INTERVAL_S
        self.gate = Gate(Configuration())
        self._earlier_gates: deque[Gate] = deque(maxlen=EARLIER_VERSIONS)
        """Gates of earlier versions, the newest last."""
        self.announced_version = -1
        """The newest version that a leader has announced."""
        self.source = ConfigurationSource(mbits, metrics, lambda: self.gate.configuration)
        self.confirmed_at = -1e9
        """Local time at which the version in force was last known to be the newest."""

    @property
    def version(self) -> int:
        """Return the version in force in this process, -1 before the first one."""
        return self.gate.configuration.version

    @property
    def age(self) -> float:
        """Return the seconds since the version in force was last confirmed."""
        return monotonic() - self.confirmed_at

    def subscribe(self, listener: Callable[[Configuration], None]) -> Callable[[], None]:
        """Pass the version in force and each newer one to ``listener``; return a way to stop it."""
        self._listeners.append(listener)
        if self.version >= 0:
            listener(self.gate.configuration)
        return lambda: self._listeners.remove(listener)

    # -- Updates -----------------------------------------------------------------------------

    def on_listed(self, items: Sequence[PageItem], end: int) -> None:
        """Handle the list of the newest records of the topic."""
        self.on_records([item.record for item in items], end)

    def on_records(self, records: Sequence[Record], end: int) -> None:
        """Handle records of the topic."""
        for record in records:
            configuration = self._codec.configuration(record)
            if configuration is not None:
                self.offer(configuration, "store")

    def record_confirmation(self, asked_at: float) -> None:
        """Record that the store had nothing newer at the local time ``asked_at``."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def offer(self, configuration: Configuration, source: str) -> bool:
        """Adopt a configuration if it is newer than the one in force; return whether it is."""
        if configuration.version <= self.version:
            return False
        self._earlier_gates.append(self.gate)
        self.gate = Gate(configuration)
        self._link.configuration_version = configuration.version
        self._behind_since = None
        self._reset_timeout()
        self._metrics.count("configuration", source)
        _logger.info(
            "configuration adopted",
            extra={
                "version": configuration.version,
                "source": source,
                "queues": len(configuration.queues),
                "organisations": len(configuration.organisations),
            },
        )
        transfer = self._transfer
        if transfer is not None and transfer.version <= configuration.version:
            self._abandon(transfer, f"known from: {source}")
        for listener in list(self._listeners):
            listener(configuration)
        self._notify_waiters()
        return True

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # -- The leader's side -------------------------------------------------------------------

    def on_ping(self, link: Link, version: int) -> None:
        """Handle a ping of a member that has ``version``: request it if it is newer."""
        now = monotonic()
        if version <= self.version or now - self._requested_at < MIN_REQUEST_INTERVAL_S:
            return
        self._requested_at = now
        self._pull_once(link.call, "member")

    def readmit(self, call: CallerCall) -> CallerCall:
        """Return a call that an earlier version has admitted as admitted by the one in force.

        The call is returned unchanged if the two versions would not admit it identically.
        """
        for gate in self._earlier_gates:
            if gate.configuration.version == call.version and self.gate.admits_identically(
                gate, call
            ):
                return msgspec.structs.replace(call, version=self.version)
        return call

    # -- A member's side ---------------------------------------------------------------------

    def on_pong(self, pong: Pong, asked_at: float) -> None:
        """Handle the leader's answer to a ping sent at the local time ``asked_at``."""
        now = monotonic()
        self.announced_version = max(self.announced_version, pong.configuration)
        if pong.configuration <= self.version:
            self._behind_since = None
            if pong.configuration == self.version:
                # The leader may have sent the answer as early as ``asked_at``.
                self.record_confirmation(asked_at - pong.configuration_age)
            if pong.wants_configuration and (self._pushing is None or self._pushing.done()):
                self._pushing = self._spawn(self._push())
            return
        if self._behind_since is None:
            self._behind_since = now
            self._spawn(self._pull_after(PULL_DELAY_S, pong.configuration))
        elif now - self._behind_since > PULL_DELAY_S:
            self._pull_once(self._link.call, "leader")

    async def _pull_after(self, seconds: float, version: int) -> None:
        """Request a version from the leader if it has not arrived after some seconds."""
        await asyncio.sleep(seconds)
        if self.version < version:
            self._pull_once(self._link.call, "leader")

    async def _push(self) -> None:
        try:
            await self._link.call(ConfigurationNews(self.gate.configuration), PUSH_TIMEOUT_S)
        except CallFailed as failed:
            _logger.info(
                "sending the configuration to the leader failed", extra={"why": str(failed)}
            )

    async def wait_for_version(self, version: int, seconds: float) -> bool:
        """Wait until a version is in force, for some seconds at most; return whether it is.

        If the store does not provide it, it is requested from the leader. A version that cannot
        arrive in time is not waited for.
        """
        deadline = monotonic() + seconds
        if self._pulling is None or self._pulling.done():
            await self._wait_for_own_read(version, min(seconds, OWN_READ_TIME_S))
        while self.version < version and self._may_arrive_by(version, deadline):
            pulling = self._pull_once(self._link.call, "leader")
            await wait_for_event(self._changed, deadline - monotonic())
            if pulling.done():
                break
        return self.version >= version

    async def _wait_for_own_read(self, version: int, seconds: float) -> None:
        deadline = monotonic() + seconds
        while self.version < version and monotonic() < deadline:
            await wait_for_event(self._changed, deadline - monotonic())

    def _may_arrive_by(self, version: int, deadline: float) -> bool:
        """Return whether a version may arrive by a local time."""
        now = monotonic()
        if self._deferred or now >= deadline:
            return False
        transfer = self._transfer
        if transfer is None or transfer.version < version:
            return True
        return now + transfer.remaining_s(now) <= deadline

    # -- Transfers ---------------------------------------------------------------------------

    def _pull_once(self, call: Call, source: str) -> "asyncio.Task[None]":
        """Return the transfer in progress, or start or resume one."""
        if self._pulling is None or self._pulling.done():
            self._pulling = self._spawn(self._pull(call, source))
        return self._pulling

    async def _pull(self, call: Call, source: str) -> None:
        """Request parts one after the other, until all have arrived or a request fails.

        If the configuration is still incomplete then, the transfer resumes with the next ping or
        pong of the other side.
        """
        try:
            while await self._pull_part(call, source):
                pass
        finally:
            self._deferred = False
            self._notify_waiters()

    async def _pull_part(self, call: Call, source: str) -> bool:
        """Request a part; return whether to request the next one."""
        asked_at = monotonic()
        transfer = self._transfer
        message = ConfigurationCall(self.version, True)
        if transfer is not None:
            message = transfer.next_call(self.version)
        try:
            reply = await call(message, self._part_timeout)
        except CallFailed as failed:
            self._handle_failure(failed, source)
            return False
        self._reset_timeout()
        if not isinstance(reply, ConfigurationReply):
            return False
        if reply.configuration is not None:
            self.offer(reply.configuration, source)
            return False
        self._deferred = reply.later > 0
        if self._deferred:
            self._notify_waiters()
            await asyncio.sleep(reply.later)
            return True
        return self._store_part(reply, asked_at, source)

    def _reset_timeout(self) -> None:
        """Reset the time-out, after an answer or once none is needed."""
        self._stalled = False
        self._part_timeout = MIN_PART_TIMEOUT_S

    def _handle_failure(self, failed: CallFailed, source: str) -> None:
        self._metrics.count("configuration_part", "failed")
        if failed.may_have_run and not failed.closed:
            self._part_timeout = min(MAX_PART_TIMEOUT_S, 2 * self._part_timeout)
        if not self._stalled:
            self._stalled = True
            extra = {"source": source, "why": str(failed), **self._progress()}
            _logger.info("configuration transfer stalled", extra=extra)

    def _progress(self) -> dict[str, int]:
        transfer = self._transfer
        if transfer is None:
            return {"got": 0}
        return {"version": transfer.version, "got": transfer.received, "size": transfer.size}

    def _store_part(self, reply: ConfigurationReply, asked_at: float, source: str) -> bool:
        """Store a part; return whether to request the next one."""
        if reply.of <= self.version or not reply.part:
            return False
        self._metrics.count("configuration_bytes", "got", len(reply.part))
        transfer = self._transfer
        if transfer is None or not transfer.add(reply):
            if reply.offset:
                return False
            transfer = self._start_transfer(reply, asked_at, source)
        if not transfer.is_complete:
            self._notify_waiters()
            return True
        self._complete_transfer(transfer, source)
        return False

    def _start_transfer(
        self, reply: ConfigurationReply, asked_at: float, source: str
    ) -> IncomingTransfer:
        previous = self._transfer
        if previous is not None:
            self._abandon(previous, "another one is in force there")
        transfer = self._transfer = IncomingTransfer(reply, asked_at)
        self._metrics.count("configuration_transfer", "begun")
        _logger.info("configuration transfer started", extra={"source": source, **self._progress()})
        return transfer

    def _complete_transfer(self, transfer: IncomingTransfer, source: str) -> None:
        try:
            configuration = transfer.configuration()
        except InvalidParts as broken:
            self._abandon(transfer, str(broken))
            return
        self._transfer = None
        seconds = monotonic() - transfer.begun_at
        self._metrics.count("configuration_transfer", "ended")
        self._metrics.observe("configuration_transfer", seconds)
        _logger.info(
            "configuration transfer complete",
            extra={
                "source": source,
                "version": transfer.version,
                "size": transfer.size,
                "seconds": round(seconds, 3),
            },
        )
        self.offer(configuration, source)

    def _abandon(self, transfer: IncomingTransfer, why: str) -> None:
        """Discard the parts received of a version."""
        seconds = round(monotonic() - transfer.begun_at, 3)
        extra = {"why": why, "seconds": seconds, **self._progress()}
        self._transfer = None
        self._metrics.count("configuration_transfer", "given up")
        _logger.info("configuration transfer abandoned", extra=extra)
