"""Membership: the members by the ledger, and their liveness.

Members join and leave through the log. They gossip heartbeats to a fixed number of peers per
round, so that the traffic per node does not grow with the number of nodes. A record in the log
counts as a heartbeat too, and a member that misses a peer's heartbeats writes one. A member is
suspected when neither shows it alive. Only a record in the log evicts a member; its later records
are then ignored.
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
"""Maximum number of heartbeats per gossip message."""
LOG_HEARTBEAT_SHARE = 0.75
"""Share of ``suspect_after`` without gossip from a peer after which a heartbeat is logged."""
FORMER_MEMBER_RETENTION_S = 60.0
"""Time after which the row of a silent peer that is not a member is removed."""
CATCH_UP_LAG = 1
"""Lag behind a peer, in log entries, from which a scheduler asks for the peer's ledger."""
CATCH_UP_INTERVAL_S = 2.0
"""Minimum time between two such requests."""


class Membership:
    """Joins the cell, gossips heartbeats, and suspects and evicts members."""

    def __init__(self, state: State, journal: Journal) -> None:
        self._state = state
        self._journal = journal
        self._beat = 0
        self._next_gossip = 0.0
        self._next_catch_up = 0.0
        self._next_log_heartbeat = 0.0
        self._last_run = state.now
        self._joining = False
        journal.listeners.append(self._applied)

    # -- Membership by the ledger ------------------------------------------------------------

    @property
    def joined(self) -> bool:
        """Return whether this incarnation is a member."""
        return self._state.ledger.members.get(self._state.writer.name) == self._state.writer

    def _applied(self, applied: AppliedRecord) -> None:
        body = applied.record.body
        self._count_log_heartbeat(applied.writer)
        if not applied.accepted:
            return
        if isinstance(body, records.Join) and applied.writer == self._state.writer:
            self._state.joined_at = self._state.now
            self._joining = False
        elif isinstance(body, records.Evict) and body.member == self._state.writer:
            self._evicted()

    def _count_log_heartbeat(self, writer: Writer) -> None:
        """Count a record as a heartbeat: its writer may be cut off from its peers only."""
        peer = self._state.peers.get(writer.name)
        if peer is not None and peer.incarnation == writer.incarnation:
            peer.last_heartbeat_at = self._state.now

    def _log_heartbeat(self) -> None:
        """Log a heartbeat while a peer's gossip is missing, since it may miss ours as well."""
        state = self._state
        if not self.joined or state.now < self._next_log_heartbeat or not self._journal.healthy:
            return
        interval = LOG_HEARTBEAT_SHARE * state.settings.suspect_after
        peers = (state.peers.get(name) for name in state.ledger.members)
        if any(peer is not None and state.now - peer.last_gossip_at > interval for peer in peers):
            self._next_log_heartbeat = state.now + interval
            self._journal.write(records.Seen(), None, state.now + interval)

    def _evicted(self) -> None:
        """Start a new incarnation after an eviction; records of the old one are ignored."""
        state = self._state
        state.meter.count("evicted")
        state.writer = Writer(state.writer.name, state.writer.incarnation + 1)
        self._joining = False
        self._journal.abandon_all()

    def _join(self) -> None:
        state = self._state
        if self.joined or self._joining or state.stopping or not state.ready:
            return
        highest = state.ledger.incarnations.get(state.writer.name, 0)
        if highest >= state.writer.incarnation:
            state.writer = Writer(state.writer.name, highest + 1)
            self._journal.abandon_all()
        self._joining = self._journal.write(records.Join(state.hall))

    # -- Liveness ----------------------------------------------------------------------------

    def alive(self, member: Writer) -> bool:
        """Return whether a member's last heartbeat is recent."""
        state = self._state
        if member == state.writer:
            return True
        peer = state.peers.get(member.name)
        if peer is None or peer.incarnation != member.incarnation:
            return False
        return state.now - peer.last_heartbeat_at < state.settings.suspect_after

    def live_members(self) -> list[Writer]:
        """Return the members that are alive and not stopping, sorted by name."""
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
        """Join, gossip, and evict the members whose heartbeats have been missing for too long."""
        self._reset_after_pause()
        self._join()
        self._add_members()
        self._remove_former_members()
        if self._state.now >= self._next_gossip:
            self._next_gossip = self._state.now + self._state.settings.gossip_interval
            self._gossip()
        self._evict()
        self._log_heartbeat()

    def _reset_after_pause(self) -> None:
        """Restart the liveness timers of all peers if this process itself has been paused."""
        state = self._state
        gap = state.now - self._last_run
        self._last_run = state.now
        if gap > state.settings.suspect_after / 2:
            state.meter.count("pauses")
            for peer in state.peers.values():
                peer.last_heartbeat_at = state.now
                peer.last_gossip_at = state.now

    def _add_members(self) -> None:
        """Start the liveness timers of members that have sent no heartbeat yet."""
        state = self._state
        for member in state.ledger.members.values():
            peer = state.peers.get(member.name)
            if member == state.writer:
                continue
            if peer is None or peer.incarnation < member.incarnation:
                row = PeerRow(member.name, member.incarnation, state.now)
                state.peers[member.name] = row

    def _remove_former_members(self) -> None:
        state = self._state
        oldest = state.now - FORMER_MEMBER_RETENTION_S
        for name in [name for name, peer in state.peers.items() if peer.last_heartbeat_at < oldest]:
            if name not in state.ledger.members:
                del state.peers[name]

    def _evict(self) -> None:
        state = self._state
        if not self.joined or not self._journal.healthy or self._journal.unsettled(records.Evict):
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
        known = [peer for peer in state.peers.values() if peer.beat >= 0]
        if len(known) >= MAX_BEATS:
            known = state.rng.sample(known, MAX_BEATS - 1)
        beats.extend(_beat_of(peer) for peer in known)
        message = Gossip(state.writer, tuple(beats))
        for name in state.rng.sample(names, fanout):
            state.emit(SendPeer(name, message))

    def received(self, message: PeerMessage) -> None:
        """Handle a gossip or catch-up message."""
        if isinstance(message, Gossip):
            for beat in message.beats:
                self._merge(beat, message.sender)
        elif isinstance(message, CatchUp):
            self._send_ledger(message)
        elif isinstance(message, CatchUpReply):
            self._journal.adopt(unpack_image(message.image))

    def _merge(self, beat: MemberBeat, sender: Writer) -> None:
        state = self._state
        if beat.member.name == state.writer.name:
            return
        if beat.member.name not in state.ledger.members and beat.member != sender:
            # Relayed heartbeats of a non-member would circulate for ever.
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
        self._request_ledger(peer)

    # -- The ledger from peers ---------------------------------------------------------------

    def _request_ledger(self, peer: PeerRow) -> None:
        """Request the ledger of a peer that is ahead, while the log does not answer."""
        state = self._state
        behind = peer.offset - state.ledger.offset
        if behind < CATCH_UP_LAG or self._journal.healthy or state.now < self._next_catch_up:
            return
        self._next_catch_up = state.now + CATCH_UP_INTERVAL_S
        state.emit(SendPeer(peer.name, CatchUp(state.writer, state.ledger.offset)))

    def _send_ledger(self, message: CatchUp) -> None:
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
