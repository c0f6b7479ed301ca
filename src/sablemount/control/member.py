"""A process of the system: it follows the leader, or leads, and passes callers' requests on."""

import asyncio
import logging
import random
import uuid
from collections.abc import Coroutine, Sequence

import msgspec

from sablemount.control.clock import monotonic
from sablemount.control.figures import Figures
from sablemount.control.follow import Follower
from sablemount.control.leader import Leader, LeaderPorts
from sablemount.control.messages import (
    Accepted,
    AdviseCall,
    CallerCall,
    CallerReply,
    Hello,
    LeaderRecord,
    LeaderView,
    Message,
    Operation,
    Outcome,
    Ping,
    Pong,
    Reply,
    TakeOver,
    ViewCall,
    not_taken,
)
from sablemount.control.network import CallFailed, Link, Listener, Network
from sablemount.control.store import Appended, PageItem, Topic, Unavailable
from sablemount.control.suspicion import ClaimReason, Suspicion
from sablemount.jobs.records import Record
from sablemount.jobs.settings import JobSettings

__all__ = ["Member", "MemberSettings"]

LEADER_KEY = "leader"
PING_INTERVAL = 0.15
PING_TIMEOUT = 0.5
CONNECT_TIMEOUT = 0.3
RECONNECT_PAUSE = 0.05
WATCH_WAIT = 8.0
WATCH_INTERVAL = 0.05
VIEW_TIMEOUT = 0.2
CLAIM_TIMEOUT = 1.0
PATIENCE = 0.15
"""Members wait for a random time up to this many seconds, so that few claim at once."""
FIRST_CLAIM = 0.1
"""Seconds after its start before which a member does not claim the first leadership."""
ENOUGH_CORES = 0.9
WEAK_PATIENCE = 0.4
CLAIM_PAUSE = 0.3
STORE_TRIAL = 0.4
STORE_SECOND_LOOK = 0.16
REST_AFTER_LEADING = 3.5
"""Seconds for which a former leader leaves the lead to others, so that no turns are taken."""
READY_GRACE = 1.0
CALL_TIMEOUT = 2.0
VIEW_FRESH = 0.5
"""A member that has heard the leader within these seconds speaks against a claim."""
YIELD_TIMEOUT = 0.5
HAND_OVER_WAIT = 0.15
"""Seconds that a request waits for a new leader."""
HAND_OVER_TIME = 0.5
"""Seconds after which a change of leader counts as an outage, and requests are refused at once."""
HAND_OVER_POLL = 0.01

_logger = logging.getLogger("sablemount.control.member")
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LeaderRecord)


class MemberSettings(msgspec.Struct, frozen=True):
    """What a member knows of itself; ``rpc_address`` is where others reach it."""

    name: str
    rpc_address: str
    jobs: JobSettings
    cores: float = 1.0
    """Share of a processor core that it may use: weak members leave the lead to others."""


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
        self.ports = ports
        self.leader: Leader | None = None
        self.record: LeaderRecord | None = None
        self.stopping = False
        self.figures = Figures()
        self._rng = rng
        self._incarnation = uuid.UUID(int=rng.getrandbits(128)).hex
        self._end = 0
        self._started_at = monotonic()
        self._suspicion = Suspicion(monotonic())
        weak = settings.cores < ENOUGH_CORES
        self._patience = rng.uniform(0.0, PATIENCE) + (WEAK_PATIENCE if weak else 0.0)
        self._known = False
        self._link: Link | None = None
        self._link_leads = False
        self._members: dict[str, str] = {}
        self._asked_to_lead = False
        self._rest_until = 0.0
        self._claim_pause_until = 0.0
        self._served_at = -1e9
        self._network = network
        self._listener: Listener | None = None
        self._watch = Follower(
            ports.store, Topic.LEADER, self._leader_listed, self._leader_told, WATCH_WAIT
        )
        self._tasks: set[asyncio.Task[None]] = set()

    # -- Life --------------------------------------------------------------------------------

    def start(self) -> None:
        """Listen and begin to follow."""
        address = self.settings.rpc_address
        self._listener = self._network.listen(address, self._handle, self._link_closed)
        for work in (self._watch.run(), self._link_forever(), self._judge_forever()):
            self._spawn(work)

    async def stop(self) -> None:
        """Hand over what this member leads."""
        self.stopping = True
        if self.leader is None:
            return
        leader = self.leader
        successors = [(name, leader.members[name]) for name in leader.successors()]
        await leader.close()
        for name, connection in successors:
            try:
                await connection.call(TakeOver(leader.epoch), YIELD_TIMEOUT)
            except CallFailed:
                continue
            _logger.info("lead handed over", extra={"to": name, "epoch": leader.epoch})
            return

    def close(self) -> None:
        """End all connections and tasks."""
        for task in list(self._tasks):
            task.cancel()
        if self._listener is not None:
            self._listener.close_all()
        if self._link is not None:
            self._link.close()

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _logger.error("internal error", exc_info=task.exception())

    @property
    def ready(self) -> bool:
        """Tell whether this member can serve callers."""
        return not self.stopping and monotonic() - self._served_at < READY_GRACE

    # -- Who leads ---------------------------------------------------------------------------

    def _leader_listed(self, items: Sequence[PageItem], end: int) -> None:
        self._end = end
        self._known = True
        for item in items:
            self._leader_seen(item.record)

    def _leader_told(self, records: Sequence[Record], end: int) -> None:
        self._end = end
        for record in records:
            self._leader_seen(record)

    def _leader_seen(self, record: Record) -> None:
        if record.key != LEADER_KEY or not record.value:
            return
        try:
            seen = _DECODER.decode(record.value)
        except msgspec.DecodeError:
            _logger.warning("undecodable leader record")
            return
        self._follow(seen)

    def _follow(self, seen: LeaderRecord) -> None:
        """Take who leads, if it is news."""
        if self.record is not None and seen.epoch <= self.record.epoch:
            return
        self.record = seen
        self._suspicion = Suspicion(monotonic())
        self._link_leads = False
        _logger.info("leader known", extra={"leader": seen.name, "epoch": seen.epoch})
        if self.leader is not None and self.leader.epoch < seen.epoch:
            self.leader.end("another member leads")
        if self._link is not None:
            self._link.close()

    @property
    def _epoch(self) -> int:
        """Return the highest epoch known here; 0 without a leader."""
        return 0 if self.record is None else self.record.epoch

    # -- The link to the leader --------------------------------------------------------------

    async def _link_forever(self) -> None:
        while True:
            record = self.record
            if record is None or record.name == self.settings.name:
                await asyncio.sleep(RECONNECT_PAUSE)
                continue
            try:
                link = await self._network.connect(record.address, self._handle, CONNECT_TIMEOUT)
            except CallFailed as failed:
                if failed.refused:
                    self._suspicion.refused(monotonic())
                await asyncio.sleep(RECONNECT_PAUSE)
                continue
            await self._keep(link, record)
            await asyncio.sleep(RECONNECT_PAUSE)

    async def _keep(self, link: Link, record: LeaderRecord) -> None:
        """Keep a link until it is over, or leads to a former leader."""
        self._link = link
        serving = asyncio.get_running_loop().create_task(link.serve())
        try:
            await link.call(Hello(self.settings.name, self.settings.rpc_address), PING_TIMEOUT)
            while not link.closed and self.record is record:
                await self._ping(link)
                await asyncio.sleep(PING_INTERVAL)
        except CallFailed:
            pass
        finally:
            self._link = None
            self._link_leads = False
            link.close()
            serving.cancel()

    async def _ping(self, link: Link) -> None:
        epoch = self._epoch
        uptime = monotonic() - self._started_at
        ping = Ping(
            self.settings.name, self.settings.rpc_address, epoch, uptime, self.settings.cores
        )
        pong = await link.call(ping, PING_TIMEOUT)
        if not isinstance(pong, Pong):
            return
        if self._epoch != epoch:
            # Another leader has become known meanwhile, of which this answer tells nothing.
            return
        now = monotonic()
        self._suspicion.heard(pong, now)
        self._link_leads = pong.leading and pong.epoch == epoch
        self._members = pong.members
        if self._link_leads:
            self._served_at = now

    # -- Claims ------------------------------------------------------------------------------

    async def _judge_forever(self) -> None:
        while True:
            await asyncio.sleep(WATCH_INTERVAL)
            if self.leader is not None:
                if self.leader.leading and self.leader.authority():
                    self._served_at = monotonic()
                continue
            reason = self._reason()
            if reason is not None:
                await self._consider(reason)

    def _reason(self) -> str | None:
        now = monotonic()
        if self.stopping or not self._known or now < self._claim_pause_until:
            return None
        if self._asked_to_lead:
            return ClaimReason.ASKED
        if self.record is None:
            waited = now - self._started_at > FIRST_CLAIM + self._patience
            return ClaimReason.NO_LEADER if waited else None
        if self.record.name == self.settings.name:
            rested = now > self._rest_until
            return ClaimReason.OWN_FORMER_LIFE if rested else None
        reason = self._suspicion.reason(now, self._patience)
        if (
            reason is not None
            and now < self._rest_until
            and not self._suspicion.alone_too_long(now)
        ):
            return None
        return reason

    async def _consider(self, reason: str) -> None:
        """Claim, unless others still hear the leader."""
        if reason in (ClaimReason.SILENT, ClaimReason.REFUSED) and not await self._others_agree():
            self._claim_pause_until = monotonic() + CLAIM_PAUSE
            return
        if reason == ClaimReason.STORE_LOST and not await self._store_reached():
            self._claim_pause_until = monotonic() + CLAIM_PAUSE
            return
        self._asked_to_lead = False
        await self._claim(reason)

    async def _store_reached(self) -> bool:
        """Tell whether the store answers here while the leader is still without it."""
        page = await self.ports.store.newest(Topic.LEADER, "", STORE_TRIAL)
        if isinstance(page, Unavailable):
            return False
        self._leader_listed(page.items, page.end)
        # A store that has come back answers the leader too: its next answer tells.
        await asyncio.sleep(STORE_SECOND_LOOK)
        return self._suspicion.store_lost_since > 0

    async def _others_agree(self) -> bool:
        """Ask the other members whether they hear the leader."""
        record = self.record
        epoch = self._epoch
        others = [
            address
            for name, address in self._members.items()
            if name != self.settings.name and (record is None or name != record.name)
        ]
        views = await asyncio.gather(*(self._view(address) for address in others))
        heard = [view for view in views if view is not None]
        if any(_speaks_for(view, epoch) for view in heard):
            return False
        if heard or not others:
            return True
        return self._suspicion.alone_too_long(monotonic())

    async def _view(self, address: str) -> LeaderView | None:
        try:
            connection = await self._network.connect(address, self._handle, VIEW_TIMEOUT)
        except CallFailed:
            return None
        serving = asyncio.get_running_loop().create_task(connection.serve())
        try:
            view = await connection.call(ViewCall(), VIEW_TIMEOUT)
            return view if isinstance(view, LeaderView) else None
        except CallFailed:
            return None
        finally:
            connection.close()
            serving.cancel()

    async def _claim(self, reason: str) -> None:
        """Write the next leader record where the topic ends, which only one claim can do."""
        epoch = self._epoch + 1
        claim = LeaderRecord(
            epoch, self.settings.name, self.settings.rpc_address, self._incarnation
        )
        record = Record(LEADER_KEY, _ENCODER.encode(claim))
        heard_ago = round(self._suspicion.heard_age(monotonic()), 3)
        result = await self.ports.store.append(Topic.LEADER, [record], CLAIM_TIMEOUT, at=self._end)
        won = isinstance(result, Appended)
        self.figures.count("claim", reason)
        _logger.info(
            "claim",
            extra={
                "epoch": epoch,
                "why": reason,
                "heard_ago": heard_ago,
                "won": won,
                "answer": repr(result),
            },
        )
        self._claim_pause_until = monotonic() + CLAIM_PAUSE * self._rng.uniform(0.5, 1.5)
        if won:
            # The record may have been read before the answer to the claim came.
            self._follow(claim)
            self._lead_if_mine(epoch)
        else:
            # The topic's end may have moved, or the claim may be there though its answer is lost.
            await self._look_again(epoch)

    async def _look_again(self, epoch: int) -> None:
        page = await self.ports.store.newest(Topic.LEADER, "", CLAIM_TIMEOUT)
        if isinstance(page, Unavailable):
            return
        self._leader_listed(page.items, page.end)
        self._lead_if_mine(epoch)

    def _lead_if_mine(self, epoch: int) -> None:
        record = self.record
        if record is not None and (record.epoch, record.incarnation) == (epoch, self._incarnation):
            self._spawn(self._lead(epoch))

    async def _lead(self, epoch: int) -> None:
        if self.leader is not None or self.stopping:
            return
        leader = Leader(
            self.settings.name,
            epoch,
            self.ports,
            self.settings.jobs,
            self._rng,
            self.figures,
        )
        self.leader = leader
        try:
            await leader.run()
        finally:
            self.leader = None
            self._rest_until = monotonic() + REST_AFTER_LEADING
            for connection in leader.members.values():
                connection.close()

    # -- Calls of other members --------------------------------------------------------------

    async def _handle(self, connection: Link, message: Message) -> Reply:
        if isinstance(message, Ping):
            return self._pinged(connection, message)
        if isinstance(message, Hello):
            connection.peer = message.name
            return Accepted()
        if isinstance(message, ViewCall):
            return self._own_view()
        if isinstance(message, CallerCall):
            return await self._serve_locally(message)
        if isinstance(message, AdviseCall):
            return await self.ports.advice.advise(message.step, message.vms, message.timeout)
        return self._take_over(message)

    def _own_view(self) -> LeaderView:
        if self.leader is not None and self.leader.leading:
            return LeaderView(self.leader.epoch, 0.0, True)
        return LeaderView(
            self._epoch, self._suspicion.heard_age(monotonic()), self._link is not None
        )

    def _pinged(self, connection: Link, ping: Ping) -> Pong:
        leader = self.leader
        if leader is None or not leader.leading:
            return Pong(self._epoch, False, 0.0, leader is not None and not leader.over.is_set())
        if ping.epoch > leader.epoch:
            leader.end("a member knows a later leader")
            return Pong(leader.epoch, False, 0.0)
        leader.members[ping.name] = connection
        leader.member_heard[ping.name] = monotonic()
        leader.member_uptime[ping.name] = ping.uptime
        leader.member_cores[ping.name] = ping.cores
        connection.peer = ping.name
        self._members[ping.name] = ping.address
        return Pong(leader.epoch, True, leader.store_age(), members=self._members)

    def _link_closed(self, connection: Link) -> None:
        leader = self.leader
        if leader is not None and leader.members.get(connection.peer) is connection:
            del leader.members[connection.peer]
            leader.member_heard.pop(connection.peer, None)

    def _take_over(self, message: TakeOver) -> Reply:
        if self.record is not None and message.epoch == self.record.epoch and not self.stopping:
            self._asked_to_lead = True
            self._claim_pause_until = 0.0
        return Accepted()

    async def _serve_locally(self, call: CallerCall) -> CallerReply:
        leader = self.leader
        if leader is None or not leader.leading:
            return not_taken("this member does not lead")
        return await leader.serve(call)

    # -- Callers -----------------------------------------------------------------------------

    def _leader_reached(self) -> bool:
        if self.leader is not None and self.leader.leading:
            return True
        return self._link is not None and self._link_leads

    async def _await_leader(self) -> None:
        """Wait a moment while the lead changes hands: a hand-over takes some 50 ms."""
        last = monotonic() + HAND_OVER_WAIT
        while not self._leader_reached() and monotonic() < last:
            if monotonic() - self._served_at > HAND_OVER_TIME:
                return
            await asyncio.sleep(HAND_OVER_POLL)

    def gauges(self) -> dict[str, float]:
        """Return the figures of the present state."""
        figures = {"epoch": float(self._epoch), "ready": float(self.ready), "leading": 0.0}
        leader = self.leader
        if leader is not None and leader.leading:
            state = leader.scheduler.state
            figures["leading"] = 1.0
            figures["store_age_seconds"] = leader.store_age()
            figures["live_jobs"] = float(len(state.live))
            figures["open_steps"] = float(len(state.open_steps))
            figures["vms"] = float(len(state.vms))
            figures["runs"] = float(sum(len(row.runs) for row in state.vms.values()))
        return figures

    async def serve(self, call: CallerCall, timeout: float) -> CallerReply:
        """Answer a caller's request, here or through the leader; ``timeout`` is in seconds."""
        began = monotonic()
        reply = await self._serve(call, timeout)
        self.figures.observe("request", monotonic() - began)
        self.figures.count("request", reply.outcome.name.lower())
        return reply

    async def _serve(self, call: CallerCall, timeout: float) -> CallerReply:
        await self._await_leader()
        leader = self.leader
        if leader is not None and leader.leading:
            return await leader.serve(call)
        link = self._link
        if link is None or not self._link_leads:
            return not_taken("no leader is known here")
        try:
            reply = await link.call(call, min(timeout, CALL_TIMEOUT))
        except CallFailed as failed:
            return _failed(call, failed)
        assert isinstance(reply, CallerReply)
        return reply


def _speaks_for(view: LeaderView, epoch: int) -> bool:
    """Tell whether a member still hears the leader of an epoch, or knows a later one."""
    if view.epoch > epoch:
        return True
    return view.epoch == epoch and view.linked and view.heard_age < VIEW_FRESH


def _failed(call: CallerCall, failed: CallFailed) -> CallerReply:
    if failed.sent and call.operation is not Operation.STATE:
        return CallerReply(Outcome.UNKNOWN, reason=str(failed))
    return not_taken(str(failed))
