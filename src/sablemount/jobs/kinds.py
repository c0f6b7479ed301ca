"""The kinds of VMs that a leader has seen, with those that are away or have changed since.

A kind is remembered for as long as the leadership lasts: a VM that drains, crashes, shrinks or
loses its entry may come back as it was.
"""

from dataclasses import dataclass, field

from sablemount.jobs.model import Shape, VmInfo

__all__ = ["Kind", "VmKinds"]


@dataclass(slots=True)
class Kind:
    """The VMs of a pool that have a label."""

    machines: set[str] = field(default_factory=set)
    """Machines that were ever seen with it; without a machine, a VM counts by its entry."""
    capacities: list[Shape] = field(default_factory=list)
    """Capacities that were ever seen with it; one that fits into another is left out."""

    def add(self, machine: str, capacity: Shape) -> None:
        """Add a VM."""
        self.machines.add(machine)
        if not any(capacity.fits(other) for other in self.capacities):
            kept = [other for other in self.capacities if not other.fits(capacity)]
            self.capacities = [*kept, capacity]


class VmKinds:
    """Kinds by pool and label, kept up to date with each entry that is new or has changed."""

    def __init__(self) -> None:
        self._kinds: dict[tuple[str, str], Kind] = {}
        """Kinds by pool and label; the empty label stands for all VMs of the pool."""
        self._undescribed: dict[str, set[str]] = {}
        """Machines of a pool that may be of any kind, since no entry of them was ever read."""

    def describe(self, info: VmInfo) -> None:
        """Add a VM whose entry has been read."""
        machine = _machine(info)
        for label in {"", *info.labels}:
            self._kinds.setdefault((info.pool, label), Kind()).add(machine, info.capacity)
        for machines in self._undescribed.values():
            machines -= {machine, info.entry_key}

    def expect(self, info: VmInfo) -> None:
        """Add a VM that is known only from a record of a previous leader, or from its answers."""
        self._undescribed.setdefault(info.pool, set()).add(_machine(info))

    def is_pool_known(self, pool: str) -> bool:
        """Return whether VMs of a pool have been seen, and the kind of each of them is known."""
        return (pool, "") in self._kinds and not self._undescribed.get(pool)

    def find(self, pool: str, label: str = "") -> Kind | None:
        """Return the VMs of a pool that have a label; ``None`` if none was ever seen."""
        return self._kinds.get((pool, label))


def _machine(info: VmInfo) -> str:
    return info.machine or info.entry_key
