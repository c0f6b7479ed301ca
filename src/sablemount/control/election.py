"""When this member claims the leadership, and how."""

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
from sablemount.control.preload import Reading
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
VIEW_FRESH = 0.5
"""A member that has heard the leader within these seconds speaks against a claim."""
CLAIM_TIMEOUT = 1.0
"""Seconds that one try of a claim, or a look, waits for its answer."""
CLAIM_INTERVAL = 0.35
"""Seconds after which a claim, or a look, is made again while there is no answer."""
CLAIM_LIMIT = 1.4
"""Seconds after which a claim without an answer is given up and begun anew."""
CLAIM_PAUSE = 0.3
"""Seconds between two claims of one member, on average."""
LOOK_GROWTH = 1.5
"""How many times longer than the one before each pause between looks for a later leader is."""
MOST_LOOK_PAUSE = 4.0
"""Seconds between two such looks in the end, on average: the end of an outage is seen soon."""
PATIENCE = 0.15
"""Members wait for a random time up to this many seconds, so that few claim at once."""
FIRST_CLAIM = 0.1
"""Seconds after its start before which a member does not claim the first leadership."""
STORE_TRIAL = 0.4
"""Seconds that the store has to answer a member that finds the leader without it."""
QUICK_ANSWER = 0.15
"""Seconds within which the store answers a member, if it is well: 40 times a usual answer."""
SLOW_STORE_SILENT = 2.0
"""Seconds for which a store that is slow for this member too may owe the leader an answer."""
STORE_SECOND_LOOK = 0.16
"""Seconds that the leader has to answer once more, before a claim is made for its store."""
STORE_BACK_GRACE = 0.8
"""Seconds after the store last failed to answer this member for which a leader without it is not
to blame: it asks each 0.35 s, and its next pong tells a member within 0.15 s."""
SLOW_STORE_STUCK = 8.0
"""Seconds for which a load may not get on in a store that is slow for this member too: twice the
time after which a page is given up."""
STORE_BACK_LOAD = 2.0
"""Seconds after the store last failed to answer this member for which a leader's load that does not
get on is not to blame."""
READ_LOOK = 0.25
"""Seconds that a look at whether all is read waits for it; a usual load takes a tenth."""
REST_AFTER_LEADING = 3.5
"""Seconds for which a former leader leaves the lead to others, so that no turns are taken."""
VIEWS_ASKED = 5
"""Members asked for their view of the leader: of a leader that two thirds of the members hear, all
of five miss it in 1 of 243 doubts; asking all costs the square of their number."""
VIEWS_ENOUGH = 3
"""Views that agree are enough: one that is lost with the leader would be waited for in vain."""
FROM_AFAR = (ClaimReason.SILENT, ClaimReason.REFUSED)
"""Reasons that may lie with this member's own connection, so that others are asked."""

_logger = logging.getLogger("sablemount.control.election")
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LeaderRecord)


class Position(msgspec.Struct, frozen=True):
    """The last leadership known here, and where the leaders' topic ended with it."""

    epoch: int
    end: int


class Doubt(msgspec.Struct, frozen=True):
    """Why a claim may be due, and the leadership that the reason was formed on.

    Once the position has moved the doubt is void: it says nothing of a later leader. So it is once
    the leader has answered and gives no reason any more.
    """

    reason: str
    at: Position


class Election:
    """Reads the leader's records and writes the next one when that is due.

    ``on_leader`` is told of each newer record, and ``on_won`` of the epoch that this member has
    won. ``read`` begins to read what lasts, as a claim is about to be made. ``well`` tells whether
    this member's own reads of the store have been answered of late.
    """

    def __init__(
        self,
        settings: MemberSettings,
        store: Store,
        link: LeaderLink,
        rng: random.Random,
        figures: Metrics,
        on_leader: Callable[[LeaderRecord], None],
        on_won: Callable[[int], None],
        read: "Callable[[], asyncio.Task[Reading | None]]",
        well: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._store = store
        self._link = link
        self._rng = rng
        self._figures = figures
        self._on_leader = on_leader
        self._on_won = on_won
        self._read = read
        self._well = well
        self._reading: asyncio.Task[Reading | None] | None = None
        """What this member reads before it claims, where it may not be able to."""
        self._incarnation = uuid.UUID(int=rng.getrandbits(128)).hex
        self._started_at = monotonic()
        self._chance = rng.uniform(0.0, PATIENCE)
        self._end = 0
        """Where the topic ended when this member last read it."""
        self._known = False
        self._passed: Position | None = None
        """Where a claim was refused because the topic had gone on: none made there can succeed."""
        self._look_pause = CLAIM_PAUSE
        self._look_at = 0.0
        self._asked_by: int | None = None
        """Epoch of the leader that has asked this member to take over."""
        self._store_failed_at = NEVER
        """When the store last gave no answer, or a slow one, to this member's own trial."""
        self._won = 0
        """The last epoch that this member has won."""
        self._rest_until = 0.0
        self._pause_until = 0.0

    # -- Records -----------------------------------------------------------------------------

    def listed(self, items: Sequence[PageItem], end: int) -> None:
        """Take the newest records of the topic."""
        self._known = True
        self.told([item.record for item in items], end)

    def told(self, records: Sequence[Record], end: int) -> None:
        """Take records of the topic, and where it ends."""
        self._end = end
        for record in records:
            self._seen(record)

    def _seen(self, record: Record) -> None:
        if record.key != LEADER_KEY or not record.value:
            return
        try:
            seen = _DECODER.decode(record.value)
        except msgspec.DecodeError:
            _logger.warning("undecodable leader record")
            return
        self._on_leader(seen)
        # The answer to a claim may come late, or be that of a second try, which is refused.
        self._lead_if_mine(seen.epoch)

    # -- Whether to claim --------------------------------------------------------------------

    def asked(self, epoch: int) -> None:
        """Take that the leader of an epoch has asked this member to take over."""
        self._asked_by = epoch
        self._pause_until = 0.0

    def rest(self) -> None:
        """Leave the lead to others for a while: this member has just led."""
        self._rest_until = monotonic() + REST_AFTER_LEADING

    async def consider(self) -> None:
        """Claim if that is due, unless others still hear the leader."""
        if self._link.leads:
            self._reading = None
        reason = self._reason()
        if reason is None:
            return
        doubt = Doubt(reason, self._position())
        if doubt.at == self._passed:
            await self._look_for_later()
            return
        if not await self._confirmed(reason):
            self._pause_until = monotonic() + CLAIM_PAUSE
            return
        if self._void(doubt):
            self._figures.count("doubt dropped", reason)
            return
        self._asked_by = None
        await self._claim(doubt)

    def _void(self, doubt: Doubt) -> bool:
        """Tell whether a doubt holds no more: a later leader is there, or this one was heard."""
        return self._position() != doubt.at or self._reason() is None

    def _position(self) -> Position:
        """Return where the next claim is due: a record that others told says where it ends."""
        record = self._link.record
        return Position(self._link.epoch, max(self._end, 0 if record is None else record.end))

    def _patience(self) -> float:
        """Return the seconds for which this member leaves a claim to others."""
        return self._chance + claim_delay(self._settings.standing, self._link.best)

    def _reason(self) -> str | None:
        now = monotonic()
        if not self._known or now < self._pause_until:
            return None
        if self._asked_by is not None and self._asked_by == self._link.epoch:
            return ClaimReason.ASKED
        record = self._link.record
        if record is None:
            waited = now - self._started_at > FIRST_CLAIM + self._patience()
            return ClaimReason.NO_LEADER if waited else None
        resting = now < self._rest_until
        if record.name == self._settings.name:
            return None if resting else ClaimReason.OWN_FORMER_LIFE
        suspicion = self._link.suspicion
        if resting and not suspicion.alone_too_long(now):
            return None
        return suspicion.reason(now, self._patience())

    async def _confirmed(self, reason: str) -> bool:
        """Tell whether what this member can find out speaks for the claim."""
        if reason in FROM_AFAR:
            return (self._well() or await self._has_read()) and await self._others_agree()
        if reason == ClaimReason.STORE_LOST:
            return await self._store_reached()
        if reason == ClaimReason.LOAD_STUCK:
            return await self._store_well() and await self._has_read()
        return True

    async def _has_read(self) -> bool:
        """Tell whether this member has read all that lasts, and see how the leader is then.

        A member that can't would only take its turn in vain.
        """
        if self._reading is None:
            self._reading = self._read()
        await asyncio.wait([self._reading], timeout=READ_LOOK)
        if not self._reading.done():
            return False
        if self._reading.result() is None:
            self._reading = None
            self._store_failed_at = monotonic()
            return False
        await self._link.look(STORE_SECOND_LOOK)
        return True

    async def _store_well(self) -> bool:
        """Tell whether a load has been possible here while the leader's has not got on."""
        began = monotonic()
        page = await self._page(CLAIM_TIMEOUT)
        now = monotonic()
        if page is None:
            self._store_failed_at = now
            return False
        self.listed(page.items, page.end)
        slow = now - began > QUICK_ANSWER
        if slow and self._link.suspicion.load_stuck_for(now) < SLOW_STORE_STUCK:
            return False
        return now - self._store_failed_at >= STORE_BACK_LOAD

    def take_reading(self) -> "asyncio.Task[Reading | None] | None":
        """Return what was read before a claim, and forget it; ``None`` without that."""
        reading, self._reading = self._reading, None
        return reading

    async def _store_reached(self) -> bool:
        """Tell whether the store answers here while the leader is still without it."""
        began = monotonic()
        page = await self._page(STORE_TRIAL)
        if page is None:
            self._store_failed_at = monotonic()
            return False
        self.listed(page.items, page.end)
        now = monotonic()
        if now - began > QUICK_ANSWER and self._link.suspicion.store_silent < SLOW_STORE_SILENT:
            # What the leader has sent to a slow store is still due as the store gets well.
            self._store_failed_at = now
            return False
        if now - self._store_failed_at < STORE_BACK_GRACE:
            return False
        # A store that has come back answers the leader too: its next answer tells.
        await self._link.look(STORE_SECOND_LOOK)
        return self._link.suspicion.store_lost_since > 0

    async def _others_agree(self) -> bool:
        """Ask some other members whether they hear the leader."""
        epoch = self._link.epoch
        others = self._link.other_members()
        asked = self._rng.sample(others, min(VIEWS_ASKED, len(others)))
        pending = {asyncio.ensure_future(self._link.view(address)) for address in asked}
        agree = 0
        try:
            while pending and agree < VIEWS_ENOUGH:
                ended, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                views = [view for call in ended if (view := call.result()) is not None]
                if any(_speaks_for(view, epoch) for view in views):
                    return False
                agree += len(views)
        finally:
            for call in pending:
                call.cancel()
        return agree > 0 or not others or self._link.suspicion.alone_too_long(monotonic())

    # -- The claim ---------------------------------------------------------------------------

    async def _claim(self, doubt: Doubt) -> None:
        """Write the next leader record where the topic ended when the doubt was formed.

        Only one claim can do so, and none that was formed on an earlier leadership.
        """
        if self._reading is None:
            self._read()
        at = doubt.at
        epoch = at.epoch + 1
        settings = self._settings
        claim = LeaderRecord(
            epoch, settings.name, settings.rpc_address, self._incarnation, at.end + 1
        )
        record = Record(LEADER_KEY, _ENCODER.encode(claim))
        heard_ago = round(self._link.suspicion.heard_age(monotonic()), 3)
        result = await hedged(lambda: self._append(record, at.end), CLAIM_INTERVAL, CLAIM_LIMIT)
        won = isinstance(result, Appended)
        self._figures.count("claim", doubt.reason)
        _logger.info(
            "claim",
            extra={
                "epoch": epoch,
                "why": doubt.reason,
                "heard_ago": heard_ago,
                "won": won,
                "answer": repr(result),
            },
        )
        self._pause_until = monotonic() + CLAIM_PAUSE * self._rng.uniform(0.5, 1.5)
        if won:
            # The record may have been read before the answer to the claim came.
            self._on_leader(claim)
        else:
            if isinstance(result, Conflict) and result.end > at.end:
                self._passed = at
                self._look_pause = CLAIM_PAUSE
                self._look_at = self._pause_until
            # The topic's end may have moved, or the claim may be there though its answer is lost.
            await self._look_again()
        self._lead_if_mine(epoch)

    async def _append(self, record: Record, end: int) -> AppendResult | None:
        """Append the claim; made twice, it is refused the second time and found by a look."""
        result = await self._store.append(Topic.LEADER, [record], CLAIM_TIMEOUT, at=end)
        return None if isinstance(result, Unavailable) else result

    async def _look_for_later(self) -> None:
        """Look for the leadership that a claim has met, at growing intervals."""
        if monotonic() < self._look_at:
            return
        await self._look_again()
        self._look_at = monotonic() + self._look_pause * self._rng.uniform(0.5, 1.5)
        self._look_pause = min(MOST_LOOK_PAUSE, self._look_pause * LOOK_GROWTH)

    async def _look_again(self) -> None:
        page = await hedged(lambda: self._page(CLAIM_TIMEOUT), CLAIM_INTERVAL, CLAIM_LIMIT)
        if page is not None:
            self.listed(page.items, page.end)

    async def _page(self, timeout: float) -> Page | None:
        page = await self._store.newest(Topic.LEADER, "", timeout)
        return None if isinstance(page, Unavailable) else page

    def _lead_if_mine(self, epoch: int) -> None:
        record = self._link.record
        if record is None or (record.epoch, record.incarnation) != (epoch, self._incarnation):
            return
        if epoch > self._won:
            self._won = epoch
            self._on_won(epoch)


def _speaks_for(view: LeaderView, epoch: int) -> bool:
    """Tell whether a member still hears the leader of an epoch, or knows a later one."""
    if view.epoch > epoch:
        return True
    return view.epoch == epoch and view.linked and view.heard_age < VIEW_FRESH
