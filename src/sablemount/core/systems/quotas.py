"""Quotas: an owner that runs short asks for a part of another shard's share.

A share only moves through the log and only by the owner that holds it, so the sum over all
schedulers never exceeds the quota.
"""

from sablemount.core import records
from sablemount.core.actions import SendPeer
from sablemount.core.documents import Shape
from sablemount.core.messages import QuotaAsk
from sablemount.core.state import State
from sablemount.core.systems.journal import Journal
from sablemount.core.systems.placement import Placement

__all__ = ["Quotas"]

ASK_INTERVAL = 0.5
"""Least time between two questions about one organisation and shard, in seconds."""
ASK_FACTOR = 4
"""How many tasks' worth is asked for at once, so that a burst needs few moves."""


class Quotas:
    """Moves quota shares to where they are needed."""

    def __init__(self, state: State, journal: Journal, placement: Placement) -> None:
        self._state = state
        self._journal = journal
        self._placement = placement
        self._asked: dict[tuple[str, int], float] = {}

    def run(self) -> None:
        """Ask for what the last placement run was short of."""
        state = self._state
        for key, shape in self._placement.short_of_quota.items():
            if state.now < self._asked.get(key, 0.0):
                continue
            self._asked[key] = state.now + ASK_INTERVAL
            self._ask(key[0], key[1], shape)

    def _ask(self, organisation: str, shard: int, shape: Shape) -> None:
        state = self._state
        sources = [row for row in state.ledger.shards if row.shard != shard and row.owner]
        # The richest shares are asked first, with a random choice among equals.
        state.rng.shuffle(sources)
        sources.sort(key=lambda row: self._spare(organisation, row.shard, shape), reverse=True)
        if not sources or not self._spare(organisation, sources[0].shard, shape):
            return
        source = sources[0]
        ask = QuotaAsk(
            state.writer,
            organisation,
            source.shard,
            shard,
            ASK_FACTOR * shape.cores,
            ASK_FACTOR * shape.accelerators,
        )
        if source.owner == state.writer:
            self.received(ask)
        elif source.owner is not None:
            state.emit(SendPeer(source.owner.name, ask))

    def _spare(self, organisation: str, shard: int, shape: Shape) -> int:
        """Return what a shard's share would still grant; of other owners' use nothing is known."""
        state = self._state
        cores = state.ledger.shares.cores(organisation, shard)
        accelerators = state.ledger.shares.accelerators(organisation, shard)
        key = (organisation, shard)
        spare = 0
        if cores is not None:
            spare += max(0, cores - state.used_cores.get(key, 0))
        if accelerators is not None and shape.accelerators:
            spare += max(0, accelerators - state.used_accelerators.get(key, 0))
        return spare

    def received(self, ask: QuotaAsk) -> None:
        """Give away what the asked shard does not use."""
        state = self._state
        held = state.held_shards.get(ask.source)
        if (
            held is None
            or not held.recovery_complete
            or not state.has_lease()
            or not state.is_active(ask.source)
        ):
            return
        key = (ask.organisation, ask.source)
        shares = state.ledger.shares
        cores = _unused(shares.cores(*key), state.used_cores.get(key, 0))
        accelerators = _unused(shares.accelerators(*key), state.used_accelerators.get(key, 0))
        cores = min(ask.cores, cores)
        accelerators = min(ask.accelerators, accelerators)
        if cores + accelerators > 0:
            move = records.QuotaMove(
                ask.organisation, ask.source, held.epoch, ask.to, cores, accelerators
            )
            # What is on its way out counts as used until the ledger has taken it off the share.
            if self._journal.write(move, lambda *_: state.add_usage(key, -cores, -accelerators)):
                state.add_usage(key, cores, accelerators)


def _unused(share: int | None, used: int) -> int:
    return 0 if share is None else max(0, share - used)
