"""Ownership of shards: claims in the log, leases by reading it.

An owner may act until ``claim_delay`` after it *sent* the last read of the log's head that showed
no claim against it. A claimant may act only when ``claim_delay`` and ``settle`` have passed since
it read its own claim back. So two owners never act at once, whatever their clocks say, as long as
their rates differ by less than ``drift``. A planned hand-over is a release and needs no delay.

While the log does not answer, an owner goes on if every other member that it knows of promises
to append no claim against it for a time, and never longer than ``hold_limit`` after its last
read. A member appends no claim against an owner that may not know of it: the log must show that
the owner has read the member's Join, or ``hold_limit`` must have passed since.

A claim against an owner that asks for a promise was made on a false suspicion. If it was not sent
it is withdrawn; if it may be in the log the promise is given all the same, and the claimant acts
on what it has claimed only once its promises are over.
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

CLAIM_DEADLINE = 5.0
"""How long a claim or release waits to be written before it is considered anew, in seconds."""
PROMISE_INTERVAL = 1.0
"""Least time between two rounds of promises, in seconds."""


def assign_shards(shard_count: int, members: list[Writer]) -> dict[int, Writer]:
    """Return who should own each shard: rendezvous hashing with an even cap.

    Every scheduler computes the same from the same members, and a change of one member moves few
    shards of the others.
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
    """Claims, holds and hands over shards."""

    def __init__(self, state: State, journal: Journal, membership: Membership) -> None:
        self._state = state
        self._journal = journal
        self._membership = membership
        self._promised: dict[str, float] = {}
        self._next_promises = 0.0
        self._releasing_since: dict[int, float] = {}
        self._targets_for: tuple[Writer, ...] = ()
        self._targets: dict[int, Writer] = {}
        journal.reset_listeners.append(self.sync)

    # -- What the ledger says ----------------------------------------------------------------

    def sync(self) -> None:
        """Bring what is held to what the ledger says."""
        state = self._state
        for row in state.ledger.shards:
            held = state.held_shards.get(row.shard)
            if row.owner != state.writer:
                if held is not None:
                    self._drop(row.shard)
            elif held is None or held.epoch != row.epoch:
                self._take(row.shard, row.epoch, row.planned)

    def _take(self, shard: int, epoch: int, planned: bool) -> None:
        state = self._state
        settings = state.settings
        stretch = 1 + settings.drift
        # A former owner may act on a promise of this scheduler as if it had read at its end.
        since = state.now if planned else max([state.now, *self._promised.values()])
        delay = 0.0 if planned else settings.claim_delay * stretch + settings.settle
        active_at = since + delay
        # A former owner renews runs until its lease and the grace are over.
        renewed = settings.claim_delay + settings.renew_grace + settings.run_lease
        lapse_at = since + renewed * stretch + settings.settle
        self._drop(shard)
        state.held_shards[shard] = HeldShard(shard, epoch, active_at, lapse_at)
        state.meter.count("shards_taken", "planned" if planned else "claimed")

    def _drop(self, shard: int) -> None:
        state = self._state
        if state.held_shards.pop(shard, None) is None:
            return
        self._releasing_since.pop(shard, None)
        for row in list(state.shard_vms[shard].values()):
            for run in list(row.runs):
                state.drop_run(state.runs[run])
            row.reset_ownership_state()
            state.reindex(row)
        state.free_indexes.pop(shard, None)
        state.meter.count("shards_dropped")

    # -- The lease ---------------------------------------------------------------------------

    def renew(self) -> None:
        """Bring the limit up to date until which this scheduler may act."""
        state = self._state
        settings = state.settings
        by_reading = state.last_caught_up_at + settings.claim_delay * (1 - settings.drift)
        state.lease_until = max(by_reading, self._held_until())

    def _held_until(self) -> float:
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

    def _ask_promises(self) -> None:
        """Ask every other member for a promise while the log does not answer."""
        state = self._state
        age = state.now - state.last_caught_up_at
        due = age > 3 * state.settings.read_interval and state.now >= self._next_promises
        if not due or not state.held_shards:
            return
        self._next_promises = state.now + PROMISE_INTERVAL
        shards = tuple(ShardEpoch(held.shard, held.epoch) for held in state.held_shards.values())
        request = HoldRequest(state.writer, state.now, state.settings.promise, shards)
        for member in state.ledger.members.values():
            if member != state.writer:
                state.emit(SendPeer(member.name, request))

    def received(self, message: PeerMessage) -> None:
        """Take a request for a promise, or a promise."""
        if isinstance(message, HoldRequest):
            self._promise(message)
        elif isinstance(message, HoldPromise):
            peer = self._state.peers.get(message.sender.name)
            if peer is not None and peer.incarnation == message.sender.incarnation:
                valid = message.sent_at + message.duration * (1 - self._state.settings.drift)
                peer.promised_until = max(peer.promised_until, valid)

    def _promise(self, request: HoldRequest) -> None:
        state = self._state
        if not self._membership.joined or self._claimed_since(request):
            state.meter.count("promises", "refused")
            return
        shards = {shard.shard for shard in request.shards}
        self._journal.withdraw(records.Claim, lambda claim: claim.shard in shards)
        until = state.now + request.duration * (1 + state.settings.drift)
        owner = str(request.sender)
        self._promised[owner] = max(self._promised.get(owner, 0.0), until)
        state.meter.count("promises", "given")
        reply = HoldPromise(state.writer, request.sent_at, request.duration)
        state.emit(SendPeer(request.sender.name, reply))

    def _claimed_since(self, request: HoldRequest) -> bool:
        """Tell whether the log shows a claim that the owner has not read."""
        rows = self._state.ledger.shards
        return any(rows[shard.shard].epoch > shard.epoch for shard in request.shards)

    def _bound(self, owner: Writer) -> bool:
        """Tell whether this scheduler may append no claim against an owner now."""
        state = self._state
        if self._promised.get(str(owner), 0.0) > state.now:
            return True
        if state.ledger.has_read_join(owner, state.writer):
            return False
        return state.now < state.joined_at + state.settings.hold_limit * (1 + state.settings.drift)

    def _claimant(self, shard: int, owner: Writer) -> Writer | None:
        """Return who should claim a shard of an owner that is gone.

        Only a member that the owner knew asks nobody's leave, so such a one goes first.
        """
        live = self._membership.live_members()
        known = [member for member in live if self._state.ledger.has_read_join(owner, member)]
        if not known:
            return self._targets.get(shard)
        return max(known, key=lambda member: _score(shard, member.name))

    # -- Claims and releases -----------------------------------------------------------------

    def run(self) -> None:
        """Follow the ledger, renew the lease, and move shards to where they belong."""
        self.sync()
        self._ask_promises()
        self.renew()
        self._activate()
        if self._membership.joined and self._journal.healthy:
            self._acknowledge_members()
            self._move_shards()

    def _acknowledge_members(self) -> None:
        """Let the log show that this owner knows every member, so that each may take over."""
        state = self._state
        if not state.held_shards or self._journal.waiting(records.Seen):
            return
        members = state.ledger.members.values()
        if not all(state.ledger.has_read_join(state.writer, member) for member in members):
            self._journal.write(records.Seen(), None, state.now + CLAIM_DEADLINE)

    def _activate(self) -> None:
        state = self._state
        for held in state.held_shards.values():
            if (
                held.state is HoldState.WAITING
                and state.now >= held.active_at
                and state.has_lease()
            ):
                self._turn(held, HoldState.ACTIVE)
                state.free_indexes.setdefault(held.shard, FreeIndex())
                state.meter.count("shards_activated")

    def _turn(self, held: HeldShard, to: HoldState) -> None:
        held.state = to
        for row in self._state.shard_vms[held.shard].values():
            self._state.reindex(row)

    def _move_shards(self) -> None:
        state = self._state
        live = tuple(self._membership.live_members())
        if live != self._targets_for:
            self._targets_for = live
            self._targets = assign_shards(state.settings.shards, list(live))
        claiming = {claim.shard for claim in self._journal.waiting(records.Claim)}
        releasing = {item.shard for item in self._journal.waiting(records.Release)}
        for row in state.ledger.shards:
            if row.shard in claiming or row.shard in releasing:
                continue
            target = self._targets.get(row.shard)
            if row.owner == state.writer:
                self._consider_release(row.shard, target)
            elif row.owner is not None:
                self._consider_take_over(row.shard, row.epoch, row.owner)
            elif target == state.writer:
                self._claim(row.shard, row.epoch)

    def _consider_take_over(self, shard: int, epoch: int, owner: Writer) -> None:
        member = self._state.ledger.members.get(owner.name) == owner
        if member and self._membership.alive(owner):
            return
        if self._claimant(shard, owner) == self._state.writer and not self._bound(owner):
            self._claim(shard, epoch)

    def _claim(self, shard: int, epoch: int) -> None:
        state = self._state
        self._journal.write(records.Claim(shard, epoch), None, state.now + CLAIM_DEADLINE)

    def _consider_release(self, shard: int, target: Writer | None) -> None:
        state = self._state
        held = state.held_shards.get(shard)
        if held is None or target == state.writer:
            if held is not None and held.state is HoldState.RELEASING:
                self._turn(held, HoldState.ACTIVE)
                self._releasing_since.pop(shard, None)
            return
        if target is None and not state.stopping:
            return
        if held.state is HoldState.WAITING:
            return
        if held.state is HoldState.ACTIVE:
            self._turn(held, HoldState.RELEASING)
        since = self._releasing_since.setdefault(shard, state.now)
        if state.now - since < state.settings.settle or self._start_in_flight(shard):
            return
        release = records.Release(shard, held.epoch, target)
        self._journal.write(release, None, state.now + CLAIM_DEADLINE)

    def _start_in_flight(self, shard: int) -> bool:
        state = self._state
        return any(
            state.runs[run].stage in (RunStage.STARTING, RunStage.UNCERTAIN)
            for row in state.shard_vms[shard].values()
            for run in row.runs
        )
