"""Quotas: an owner whose share of a quota is used up requests a part of another shard's share.

A share moves only through the log, and only by the owner that holds it, so the shares of all
schedulers together never exceed the quota.
"""

from sablemount.core import records
from sablemount.core.actions import SendPeer
from sablemount.core.documents import Shape
from sablemount.core.messages import QuotaAsk
from sablemount.core.state import State
from sablemount.core.systems.journal import Journal
from sablemount.core.systems.placement import Placement

__all__ = ["Quotas"]

ASK_INTERVAL_S = 0.5
"""Minimum time between two requests for one organisation and shard."""
ASKED_TASKS = 4
"""Number of tasks for which quota is requested at once, so that a burst needs few moves."""


class Quotas:
    """Moves quota shares between shards on demand."""

    def __init__(self, state: State, journal: Journal, placement: Placement) -> None:
        self._state = state
        self._journal = journal
        self._placement = placement
        self._next_ask: dict[tuple[str, int], float] = {}

    def run(self) -> None:
        """Request the quota that the last placement run lacked."""
        state = self._state
        for key, shape in self._placement.quota_shortfalls.items():
            if state.now < self._next_ask.get(key, 0.0):
                continue
            self._next_ask[key] = state.now + ASK_INTERVAL_S
            self._ask(key[0], key[1], shape)

    def _ask(self, organisation: str, shard: int, shape: Shape) -> None:
        state = self._state
        sources = [row for row in state.ledger.shards if row.shard != shard and row.owner]
        # The shard with the largest spare share is asked, chosen at random among equals.
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
            ASKED_TASKS * shape.cores,
            ASKED_TASKS * shape.accelerators,
        )
        if source.owner == state.writer:
            self.received(ask)
        elif source.owner is not None:
            state.emit(SendPeer(source.owner.name, ask))

    def _spare(self, organisation: str, shard: int, shape: Shape) -> int:
        """Return the spare part of a shard's share; what other owners use is not known."""
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
        """Grant what the source shard does not use, up to the requested amount."""
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
            # The moved amount counts as used until the ledger has subtracted it from the share.
            if self._journal.write(move, lambda *_: state.add_usage(key, -cores, -accelerators)):
                state.add_usage(key, cores, accelerators)


def _unused(share: int | None, used: int) -> int:
    return 0 if share is None else max(0, share - used)
