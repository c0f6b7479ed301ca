"""Indexes of VMs by free capacity; a lookup takes a time that is independent of their number."""

import random
from collections.abc import Iterator

from sablemount.core.documents import Shape
from sablemount.core.tables import VmRow

__all__ = ["FreeIndex", "SlotIndex"]


class _Pool:
    """VMs of one hall in buckets by free cores; bit n of ``mask`` is set if bucket n is used."""

    __slots__ = ("buckets", "mask")

    def __init__(self) -> None:
        self.mask = 0
        self.buckets: dict[int, list[VmRow]] = {}

    def add(self, row: VmRow) -> None:
        bucket = self.buckets.setdefault(row.free_cores, [])
        row.bucket = bucket
        row.bucket_position = len(bucket)
        bucket.append(row)
        self.mask |= 1 << row.free_cores


class FreeIndex:
    """Usable VMs by hall, accelerators and free cores."""

    def __init__(self) -> None:
        self._without_accelerators: dict[str, _Pool] = {}
        self._with_accelerators: dict[str, _Pool] = {}
        self._indexed_cores: dict[str, int] = {}

    def halls(self) -> list[str]:
        """Return the halls that have or had usable VMs."""
        return list({**self._without_accelerators, **self._with_accelerators})

    def put(self, row: VmRow) -> None:
        """Add a VM, or move it to the bucket of its current free cores."""
        indexed_cores = self._indexed_cores.get(row.vm)
        if indexed_cores == row.free_cores and row.bucket is not None:
            return
        self.remove(row)
        pools = self._with_accelerators if row.accelerators else self._without_accelerators
        pools.setdefault(row.hall, _Pool()).add(row)
        self._indexed_cores[row.vm] = row.free_cores

    def remove(self, row: VmRow) -> None:
        """Remove a VM, if it is in the index."""
        bucket = row.bucket
        if bucket is None:
            return
        last = bucket.pop()
        if last is not row:
            bucket[row.bucket_position] = last
            last.bucket_position = row.bucket_position
        row.bucket = None
        indexed_cores = self._indexed_cores.pop(row.vm)
        if not bucket:
            pools = self._with_accelerators if row.accelerators else self._without_accelerators
            pools[row.hall].mask &= ~(1 << indexed_cores)

    def candidates(
        self, shape: Shape, halls: list[str], limit: int, rng: random.Random
    ) -> list[VmRow]:
        """Return VMs that can fit a shape, hall by hall and the fullest first.

        The search ends after the first hall with which ``limit`` VMs have been found.

        A shape without accelerators gets VMs with accelerators only if no other VM can fit it.
        """
        found: list[VmRow] = []
        if not shape.accelerators:
            self._collect(self._without_accelerators, shape, halls, limit, rng, found)
        if not found:
            self._collect(self._with_accelerators, shape, halls, limit, rng, found)
        return found

    def emptiest(self, shape: Shape, halls: list[str], limit: int) -> list[VmRow]:
        """Return VMs that can fit a shape, of up to ``limit`` per hall with the most free cores."""
        found: list[VmRow] = []
        for pools in (
            (self._with_accelerators,)
            if shape.accelerators
            else (self._without_accelerators, self._with_accelerators)
        ):
            for hall in halls:
                pool = pools.get(hall)
                if pool is None or not pool.mask:
                    continue
                top = pool.buckets[pool.mask.bit_length() - 1]
                found.extend(row for row in top[:limit] if row.can_fit(shape))
        return found

    def _collect(
        self,
        pools: dict[str, _Pool],
        shape: Shape,
        halls: list[str],
        limit: int,
        rng: random.Random,
        found: list[VmRow],
    ) -> None:
        hall_limit = max(2, limit // max(1, len(halls)))
        for hall in halls:
            pool = pools.get(hall)
            if pool is not None:
                self._collect_hall(pool, shape, hall_limit, rng, found)
            if len(found) >= limit:
                return

    def _collect_hall(
        self, pool: _Pool, shape: Shape, limit: int, rng: random.Random, found: list[VmRow]
    ) -> None:
        mask = pool.mask >> shape.cores << shape.cores
        wanted = len(found) + limit
        examined = 0
        while mask and len(found) < wanted and examined < 4 * limit:
            lowest = mask & -mask
            mask ^= lowest
            bucket = pool.buckets[lowest.bit_length() - 1]
            for row in _sample(bucket, limit, rng):
                examined += 1
                if row.can_fit(shape):
                    found.append(row)


def _sample(bucket: list[VmRow], count: int, rng: random.Random) -> Iterator[VmRow]:
    """Yield up to ``count`` neighbouring rows of a bucket, starting at a random position."""
    size = len(bucket)
    if size <= count:
        yield from bucket
        return
    start = int(rng.random() * size)
    for offset in range(count):
        yield bucket[(start + offset) % size]


class SlotIndex:
    """Usable VMs that have a free slot, with constant-time random choice."""

    def __init__(self) -> None:
        self._rows: list[VmRow] = []

    def __len__(self) -> int:
        return len(self._rows)

    def put(self, row: VmRow) -> None:
        """Add a VM, unless it is in the index."""
        if row.slot_position < 0:
            row.slot_position = len(self._rows)
            self._rows.append(row)

    def remove(self, row: VmRow) -> None:
        """Remove a VM, if it is in the index."""
        position = row.slot_position
        if position < 0:
            return
        last = self._rows.pop()
        if last is not row:
            self._rows[position] = last
            last.slot_position = position
        row.slot_position = -1

    def choose(self, shape: Shape, rng: random.Random, tries: int) -> VmRow | None:
        """Return the VM with the most free slots of ``tries`` random ones that can fit a shape."""
        best: VmRow | None = None
        rows = self._rows
        size = len(rows)
        for _ in range(min(tries, size)):
            row = rows[int(rng.random() * size)]
            if (best is None or row.free_slots > best.free_slots) and row.can_fit(shape):
                best = row
        return best
