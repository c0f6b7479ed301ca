"""Leader election: when and how this member claims the leadership."""

import asyncio
import logging
import random
import uuid
from collections.abc import Callable, Sequence

import msgspec

from sablemount.control.clock import monotonic
from sablemount.control.figures import Metrics
from sablemount.control.hedge import hedged
from sablemount.control.leader_link import LeaderLink
from sablemount.control.member_settings import MemberSettings
from sablemount.control.messages import LeaderRecord, LeaderView
from sablemount.control.preload import JobsSnapshot, read_result
from sablemount.control.standing import claim_delay
from sablemount.control.store import (
    Appended,
    AppendResult,
    Conflict,
    Page,
    PageItem,
    Store,
    Topic,
    Unavailable,
)
from sablemount.control.suspicion import NEVER, ClaimReason
from sablemount.jobs.records import Record

__all__ = ["Election"]

LEADER_KEY = "leader"
MAX_VIEW_AGE_S = 0.5
"""A member that has heard the leader within this many seconds objects to a claim."""
CLAIM_TIMEOUT_S = 1.0
"""Seconds that one attempt to claim, or to read the leader topic, waits for its answer."""
CLAIM_RETRY_INTERVAL_S = 0.35
"""Seconds without an answer after which the attempt is repeated."""
CLAIM_DEADLINE_S = 1.4
"""Seconds without an answer after which a claim is abandoned; a later one starts afresh."""
CLAIM_PAUSE_S = 0.3
"""Average seconds between two claims of one member."""
POLL_PAUSE_FACTOR = 1.5
"""Factor by which the pause between polls for a later leader grows."""
MAX_POLL_PAUSE_S = 4.0
"""Longest average pause between these polls in seconds: the end of an outage is noticed soon."""
MAX_CLAIM_JITTER_S = 0.15
"""Members wait for a random time of up to this many seconds, so that few claim at once."""
FIRST_CLAIM_DELAY_S = 0.1
"""Seconds after its start for which a member does not claim the first leadership."""
STORE_PROBE_TIMEOUT_S = 0.4
"""Seconds that the store has to answer the probe of a member whose leader cannot reach it."""
FAST_ANSWER_S = 0.15
"""Seconds within which a healthy store answers a member: 40 times the usual response time."""
SLOW_STORE_SILENCE_S = 2.0
"""Seconds for which an answer to the leader may be overdue if the store is slow for this member
too."""
LEADER_RECHECK_TIMEOUT_S = 0.16
"""Seconds that the leader has to answer one more ping, after this member has checked the store and
before it claims."""
STORE_RECOVERY_GRACE_S = 0.8
"""Seconds after the store last failed to answer this member for which a leader that lacks the store
is not replaced: the leader retries every 0.35 s, and its next pong arrives within 0.15 s."""
SLOW_STORE_LOAD_STALL_S = 8.0
"""Seconds for which a load may make no progress if the store is slow for this member too: twice the
time after which a read of a page is abandoned."""
STORE_RECOVERY_LOAD_GRACE_S = 2.0
"""Seconds after the store last failed to answer this member for which a leader is not replaced for
a stalled load."""
PRELOAD_WAIT_S = 0.25
"""Seconds to wait for the preload before a claim; a usual load takes a tenth of it."""
COOLDOWN_AFTER_LEADING_S = 3.5
"""Seconds for which a previous leader leaves the leadership to others, so that two members do not
alternate."""
MAX_VIEWS_REQUESTED = 5
"""Members asked for their view of the leader. If two thirds of the members hear a leader, all five
miss it in 1 of 243 suspicions; asking all members would cost quadratically many calls."""
SUFFICIENT_VIEWS = 3
"""Agreeing views that suffice: a member that failed together with the leader would be awaited in
vain."""
UNCERTAIN_REASONS = (ClaimReason.SILENT, ClaimReason.REFUSED)
"""Reasons that may be due to this member's own connection, so that others are asked."""

_logger = logging.getLogger("sablemount.control.election")
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LeaderRecord)


class Position(msgspec.Struct, frozen=True):
    """The last leadership known here, and the end offset of the leader topic after its record."""

    epoch: int
    end: int


class ClaimGrounds(msgspec.Struct, frozen=True):
    """Why a claim may be due, and the leadership that the reason refers to.

    The grounds are stale once the position has moved, since they say nothing about a later leader,
    and once the leader has answered and no reason remains.
    """

    reason: str
    at: Position


class Election:
    """Reads the leader records and writes the next one when a claim is due.

    ``on_leader`` receives each newer record, and ``on_won`` the epoch that this member has won.
    ``start_preload`` starts to read the persistent state before a claim. ``reads_succeed`` returns
    whether the store has answered this member's own reads recently.
    """

    def __init__(
        self,
        settings: MemberSettings,
        store: Store,
        link: LeaderLink,
        rng: random.Random,
        metrics: Metrics,
        on_leader: Callable[[LeaderRecord], None],
        on_won: Callable[[int], None],
        start_preload: "Callable[[], asyncio.Task[JobsSnapshot | None]]",
        reads_succeed: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._store = store
        self._link = link
        self._rng = rng
        self._metrics = metrics
        self._on_leader = on_leader
        self._on_won = on_won
        self._start_preload = start_preload
        self._reads_succeed = reads_succeed
        self._preload_task: asyncio.Task[JobsSnapshot | None] | None = None
        """The preload that precedes a claim where this member may be unable to read the store."""
        self._incarnation = uuid.UUID(int=rng.getrandbits(128)).hex
        self._started_at = monotonic()
        self._claim_jitter = rng.uniform(0.0, MAX_CLAIM_JITTER_S)
        self._end = 0
        """End offset of the topic when this member last read it."""
        self._topic_read = False
        self._conflict_position: Position | None = None
        """Position at which a claim was refused because the topic had advanced: no claim made there
        can succeed."""
        self._poll_pause = CLAIM_PAUSE_S
        self._next_poll_at = 0.0
        self._takeover_epoch: int | None = None
        """Epoch of the leader that has asked this member to take over."""
        self._store_failed_at = NEVER
        """When the store last gave no answer, or a slow one, to a probe of this member."""
        self._won_epoch = 0
        """The last epoch that this member has won."""
        self._cooldown_until = 0.0
        self._paused_until = 0.0

    # -- Records -----------------------------------------------------------------------------

    def on_listed(self, items: Sequence[PageItem], end: int) -> None:
        """Process the newest records of the topic."""
        self._topic_read = True
        self.on_records([item.record for item in items], end)

    def on_records(self, records: Sequence[Record], end: int) -> None:
        """Process records of the topic, and its end offset."""
        self._end = end
        for record in records:
            self._process_record(record)

    def _process_record(self, record: Record) -> None:
        if record.key != LEADER_KEY or not record.value:
            return
        try:
            leader_record = _DECODER.decode(record.value)
        except msgspec.DecodeError:
            _logger.warning("undecodable leader record")
            return
        self._on_leader(leader_record)
        # The answer to a claim may arrive late, or belong to a retry, which is refused.
        self._lead_if_won(leader_record.epoch)

    # -- Whether to claim --------------------------------------------------------------------

    def on_takeover_request(self, epoch: int) -> None:
        """Record that the leader of an epoch has asked this member to take over."""
        self._takeover_epoch = epoch
        self._paused_until = 0.0

    def start_cooldown(self) -> None:
        """Leave the leadership to others for a while: this member has just led."""
        self._cooldown_until = monotonic() + COOLDOWN_AFTER_LEADING_S

    async def claim_if_due(self) -> None:
        """Claim if that is due, unless others still hear the leader."""
        if self._link.leader_active:
            self._preload_task = None
        reason = self._claim_reason()
        if reason is None:
            return
        grounds = ClaimGrounds(reason, self._position())
        if grounds.at == self._conflict_position:
            await self._poll_for_later_leader()
            return
        if not await self._verified(grounds):
            self._paused_until = monotonic() + CLAIM_PAUSE_S
            return
        if self._is_stale(grounds):
            self._metrics.count("doubt dropped", reason)
            return
        self._takeover_epoch = None
        await self._claim(grounds)

    def _is_stale(self, grounds: ClaimGrounds) -> bool:
        """Return whether there is a later leader, or the suspected one has been heard again."""
        return self._position() != grounds.at or self._claim_reason() is None

    def _position(self) -> Position:
        """Return the position of the next claim.

        Its end offset may come from a record that another member has sent.
        """
        record = self._link.record
        return Position(self._link.epoch, max(self._end, 0 if record is None else record.end))

    def _claim_delay(self) -> float:
        """Return the seconds for which this member leaves a claim to others."""
        return self._claim_jitter + claim_delay(self._settings.standing, self._link.best_standing)

    def _claim_reason(self) -> str | None:
        now = monotonic()
        if not self._topic_read or now < self._paused_until:
            return None
        if self._takeover_epoch is not None and self._takeover_epoch == self._link.epoch:
            return ClaimReason.ASKED
        record = self._link.record
        if record is None:
            waited = now - self._started_at > FIRST_CLAIM_DELAY_S + self._claim_delay()
            return ClaimReason.NO_LEADER if waited else None
        cooling_down = now < self._cooldown_until
        if record.name == self._settings.name:
            return None if cooling_down else ClaimReason.OWN_PREVIOUS_INCARNATION
        suspicion = self._link.suspicion
        if cooling_down and not suspicion.isolated_too_long(now):
            return None
        return suspicion.claim_reason(now, self._claim_delay())

    async def _verified(self, grounds: ClaimGrounds) -> bool:
        """Return whether the checks available to this member support the claim."""
        reason = grounds.reason
        if reason in UNCERTAIN_REASONS:
            return (
                self._reads_succeed() or await self._preloaded()
            ) and await self._members_agree()
        if reason == ClaimReason.STORE_LOST:
            return await self._store_reachable()
        if reason == ClaimReason.LOAD_STALLED:
            return (
                await self._store_healthy()
                # This member may lead by now, and load.
                and not self._is_stale(grounds)
                and await self._preloaded()
            )
        return True

    async def _preloaded(self) -> bool:
        """Return whether this member has read the persistent state.

        If so, the leader is pinged once more, so that its present state counts. A member that
        cannot read the state would fail to lead, so that its claim would only cost time.
        """
        preload_task = self._preload_task = self._preload_task or self._start_preload()
        await asyncio.wait([preload_task], timeout=PRELOAD_WAIT_S)
        if preload_task is not self._preload_task or not preload_task.done():
            # A leadership that was won meanwhile has taken it, or it is still being read.
            return False
        if read_result(preload_task) is None:
            self._preload_task = None
            self._store_failed_at = monotonic()
            return False
        await self._link.ping_now(LEADER_RECHECK_TIMEOUT_S)
        return True

    async def _store_healthy(self) -> bool:
        """Return whether a load was possible here while the leader's load made no progress."""
        began = monotonic()
        page = await self._read_page(CLAIM_TIMEOUT_S)
        now = monotonic()
        if page is None:
            self._store_failed_at = now
            return False
        self.on_listed(page.items, page.end)
        slow = now - began > FAST_ANSWER_S
        if slow and self._link.suspicion.load_stalled_for(now) < SLOW_STORE_LOAD_STALL_S:
            return False
        return now - self._store_failed_at >= STORE_RECOVERY_LOAD_GRACE_S

    def take_preload(self) -> "asyncio.Task[JobsSnapshot | None] | None":
        """Return the preload that precedes a claim and clear it; ``None`` if there is none."""
        preload_task, self._preload_task = self._preload_task, None
        return preload_task

    async def _store_reachable(self) -> bool:
        """Return whether the store answers here while the leader still cannot reach it."""
        began = monotonic()
        page = await self._read_page(STORE_PROBE_TIMEOUT_S)
        if page is None:
            self._store_failed_at = monotonic()
            return False
        self.on_listed(page.items, page.end)
        now = monotonic()
        if now - began > FAST_ANSWER_S and self._link.suspicion.store_silent < SLOW_STORE_SILENCE_S:
            # Requests that the leader sent to a slow store may still be unanswered as the store
            # recovers.
            self._store_failed_at = now
            return False
        if now - self._store_failed_at < STORE_RECOVERY_GRACE_S:
            return False
        # A store that has recovered also answers the leader, whose next pong then shows it.
        await self._link.ping_now(LEADER_RECHECK_TIMEOUT_S)
        return self._link.suspicion.store_lost_since > 0

    async def _members_agree(self) -> bool:
        """Ask other members whether they hear the leader; return whether a claim is justified."""
        epoch = self._link.epoch
        others = self._link.other_members()
        asked = self._rng.sample(others, min(MAX_VIEWS_REQUESTED, len(others)))
        pending = {asyncio.ensure_future(self._link.request_view(address)) for address in asked}
        agreeing = 0
        try:
            while pending and agreeing < SUFFICIENT_VIEWS:
                ended, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                views = [view for call in ended if (view := call.result()) is not None]
                if any(_supports_leader(view, epoch) for view in views):
                    return False
                agreeing += len(views)
        finally:
            for call in pending:
                call.cancel()
        return agreeing > 0 or not others or self._link.suspicion.isolated_too_long(monotonic())

    # -- The claim ---------------------------------------------------------------------------

    async def _claim(self, grounds: ClaimGrounds) -> None:
        """Write the next leader record at the end offset that the grounds refer to.

        Only one claim can succeed there, and none whose grounds refer to an earlier leadership.
        """
        if self._preload_task is None:
            self._start_preload()
        at = grounds.at
        epoch = at.epoch + 1
        settings = self._settings
        claim = LeaderRecord(
            epoch, settings.name, settings.rpc_address, self._incarnation, at.end + 1
        )
        record = Record(LEADER_KEY, _ENCODER.encode(claim))
        heard_ago = round(self._link.suspicion.silent_for(monotonic()), 3)
        result = await hedged(
            lambda: self._append(record, at.end), CLAIM_RETRY_INTERVAL_S, CLAIM_DEADLINE_S
        )
        won = isinstance(result, Appended)
        self._metrics.count("claim", grounds.reason)
        _logger.info(
            "claim",
            extra={
                "epoch": epoch,
                "why": grounds.reason,
                "heard_ago": heard_ago,
                "won": won,
                "answer": repr(result),
            },
        )
        self._paused_until = monotonic() + CLAIM_PAUSE_S * self._rng.uniform(0.5, 1.5)
        if won:
            # The record may have been read before the answer to the claim arrived.
            self._on_leader(claim)
        else:
            if isinstance(result, Conflict) and result.end > at.end:
                self._conflict_position = at
                self._poll_pause = CLAIM_PAUSE_S
                self._next_poll_at = self._paused_until
            # The topic may have advanced, or the claim may be stored although its answer was lost.
            await self._poll_leader_topic()
        self._lead_if_won(epoch)

    async def _append(self, record: Record, end: int) -> AppendResult | None:
        """Append the claim; if a retry is refused, reading the topic shows the first attempt."""
        result = await self._store.append(Topic.LEADER, [record], CLAIM_TIMEOUT_S, at=end)
        return None if isinstance(result, Unavailable) else result

    async def _poll_for_later_leader(self) -> None:
        """Poll for the later leadership that a claim conflicted with, at growing intervals."""
        if monotonic() < self._next_poll_at:
            return
        await self._poll_leader_topic()
        self._next_poll_at = monotonic() + self._poll_pause * self._rng.uniform(0.5, 1.5)
        self._poll_pause = min(MAX_POLL_PAUSE_S, self._poll_pause * POLL_PAUSE_FACTOR)

    async def _poll_leader_topic(self) -> None:
        page = await hedged(
            lambda: self._read_page(CLAIM_TIMEOUT_S), CLAIM_RETRY_INTERVAL_S, CLAIM_DEADLINE_S
        )
        if page is not None:
            self.on_listed(page.items, page.end)

    async def _read_page(self, timeout: float) -> Page | None:
        page = await self._store.newest(Topic.LEADER, "", timeout)
        return None if isinstance(page, Unavailable) else page

    def _lead_if_won(self, epoch: int) -> None:
        record = self._link.record
        if record is None or (record.epoch, record.incarnation) != (epoch, self._incarnation):
            return
        if epoch > self._won_epoch:
            self._won_epoch = epoch
            self._on_won(epoch)


def _supports_leader(view: LeaderView, epoch: int) -> bool:
    """Return whether a member still hears the leader of an epoch, or knows a later one."""
    if view.epoch > epoch:
        return True
    return view.epoch == epoch and view.linked and view.heard_age < MAX_VIEW_AGE_S
