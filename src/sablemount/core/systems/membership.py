"""Membership: who is a member by the ledger, and who is heard of.

Members join and leave through the log. Between themselves they gossip heartbeats to a fixed number
of peers a round, so traffic per node does not grow with the number of nodes. A record in the log
is a sign of life too, and whoever misses a peer gives one. Silence in both makes a member suspect;
only the log puts it out, and then its records count no more.
"""

from sablemount.core import records
from sablemount.core.actions import SendPeer
from sablemount.core.image import pack_image, unpack_image
from sablemount.core.ledger_image import image_of
from sablemount.core.messages import CatchUp, CatchUpReply, Gossip, MemberBeat, PeerMessage
from sablemount.core.records import Writer
from sablemount.core.rows import AppliedRecord
from sablemount.core.state import State
from sablemount.core.systems.journal import Journal
from sablemount.core.tables import PeerRow

__all__ = ["Membership"]

MAX_BEATS = 32
"""Heartbeats in one message at most."""
SIGN_SHARE = 0.75
"""Share of ``suspect_after`` for which a peer may be silent before a sign of life is written."""
FORGET_AFTER = 60.0
"""How long one that is no member any more is remembered, in seconds."""
CATCH_UP_LAG = 1
"""How many entries behind a peer a scheduler may be before it asks for the ledger."""
CATCH_UP_INTERVAL = 2.0
"""Least time between two such questions, in seconds."""


class Membership:
    """Joins, gossips, suspects and puts out."""

    def __init__(self, state: State, journal: Journal) -> None:
        self._state = state
        self._journal = journal
        self._beat = 0
        self._next_gossip = 0.0
        self._next_catch_up = 0.0
        self._next_sign = 0.0
        self._last_run = state.now
        self._joining = False
        journal.listeners.append(self._applied)

    # -- Membership by the ledger ------------------------------------------------------------

    @property
    def joined(self) -> bool:
        """Tell whether this incarnation is a member."""
        return self._state.ledger.members.get(self._state.writer.name) == self._state.writer

    def _applied(self, applied: AppliedRecord) -> None:
        body = applied.record.body
        self._heard_in_log(applied.writer)
        if not applied.accepted:
            return
        if isinstance(body, records.Join) and applied.writer == self._state.writer:
            self._state.joined_at = self._state.now
            self._joining = False
        elif isinstance(body, records.Evict) and body.member == self._state.writer:
            self._put_out()

    def _heard_in_log(self, writer: Writer) -> None:
        """Count a record as a sign of life: a member may be cut off from its peers alone."""
        peer = self._state.peers.get(writer.name)
        if peer is not None and peer.incarnation == writer.incarnation:
            peer.last_heartbeat_at = self._state.now

    def _show_life(self) -> None:
        """Write to the log while a member is not heard of, since it may not hear this one."""
        state = self._state
        if not self.joined or state.now < self._next_sign or not self._journal.healthy:
            return
        interval = SIGN_SHARE * state.settings.suspect_after
        peers = (state.peers.get(name) for name in state.ledger.members)
        if any(peer is not None and state.now - peer.last_gossip_at > interval for peer in peers):
            self._next_sign = state.now + interval
            self._journal.write(records.Seen(), None, state.now + interval)

    def _put_out(self) -> None:
        """Become a new incarnation: the old one's records count no more."""
        state = self._state
        state.meter.count("evicted")
        state.writer = Writer(state.writer.name, state.writer.incarnation + 1)
        self._joining = False
        self._journal.forget_all()

    def _join(self) -> None:
        state = self._state
        if self.joined or self._joining or state.stopping or not state.ready:
            return
        highest = state.ledger.incarnations.get(state.writer.name, 0)
        if highest >= state.writer.incarnation:
            state.writer = Writer(state.writer.name, highest + 1)
            self._journal.forget_all()
        self._joining = self._journal.write(records.Join(state.hall))

    # -- Liveness ----------------------------------------------------------------------------

    def alive(self, member: Writer) -> bool:
        """Tell whether a member was heard of lately."""
        state = self._state
        if member == state.writer:
            return True
        peer = state.peers.get(member.name)
        if peer is None or peer.incarnation != member.incarnation:
            return False
        return state.now - peer.last_heartbeat_at < state.settings.suspect_after

    def live_members(self) -> list[Writer]:
        """Return the members that are heard of and are not about to leave, by name."""
        state = self._state
        found = []
        for name in sorted(state.ledger.members):
            member = state.ledger.members[name]
            peer = state.peers.get(name)
            leaving = state.stopping if member == state.writer else bool(peer and peer.stopping)
            if not leaving and self.alive(member):
                found.append(member)
        return found

    def run(self) -> None:
        """Join, gossip, and put out whoever has been silent for long."""
        self._forgive_after_pause()
        self._join()
        self._note_members()
        self._forget_departed()
        if self._state.now >= self._next_gossip:
            self._next_gossip = self._state.now + self._state.settings.gossip_interval
            self._gossip()
        self._evict()
        self._show_life()

    def _forgive_after_pause(self) -> None:
        """Start everybody's silence anew if this process itself did not run for a while."""
        state = self._state
        gap = state.now - self._last_run
        self._last_run = state.now
        if gap > state.settings.suspect_after / 2:
            state.meter.count("pauses")
            for peer in state.peers.values():
                peer.last_heartbeat_at = state.now
                peer.last_gossip_at = state.now

    def _note_members(self) -> None:
        """Begin to count the silence of members that were never heard of."""
        state = self._state
        for member in state.ledger.members.values():
            peer = state.peers.get(member.name)
            if member == state.writer:
                continue
            if peer is None or peer.incarnation < member.incarnation:
                row = PeerRow(member.name, member.incarnation, state.now)
                state.peers[member.name] = row

    def _forget_departed(self) -> None:
        state = self._state
        oldest = state.now - FORGET_AFTER
        for name in [name for name, peer in state.peers.items() if peer.last_heartbeat_at < oldest]:
            if name not in state.ledger.members:
                del state.peers[name]

    def _evict(self) -> None:
        state = self._state
        if not self.joined or not self._journal.healthy or self._journal.waiting(records.Evict):
            return
        for member in state.ledger.members.values():
            peer = state.peers.get(member.name)
            if member == state.writer or peer is None:
                continue
            if state.now - peer.last_heartbeat_at > state.settings.evict_after:
                self._journal.write(records.Evict(member), None, state.now + 5.0)

    # -- Gossip ------------------------------------------------------------------------------

    def _own_beat(self) -> MemberBeat:
        state = self._state
        self._beat += 1
        active = (
            [shard for shard in state.held_shards if state.is_active(shard)]
            if state.has_lease()
            else []
        )
        rows = [row for shard in active for row in state.shard_vms[shard].values()]
        usable = [row for row in rows if row.was_usable]
        return MemberBeat(
            member=state.writer,
            beat=self._beat,
            offset=state.ledger.offset,
            free_slots=sum(max(0, row.free_slots) for row in usable),
            free_cores=max((row.free_cores for row in usable), default=0),
            free_accelerators=max((row.free_accelerators for row in usable), default=0),
            stopping=state.stopping,
        )

    def _gossip(self) -> None:
        state = self._state
        names = [name for name in state.peer_names if name != state.writer.name]
        fanout = min(state.settings.gossip_fanout, len(names))
        if not fanout:
            return
        beats = [self._own_beat()]
        heard = [peer for peer in state.peers.values() if peer.beat >= 0]
        if len(heard) >= MAX_BEATS:
            heard = state.rng.sample(heard, MAX_BEATS - 1)
        beats.extend(_beat_of(peer) for peer in heard)
        message = Gossip(state.writer, tuple(beats))
        for name in state.rng.sample(names, fanout):
            state.emit(SendPeer(name, message))

    def received(self, message: PeerMessage) -> None:
        """Take a gossip or catch-up message."""
        if isinstance(message, Gossip):
            for beat in message.beats:
                self._merge(beat, message.sender)
        elif isinstance(message, CatchUp):
            self._catch_up(message)
        elif isinstance(message, CatchUpReply):
            self._journal.adopt(unpack_image(message.image))

    def _merge(self, beat: MemberBeat, sender: Writer) -> None:
        state = self._state
        if beat.member.name == state.writer.name:
            return
        if beat.member.name not in state.ledger.members and beat.member != sender:
            # Hearsay of one that is no member would go round for ever.
            return
        peer = state.peers.get(beat.member.name)
        if peer is None or peer.incarnation < beat.member.incarnation:
            peer = PeerRow(beat.member.name, beat.member.incarnation, state.now)
            state.peers[beat.member.name] = peer
        if peer.incarnation != beat.member.incarnation or peer.beat >= beat.beat:
            return
        peer.beat = beat.beat
        peer.last_heartbeat_at = state.now
        peer.last_gossip_at = state.now
        peer.offset = beat.offset
        peer.free_slots = beat.free_slots
        peer.free_cores = beat.free_cores
        peer.free_accelerators = beat.free_accelerators
        peer.stopping = beat.stopping
        self._ask_to_catch_up(peer)

    # -- The ledger from peers ---------------------------------------------------------------

    def _ask_to_catch_up(self, peer: PeerRow) -> None:
        """Ask a peer that is further for its ledger while the log does not answer."""
        state = self._state
        behind = peer.offset - state.ledger.offset
        if behind < CATCH_UP_LAG or self._journal.healthy or state.now < self._next_catch_up:
            return
        self._next_catch_up = state.now + CATCH_UP_INTERVAL
        state.emit(SendPeer(peer.name, CatchUp(state.writer, state.ledger.offset)))

    def _catch_up(self, message: CatchUp) -> None:
        state = self._state
        if state.ledger.offset <= message.offset:
            return
        image = pack_image(image_of(state.ledger))
        reply = CatchUpReply(state.writer, state.ledger.offset, image)
        state.emit(SendPeer(message.sender.name, reply))


def _beat_of(peer: PeerRow) -> MemberBeat:
    return MemberBeat(
        Writer(peer.name, peer.incarnation),
        peer.beat,
        peer.offset,
        peer.free_slots,
        peer.free_cores,
        peer.free_accelerators,
        peer.stopping,
    )
