"""A member's link to the leader, and what its pings reveal about the leader."""

import asyncio
import contextlib
import logging
from collections.abc import Callable

from sablemount.control.clock import monotonic, wait_for_event
from sablemount.control.member_settings import MemberSettings
from sablemount.control.messages import (
    LeaderRecord,
    LeaderView,
    Message,
    Ping,
    Pong,
    Reply,
    ViewCall,
)
from sablemount.control.network import CallFailed, Handler, Link, Network
from sablemount.control.standing import FULL_STANDING
from sablemount.control.suspicion import Suspicion

__all__ = ["LeaderLink"]

PING_INTERVAL_S = 0.15
"""Seconds between pings: four fit into the silence after which a leader is suspected."""
NEW_LEADER_PING_INTERVAL_S = 0.02
"""Seconds between pings while a new leader loads, which takes some 30 ms: callers wait for it."""
NEW_LEADER_PERIOD_S = 1.0
"""Seconds for which a leader counts as new; its load then is complete unless the store is slow."""
MAX_PINGS_PER_S = 2_000
"""Maximum rate of the pings of all members to a leader: they take a fifth of a processor core."""
MAX_PING_INTERVAL_S = 0.3
"""Seconds between pings in the largest cells: two fit into the silence after which a leader is
suspected."""
PING_TIMEOUT_S = 0.3
"""Seconds that a ping waits for its answer. The rest of the time until the leader is suspected
allows for a ping over a new connection, since the old one may have failed without a reset."""
CONNECT_TIMEOUT_S = 0.3
"""Seconds that connecting to the leader may take: 100 times the latency between two zones."""
VIEW_TIMEOUT_S = 0.2
"""Seconds that another member has to answer: 100 times the latency between two zones."""
RECONNECT_PAUSE_S = 0.05
"""Seconds between attempts to connect; the first attempt to reach a new leader is made at once."""


def _ignore(record: LeaderRecord) -> None:
    """Default handler of a later leader: do nothing."""


def _ignore_pong(pong: Pong, asked_at: float) -> None:
    """Default handler of an answer of the leader: do nothing."""


_logger = logging.getLogger("sablemount.control.leader_link")


class LeaderLink:
    """Connects to the leader named by the newest record; ``handler`` answers the leader's calls."""

    def __init__(self, settings: MemberSettings, network: Network, handler: Handler) -> None:
        self._settings = settings
        self._network = network
        self._handler = handler
        self._started_at = monotonic()
        self._link: Link | None = None
        self._leader_changed = asyncio.Event()
        self.record: LeaderRecord | None = None
        self.suspicion = Suspicion(monotonic())
        self.stopping = False
        """Whether this member is being stopped."""
        self.leader_active = False
        """Whether the leader has confirmed over this link that it leads."""
        self.last_leading_pong_at = -1e9
        self.on_leader: Callable[[LeaderRecord], None] = _ignore
        """Called with a later leader that the current one reports."""
        self.addresses: dict[str, str] = {}
        """Addresses by name of the members that the leader has heard."""
        self._addresses_version = 0
        """Version of the addresses that the leader has sent."""
        self.cell = 0
        """Number of members that the last leader counted, including itself; 0 if it is unknown."""
        self.best_standing = FULL_STANDING
        """Suitability of the best member that could take over, as the last leader reported it.
        Until then, assume that a fully suitable one exists."""
        self.configuration_version = -1
        """Version of the configuration here, which pings report."""
        self.on_pong: Callable[[Pong, float], None] = _ignore_pong
        """Called with each answer of the leader once it leads, and with the time when the ping was
        sent."""

    @property
    def epoch(self) -> int:
        """Return the highest epoch known here; 0 without a leader."""
        return 0 if self.record is None else self.record.epoch

    @property
    def is_connected(self) -> bool:
        """Return whether there is a connection to the leader."""
        return self._link is not None

    def follow(self, newer: LeaderRecord) -> bool:
        """Follow the leader of a record; return whether the record is newer than the known one."""
        if newer.epoch <= self.epoch:
            return False
        leaderless = self._count_leaderless_epochs()
        if self.record is not None:
            # A leader pings nobody, so that a later leader would not learn its address.
            self.addresses[self.record.name] = self.record.address
        self.record = newer
        self._addresses_version = 0
        self.suspicion = Suspicion(monotonic(), leaderless)
        self.leader_active = False
        _logger.info("leader known", extra={"leader": newer.name, "epoch": newer.epoch})
        self.close()
        self._leader_changed.set()
        return True

    def _count_leaderless_epochs(self) -> int:
        """Return how many leaders in a row, including this one, were never heard to lead."""
        if self.record is None or self.last_leading_pong_at >= self.suspicion.known_since:
            return 0
        return self.suspicion.leaderless_epochs + 1

    def other_members(self) -> list[str]:
        """Return the addresses of the members other than this one and the leader."""
        excluded = {self._settings.name, "" if self.record is None else self.record.name}
        return [address for name, address in self.addresses.items() if name not in excluded]

    async def call(self, message: Message, timeout: float) -> Reply:
        """Call the leader; raises ``CallFailed``."""
        if self._link is None or not self.leader_active:
            raise CallFailed("no leader is known here", may_have_run=False)
        return await self._link.call(message, timeout)

    async def call_once(self, address: str, message: Message, timeout: float) -> Reply:
        """Call a member over a separate connection; raises ``CallFailed``."""
        link = await self._network.connect(address, self._handler, timeout)
        serve_task = asyncio.get_running_loop().create_task(link.serve())
        try:
            return await link.call(message, timeout)
        finally:
            link.close()
            serve_task.cancel()

    async def request_view(self, address: str) -> LeaderView | None:
        """Ask another member for its view of the leader; ``None`` without an answer."""
        try:
            view = await self.call_once(address, ViewCall(), VIEW_TIMEOUT_S)
        except CallFailed:
            return None
        return view if isinstance(view, LeaderView) else None

    def close(self) -> None:
        """Close the connection."""
        if self._link is not None:
            self._link.close()

    # -- The connection ----------------------------------------------------------------------

    async def run(self) -> None:
        """Keep a connection to the leader until cancelled."""
        while True:
            record = self.record
            self._leader_changed.clear()
            if record is not None and record.name != self._settings.name:
                answered = await self._connect(record)
                if answered:
                    # Reconnect at once: if the process has ended, the next attempt is refused and
                    # shows it.
                    continue
            await self._pause(RECONNECT_PAUSE_S)

    async def _pause(self, seconds: float) -> None:
        """Wait for ``seconds`` seconds, or until another leader becomes known."""
        await wait_for_event(self._leader_changed, seconds)

    async def _connect(self, record: LeaderRecord) -> bool:
        """Connect and keep the connection until it ends; return whether the leader answered."""
        try:
            link = await self._network.connect(record.address, self._handler, CONNECT_TIMEOUT_S)
        except CallFailed as failed:
            if failed.refused:
                self.suspicion.on_refused(monotonic())
            return False
        return await self._ping_while_current(link, record)

    async def _ping_while_current(self, link: Link, record: LeaderRecord) -> bool:
        """Ping until the link closes or its leader is replaced; return whether it answered."""
        answered = False
        self._link = link
        serve_task = asyncio.get_running_loop().create_task(link.serve())
        try:
            while not link.closed and self.record is record:
                await self._ping(link)
                answered = True
                await self._pause(self._ping_interval())
        except CallFailed:
            pass
        finally:
            self._link = None
            self.leader_active = False
            link.close()
            serve_task.cancel()
        return answered

    def _ping_interval(self) -> float:
        is_new = (
            not self.leader_active
            and monotonic() - self.suspicion.known_since < NEW_LEADER_PERIOD_S
        )
        interval = NEW_LEADER_PING_INTERVAL_S if is_new else PING_INTERVAL_S
        return max(interval, min(MAX_PING_INTERVAL_S, self.cell / MAX_PINGS_PER_S))

    async def ping_now(self, timeout: float) -> None:
        """Ping the leader at once; wait for its answer for at most ``timeout`` seconds."""
        link = self._link
        if link is None:
            return
        with contextlib.suppress(CallFailed, TimeoutError):
            async with asyncio.timeout(timeout):
                await self._ping(link)

    async def _ping(self, link: Link) -> None:
        epoch = self.epoch
        settings = self._settings
        uptime = monotonic() - self._started_at
        ping = Ping(
            settings.name,
            settings.rpc_address,
            epoch,
            uptime,
            settings.standing,
            self.stopping,
            self._addresses_version,
            self.configuration_version,
            self.cell,
        )
        asked_at = monotonic()
        pong = await link.call(ping, PING_TIMEOUT_S + self.suspicion.extra_silence())
        # If another leader has become known meanwhile, this answer says nothing about that leader.
        if isinstance(pong, Pong) and self.epoch == epoch:
            self._process_pong(pong, asked_at)

    def _process_pong(self, pong: Pong, asked_at: float) -> None:
        now = monotonic()
        if pong.leader is not None and pong.leader.epoch > self.epoch:
            self.on_leader(pong.leader)
            return
        self.suspicion.on_pong(pong, now, now - asked_at)
        self.leader_active = pong.leading and pong.epoch == self.epoch
        if pong.members is not None:
            self.addresses = pong.members
        self._addresses_version = pong.roster
        if self.leader_active:
            self.last_leading_pong_at = now
            self.cell = pong.cell or self.cell
            self.best_standing = pong.best
            self.on_pong(pong, asked_at)
