"""Plain policies to compare with: random, first fit, best fit and least loaded, none yielding.

Each replaces only the choice of the VM and switches preemption off; queues, quotas, leases and
all else stay as they are.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from sablemount.core.rows import TaskRow
from sablemount.core.systems.placement import Placement
from sablemount.core.systems.preemption import Preemption
from sablemount.core.tables import VmRow

__all__ = ["POLICIES", "policy"]

Choice = Callable[[Placement, list[VmRow]], VmRow]


def _random(placement: Placement, rows: list[VmRow]) -> VmRow:
    return placement._state.rng.choice(rows)


def _first_fit(placement: Placement, rows: list[VmRow]) -> VmRow:
    return min(rows, key=lambda row: row.vm)


def _best_fit(placement: Placement, rows: list[VmRow]) -> VmRow:
    return min(rows, key=lambda row: (row.free_cores, row.free_memory))


def _least_loaded(placement: Placement, rows: list[VmRow]) -> VmRow:
    return max(rows, key=lambda row: (row.free_cores, row.free_memory))


POLICIES: dict[str, Choice | None] = {
    "ours": None,
    "random": _random,
    "first fit": _first_fit,
    "best fit": _best_fit,
    "least loaded": _least_loaded,
}


@contextmanager
def policy(name: str) -> Iterator[None]:
    """Put a policy in force for the block."""
    choice = POLICIES[name]
    if choice is None:
        yield
        return

    def choose(self: Placement, row: TaskRow, shard: int) -> VmRow | None:
        shape = row.template.shape
        rows = [
            vm
            for vm in self._state.shard_vms[shard].values()
            if vm.was_usable and vm.has_room(shape)
        ]
        return choice(self, rows) if rows else None

    kept = Placement.choose, Preemption.run
    Placement.choose = choose  # type: ignore[method-assign]
    Preemption.run = lambda self: None  # type: ignore[method-assign]
    try:
        yield
    finally:
        Placement.choose, Preemption.run = kept  # type: ignore[method-assign]
