"""Ownership of shards: claims in the log, and leases that are renewed by reading it.

An owner may act until ``claim_delay`` after it *sent* the last read of the log's head that showed
no claim against it. A claimant may act only once ``claim_delay`` and ``settle`` have passed since
it read its own claim back. Two owners thus never act at the same time, whatever the offset between
their clocks, provided that the clocks' rates differ by less than ``drift``. A planned handover is
a release in the log and needs no delay.

While the log does not answer, an owner's lease is extended if every other known member promises
to append no claim against it for a time, but never beyond ``hold_limit`` after the owner's last
read. A member appends no claim against an owner that may not know the member: either the log shows
that the owner has read the member's Join, or ``hold_limit`` has passed since that Join.

A claim against an owner that asks for a promise was caused by a false suspicion. If it has not
been sent, it is withdrawn. If it may be in the log, the promise is given nevertheless, and the
claimant uses the claimed shards only after its promises have expired.
"""

import zlib

from sablemount.core import records
from sablemount.core.actions import SendPeer
from sablemount.core.index import FreeIndex
from sablemount.core.messages import HoldPromise, HoldRequest, PeerMessage, ShardEpoch
from sablemount.core.records import Writer
from sablemount.core.state import State
from sablemount.core.systems.journal import Journal
from sablemount.core.systems.membership import Membership
from sablemount.core.tables import HeldShard, HoldState, RunStage

__all__ = ["Ownership", "assign_shards"]

CLAIM_TIMEOUT_S = 5.0
"""Time after which an unwritten claim or release is withdrawn and decided again."""
PROMISE_INTERVAL_S = 1.0
"""Minimum time between two rounds of requests for promises."""


def assign_shards(shard_count: int, members: list[Writer]) -> dict[int, Writer]:
    """Return the member that should own each shard, by rendezvous hashing with an even cap.

    Every scheduler computes the same assignment from the same members, and a change of one member
    moves few shards of the others.
    """
    if not members:
        return {}
    cap = -(-shard_count // len(members))
    load = dict.fromkeys(members, 0)
    targets = {}
    for shard in range(shard_count):
        ranked = sorted(members, key=lambda member: _score(shard, member.name), reverse=True)
        target = next(member for member in ranked if load[member] < cap)
        load[target] += 1
        targets[shard] = target
    return targets


def _score(shard: int, name: str) -> int:
    return zlib.crc32(f"{shard}:{name}".encode())


class Ownership:
    """Claims, holds and releases shards."""

    def __init__(self, state: State, journal: Journal, membership: Membership) -> None:
        self._state = state
        self._journal = journal
        self._membership = membership
        self._promised_until: dict[str, float] = {}
        self._next_promises = 0.0
        self._releasing_since: dict[int, float] = {}
        self._assigned_members: tuple[Writer, ...] = ()
        self._assignment: dict[int, Writer] = {}
        journal.reset_listeners.append(self.sync)

    # -- Shards held according to the ledger -------------------------------------------------

    def sync(self) -> None:
        """Update the held shards to those that the ledger assigns to this scheduler."""
        state = self._state
        for row in state.ledger.shards:
            held = state.held_shards.get(row.shard)
            if row.owner != state.writer:
                if held is not None:
                    self._drop(row.shard)
            elif held is None or held.epoch != row.epoch:
                self._hold(row.shard, row.epoch, row.planned)

    def _hold(self, shard: int, epoch: int, planned: bool) -> None:
        state = self._state
        settings = state.settings
        drift_factor = 1 + settings.drift
        # A promise counts as a read of the log by the previous owner at the promise's end.
        since = state.now if planned else max([state.now, *self._promised_until.values()])
        delay = 0.0 if planned else settings.claim_delay * drift_factor + settings.settle
        active_at = since + delay
        # The previous owner may renew runs until its lease and the grace period have ended.
        expiry_delay = settings.claim_delay + settings.renew_grace + settings.run_lease
        leases_expire_at = since + expiry_delay * drift_factor + settings.settle
        self._drop(shard)
        state.held_shards[shard] = HeldShard(shard, epoch, active_at, leases_expire_at)
        state.meter.count("shards_taken", "planned" if planned else "claimed")

    def _drop(self, shard: int) -> None:
        state = self._state
        if state.held_shards.pop(shard, None) is None:
            return
        self._releasing_since.pop(shard, None)
        for row in list(state.shard_vms[shard].values()):
            for run in list(row.runs):
                state.drop_run(state.runs[run])
            for run in list(row.orphans):
                state.drop_orphan(row, run)
            row.reset_ownership_state()
            state.reindex(row)
        state.free_indexes.pop(shard, None)
        state.meter.count("shards_dropped")

    # -- The lease ---------------------------------------------------------------------------

    def renew(self) -> None:
        """Recompute the time until which this scheduler may act as owner."""
        state = self._state
        settings = state.settings
        by_reads = state.last_caught_up_at + settings.claim_delay * (1 - settings.drift)
        state.lease_until = max(by_reads, self._promised_lease_end())

    def _promised_lease_end(self) -> float:
        state = self._state
        limit = state.last_caught_up_at + state.settings.hold_limit * (1 - state.settings.drift)
        for member in state.ledger.members.values():
            if member == state.writer:
                continue
            peer = state.peers.get(member.name)
            if peer is None or peer.incarnation != member.incarnation:
                return -1e9
            limit = min(limit, peer.promised_until)
        return limit

    def _request_promises(self) -> None:
        """Request a promise from every other member while the log does not answer."""
        state = self._state
        age = state.now - state.last_caught_up_at
        due = age > 3 * state.settings.read_interval and state.now >= self._next_promises
        if not due or not state.held_shards:
            return
        self._next_promises = state.now + PROMISE_INTERVAL_S
        shards = tuple(ShardEpoch(held.shard, held.epoch) for held in state.held_shards.values())
        request = HoldRequest(state.writer, state.now, state.settings.promise, shards)
        for member in state.ledger.members.values():
            if member != state.writer:
                state.emit(SendPeer(member.name, request))

    def received(self, message: PeerMessage) -> None:
        """Handle a request for a promise, or a promise."""
        if isinstance(message, HoldRequest):
            self._promise(message)
        elif isinstance(message, HoldPromise):
            peer = self._state.peers.get(message.sender.name)
            if peer is not None and peer.incarnation == message.sender.incarnation:
                valid_until = message.sent_at + message.duration * (1 - self._state.settings.drift)
                peer.promised_until = max(peer.promised_until, valid_until)

    def _promise(self, request: HoldRequest) -> None:
        state = self._state
        if not self._membership.joined or self._claimed_since(request):
            state.meter.count("promises", "refused")
            return
        shards = {shard.shard for shard in request.shards}
        self._journal.withdraw(records.Claim, lambda claim: claim.shard in shards)
        until = state.now + request.duration * (1 + state.settings.drift)
        owner = str(request.sender)
        self._promised_until[owner] = max(self._promised_until.get(owner, 0.0), until)
        state.meter.count("promises", "given")
        reply = HoldPromise(state.writer, request.sent_at, request.duration)
        state.emit(SendPeer(request.sender.name, reply))

    def _claimed_since(self, request: HoldRequest) -> bool:
        """Return whether the log holds a claim that the requesting owner has not read."""
        rows = self._state.ledger.shards
        return any(rows[shard.shard].epoch > shard.epoch for shard in request.shards)

    def _must_not_claim(self, owner: Writer) -> bool:
        """Return whether this scheduler must not append a claim against an owner now."""
        state = self._state
        if self._promised_until.get(str(owner), 0.0) > state.now:
            return True
        if state.ledger.has_read_join(owner, state.writer):
            return False
        return state.now < state.joined_at + state.settings.hold_limit * (1 + state.settings.drift)

    def _claimant(self, shard: int, owner: Writer) -> Writer | None:
        """Return the member that should claim a shard of a lost owner.

        A member that the owner knew may claim at once, without waiting for ``hold_limit``, so
        such members take precedence.
        """
        live = self._membership.live_members()
        known = [member for member in live if self._state.ledger.has_read_join(owner, member)]
        if not known:
            return self._assignment.get(shard)
        return max(known, key=lambda member: _score(shard, member.name))

    # -- Claims and releases -----------------------------------------------------------------

    def run(self) -> None:
        """Apply the ledger, renew the lease, activate shards, and claim or release shards."""
        self.sync()
        self._request_promises()
        self.renew()
        self._activate()
        if self._membership.joined and self._journal.healthy:
            self._acknowledge_members()
            self._move_shards()

    def _acknowledge_members(self) -> None:
        """Log that this owner knows all members, which allows each of them to take over."""
        state = self._state
        if not state.held_shards or self._journal.unsettled(records.Seen):
            return
        members = state.ledger.members.values()
        if not all(state.ledger.has_read_join(state.writer, member) for member in members):
            self._journal.write(records.Seen(), None, state.now + CLAIM_TIMEOUT_S)

    def _activate(self) -> None:
        state = self._state
        for held in state.held_shards.values():
            if (
                held.state is HoldState.WAITING
                and state.now >= held.active_at
                and state.has_lease()
            ):
                self._set_state(held, HoldState.ACTIVE)
                state.free_indexes.setdefault(held.shard, FreeIndex())
                state.meter.count("shards_activated")

    def _set_state(self, held: HeldShard, to: HoldState) -> None:
        held.state = to
        for row in self._state.shard_vms[held.shard].values():
            self._state.reindex(row)

    def _move_shards(self) -> None:
        state = self._state
        live = tuple(self._membership.live_members())
        if live != self._assigned_members:
            self._assigned_members = live
            self._assignment = assign_shards(state.settings.shards, list(live))
        claiming = {claim.shard for claim in self._journal.unsettled(records.Claim)}
        releasing = {item.shard for item in self._journal.unsettled(records.Release)}
        for row in state.ledger.shards:
            if row.shard in claiming or row.shard in releasing:
                continue
            target = self._assignment.get(row.shard)
            if row.owner == state.writer:
                self._consider_release(row.shard, target)
            elif row.owner is not None:
                self._consider_takeover(row.shard, row.epoch, row.owner)
            elif target == state.writer:
                self._claim(row.shard, row.epoch)

    def _consider_takeover(self, shard: int, epoch: int, owner: Writer) -> None:
        member = self._state.ledger.members.get(owner.name) == owner
        if member and self._membership.alive(owner):
            return
        if self._claimant(shard, owner) == self._state.writer and not self._must_not_claim(owner):
            self._claim(shard, epoch)

    def _claim(self, shard: int, epoch: int) -> None:
        state = self._state
        self._journal.write(records.Claim(shard, epoch), None, state.now + CLAIM_TIMEOUT_S)

    def _consider_release(self, shard: int, target: Writer | None) -> None:
        state = self._state
        held = state.held_shards.get(shard)
        if held is None or target == state.writer:
            if held is not None and held.state is HoldState.RELEASING:
                self._set_state(held, HoldState.ACTIVE)
                self._releasing_since.pop(shard, None)
            return
        if target is None and not state.stopping:
            return
        if held.state is HoldState.WAITING:
            return
        if held.state is HoldState.ACTIVE:
            self._set_state(held, HoldState.RELEASING)
        since = self._releasing_since.setdefault(shard, state.now)
        if state.now - since < state.settings.settle or self._start_in_flight(shard):
            return
        release = records.Release(shard, held.epoch, target)
        self._journal.write(release, None, state.now + CLAIM_TIMEOUT_S)

    def _start_in_flight(self, shard: int) -> bool:
        state = self._state
        return any(
            state.runs[run].stage in (RunStage.STARTING, RunStage.UNCERTAIN)
            for row in state.shard_vms[shard].values()
            for run in row.runs
        )
