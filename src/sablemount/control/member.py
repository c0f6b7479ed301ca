"""A process of the system: it follows the leader or leads, and forwards callers' requests."""

import asyncio
import logging
import random

from sablemount.control.announcer import announce
from sablemount.control.background import Background, error_logger
from sablemount.control.caller_route import CallerRoute
from sablemount.control.clock import monotonic, wait_for_event
from sablemount.control.configuration_feed import ConfigurationFeed
from sablemount.control.configuration_source import BYTES_PER_MBIT
from sablemount.control.counted_store import CountedStore
from sablemount.control.discovery import Discovery
from sablemount.control.election import Election
from sablemount.control.figures import Metrics
from sablemount.control.follow import Follower
from sablemount.control.hand_over import Successor, hand_over_leadership, offer_leadership
from sablemount.control.leader import Leader, LeaderPorts
from sablemount.control.leader_link import LeaderLink
from sablemount.control.load import LoadProgress, LoadStore
from sablemount.control.member_calls import MemberCalls
from sablemount.control.member_settings import MemberSettings
from sablemount.control.messages import CallerCall, CallerReply, LeaderRecord, Message, Reply
from sablemount.control.network import Link, Listener, Network
from sablemount.control.organisation_figures import organisation_gauges
from sablemount.control.preload import Preload
from sablemount.control.roster import MembershipList
from sablemount.control.store import Topic

__all__ = ["Member"]

RELIST_INTERVAL_S = 8.0
"""Seconds after which records are listed anew: one may be dropped before it was read."""
LEADING_RELIST_INTERVAL_S = 1.0
"""Seconds after which the configuration is listed anew while this process leads: members ask it for
the current one."""
CLAIM_CHECK_INTERVAL_S = 0.05
"""Seconds between checks whether to claim, a small part of the silence that leads to a claim."""
READY_GRACE_S = 1.0
"""Seconds after it could last serve for which a member still reports that it is ready."""
UNCONFIRMED_TIMEOUT_S = 8.0
"""Seconds without a confirmed configuration after which this member's own reads count as failing: a
healthy leader's answers confirm it continuously, and a slow store takes less than this."""
CONFIRMATIONS_PER_TIMEOUT = 4
"""Number of confirmations of the configuration within the time after which it counts as
unconfirmed."""

_logger = logging.getLogger("sablemount.control.member")


class Member:
    """One member. ``ports`` are its adapters to the platform."""

    def __init__(
        self,
        settings: MemberSettings,
        ports: LeaderPorts,
        network: Network,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.metrics = Metrics()
        store = CountedStore(ports.store, self.metrics)
        ports = LeaderPorts(store, ports.vms, ports.advice, ports.codec)
        self.ports = ports
        self.leader: Leader | None = None
        self.stopping = False
        self._rng = rng
        self._network = network
        self._listener: Listener | None = None
        self._last_led_at = -1e9
        self._link = LeaderLink(settings, network, self._handle)
        self._load_progress = LoadProgress()
        self._preload = Preload(LoadStore(ports.store, self._load_progress))
        self._election = Election(
            settings,
            ports.store,
            self._link,
            rng,
            self.metrics,
            self._follow,
            self._on_won,
            self._preload.start,
            lambda: self.feed.age < UNCONFIRMED_TIMEOUT_S,
        )
        self._link.on_leader = self._follow
        self._discovery = Discovery(self._link, rng, self._leader_known, self._follow)
        self._leader_follower = Follower(
            ports.store,
            Topic.LEADER,
            self._election.on_listed,
            self._election.on_records,
            RELIST_INTERVAL_S,
        )
        self._takeover_requested = asyncio.Event()
        """Set when the leader has asked this member to take over."""
        self._background = Background(error_logger(_logger))
        self.feed = ConfigurationFeed(
            ports.codec,
            self._link,
            self.metrics,
            self._background.spawn,
            settings.limits.link_mbps,
        )
        self._link.on_pong = self.feed.on_pong
        self._calls = MemberCalls(
            self._link,
            self.feed,
            ports.advice,
            Successor(self._link, self._preload, self._request_claim, self._background.spawn),
            lambda: self.leader,
            self._follow,
        )
        self._route = CallerRoute(
            settings, self._link, self.feed, self.metrics, self._leading, self._last_served_at
        )
        self._configuration_follower = Follower(
            ports.store,
            Topic.CONFIGURATION,
            self.feed.on_listed,
            self.feed.on_records,
            RELIST_INTERVAL_S,
            self.feed.record_confirmation,
            self._max_read_wait(),
        )

    def _max_read_wait(self) -> float:
        """Return the seconds for which a read of the configuration may wait for a new one."""
        settings = self.settings
        return (
            settings.revoke_after / CONFIRMATIONS_PER_TIMEOUT
            if settings.fail_closed
            else float("inf")
        )

    # -- Lifecycle ---------------------------------------------------------------------------

    def start(self) -> None:
        """Listen for connections and start the background tasks."""
        address = self.settings.rpc_address
        self._listener = self._network.listen(address, self._handle, self._on_link_closed)
        for work in (
            self._leader_follower.run,
            self._configuration_follower.run,
            self._link.run,
            self._claim_when_due,
            self._discovery.run,
        ):
            self._background.keep(work)

    async def stop(self) -> None:
        """Hand over the leadership if this member leads."""
        self.stopping = self._link.stopping = True
        leader = self.leader
        if leader is not None:
            await hand_over_leadership(leader)

    def close(self) -> None:
        """Close all connections and cancel all tasks."""
        self._background.close()
        if self._listener is not None:
            self._listener.close_all()
        self._link.close()

    # -- State -------------------------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """Return whether this member can serve callers."""
        configured = not self.stopping and self.feed.version >= 0
        return configured and monotonic() - self._last_served_at() < READY_GRACE_S

    def _last_served_at(self) -> float:
        """Return when this member last led, or last heard from a leader that leads."""
        return max(self._last_led_at, self._link.last_leading_pong_at)

    def _leading(self) -> Leader | None:
        leader = self.leader
        return leader if leader is not None and leader.leading else None

    def _leader_known(self) -> bool:
        """Return whether this member leads or is connected to a leader that does."""
        return self.leader is not None or self._link.leader_active

    def gauges(self) -> dict[str, float]:
        """Return the gauges of the present state."""
        values = {"epoch": float(self._link.epoch), "ready": float(self.ready), "leading": 0.0}
        values["configuration_version"] = float(self.feed.version)
        values["configuration_age_seconds"] = self.feed.age
        leader = self._leading()
        if leader is not None:
            state = leader.scheduler.state
            values["leading"] = 1.0
            values["store_age_seconds"] = leader.store_age()
            values["live_jobs"] = float(len(state.open_jobs))
            values["open_steps"] = float(len(state.open_steps))
            lifecycle = leader.scheduler.lifecycle
            values["repetitions_behind"] = float(lifecycle.openings.repetitions_behind())
            values["job_memory_bytes"] = float(lifecycle.admission.held_bytes)
            values["job_memory_limit_bytes"] = float(lifecycle.admission.limit)
            values["vms"] = float(len(state.vms))
            values["runs"] = float(sum(len(row.runs) for row in state.vms.values()))
            speeds = leader.scheduler.speeds
            values["vm_speed_ratio"] = speeds.ratio
            values["vms_uneven"] = float(state.speeds_uneven)
            values["expected_time_error"] = speeds.error
            values |= organisation_gauges(state)
        return values

    # -- Who leads ---------------------------------------------------------------------------

    def _follow(self, record: LeaderRecord) -> None:
        if not self._link.follow(record):
            return
        if self.leader is not None and self.leader.epoch < record.epoch:
            self.leader.end("another member leads")

    async def _claim_when_due(self) -> None:
        while True:
            await wait_for_event(self._takeover_requested, CLAIM_CHECK_INTERVAL_S)
            self._takeover_requested.clear()
            if self.leader is not None:
                if self.leader.has_authority():
                    self._last_led_at = monotonic()
            elif not self.stopping:
                await self._election.claim_if_due()

    def _request_claim(self, epoch: int) -> None:
        """Claim at once, as the leader of an epoch has requested."""
        self._election.on_takeover_request(epoch)
        self._takeover_requested.set()

    def _on_won(self, epoch: int) -> None:
        self._background.spawn(self._lead(epoch))

    async def _lead(self, epoch: int) -> None:
        if self.leader is not None or self.stopping:
            return
        record = self._link.record
        assert record is not None
        preload_task = self._preload.take()
        uplink = self.settings.limits.link_mbps * BYTES_PER_MBIT
        leader = Leader(
            self.settings.name,
            epoch,
            self.ports,
            self.settings.jobs,
            self._rng,
            self.metrics,
            self.feed,
            self._election.take_preload() or preload_task,
            MembershipList(self._link.addresses, uplink),
            self._link.cell,
            self._load_progress,
            uplink,
        )
        self.leader = leader
        self._configuration_follower.set_intervals(
            LEADING_RELIST_INTERVAL_S, min(LEADING_RELIST_INTERVAL_S, self._max_read_wait())
        )
        announce_task = self._background.spawn(
            announce(record, self._link, lambda: leader.leading, leader.members.recently_heard)
        )
        offer_task = self._background.spawn(offer_leadership(leader, self.settings.standing))
        try:
            await leader.run()
        finally:
            announce_task.cancel()
            offer_task.cancel()
            self.leader = None
            self._configuration_follower.set_intervals(RELIST_INTERVAL_S, self._max_read_wait())
            self._link.cell = leader.members.size
            self._election.start_cooldown()
            leader.members.close_links()

    # -- Calls of other members --------------------------------------------------------------

    async def _handle(self, link: Link, message: Message) -> Reply:
        return await self._calls.handle(link, message)

    def _on_link_closed(self, link: Link) -> None:
        if self.leader is not None:
            self.leader.members.on_link_closed(link)

    # -- Callers -----------------------------------------------------------------------------

    async def serve(
        self, call: CallerCall, timeout: float, digest: bytes | None = None
    ) -> CallerReply:
        """Answer a caller's request, here or through the leader; ``timeout`` is in seconds.

        ``digest`` is that of the caller's key, if one was presented.
        """
        return await self._route.serve(call, timeout, digest)
