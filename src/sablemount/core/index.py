"""Indexes over the VM table that make the cost of a placement independent of its size."""

import random
from collections.abc import Iterator

from sablemount.core.documents import Shape
from sablemount.core.tables import VmRow

__all__ = ["FreeIndex", "SlotIndex"]


class _Pool:
    """VMs of one hall, bucketed by free cores; bit ``n`` of ``mask`` tells that bucket is used."""

    __slots__ = ("buckets", "mask")

    def __init__(self) -> None:
        self.mask = 0
        self.buckets: dict[int, list[VmRow]] = {}

    def add(self, row: VmRow) -> None:
        bucket = self.buckets.setdefault(row.free_cores, [])
        row.bucket = bucket
        row.place = len(bucket)
        bucket.append(row)
        self.mask |= 1 << row.free_cores


class FreeIndex:
    """Usable VMs by hall, accelerators and free cores."""

    def __init__(self) -> None:
        self._plain: dict[str, _Pool] = {}
        self._accelerated: dict[str, _Pool] = {}
        self._level: dict[str, int] = {}

    def halls(self) -> list[str]:
        """Return the halls that have had usable VMs."""
        return list({**self._plain, **self._accelerated})

    def put(self, row: VmRow) -> None:
        """Enter a VM, or bring its place up to date."""
        level = self._level.get(row.vm)
        if level == row.free_cores and row.bucket is not None:
            return
        self.remove(row)
        pools = self._accelerated if row.accelerators else self._plain
        pools.setdefault(row.hall, _Pool()).add(row)
        self._level[row.vm] = row.free_cores

    def remove(self, row: VmRow) -> None:
        """Take a VM out, if it is in."""
        bucket = row.bucket
        if bucket is None:
            return
        last = bucket.pop()
        if last is not row:
            bucket[row.place] = last
            last.place = row.place
        row.bucket = None
        level = self._level.pop(row.vm)
        if not bucket:
            pools = self._accelerated if row.accelerators else self._plain
            pools[row.hall].mask &= ~(1 << level)

    def candidates(
        self, shape: Shape, halls: list[str], limit: int, rng: random.Random
    ) -> list[VmRow]:
        """Return up to ``limit`` VMs with room, the fullest first, hall by hall.

        VMs with accelerators are offered to other work only when no plain VM has room.
        """
        found: list[VmRow] = []
        if not shape.accelerators:
            self._collect(self._plain, shape, halls, limit, rng, found)
        if not found:
            self._collect(self._accelerated, shape, halls, limit, rng, found)
        return found

    def emptiest(self, shape: Shape, halls: list[str], limit: int) -> list[VmRow]:
        """Return up to ``limit`` VMs with room, the emptiest first, hall by hall."""
        found: list[VmRow] = []
        for pools in (
            (self._accelerated,) if shape.accelerators else (self._plain, self._accelerated)
        ):
            for hall in halls:
                pool = pools.get(hall)
                if pool is None or not pool.mask:
                    continue
                top = pool.buckets[pool.mask.bit_length() - 1]
                found.extend(row for row in top[:limit] if row.has_room(shape))
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
        share = max(2, limit // max(1, len(halls)))
        for hall in halls:
            pool = pools.get(hall)
            if pool is not None:
                self._collect_hall(pool, shape, share, rng, found)
            if len(found) >= limit:
                return

    def _collect_hall(
        self, pool: _Pool, shape: Shape, share: int, rng: random.Random, found: list[VmRow]
    ) -> None:
        mask = pool.mask >> shape.cores << shape.cores
        wanted = len(found) + share
        looked = 0
        while mask and len(found) < wanted and looked < 4 * share:
            lowest = mask & -mask
            mask ^= lowest
            bucket = pool.buckets[lowest.bit_length() - 1]
            for row in _sample(bucket, share, rng):
                looked += 1
                if row.has_room(shape):
                    found.append(row)


def _sample(bucket: list[VmRow], count: int, rng: random.Random) -> Iterator[VmRow]:
    """Yield up to ``count`` neighbours from a random place of a bucket."""
    size = len(bucket)
    if size <= count:
        yield from bucket
        return
    start = int(rng.random() * size)
    for step in range(count):
        yield bucket[(start + step) % size]


class SlotIndex:
    """Usable VMs that have a free slot, with constant-time random choice."""

    def __init__(self) -> None:
        self._rows: list[VmRow] = []

    def __len__(self) -> int:
        return len(self._rows)

    def put(self, row: VmRow) -> None:
        """Enter a VM, if it is not in."""
        if row.slot_place < 0:
            row.slot_place = len(self._rows)
            self._rows.append(row)

    def remove(self, row: VmRow) -> None:
        """Take a VM out, if it is in."""
        place = row.slot_place
        if place < 0:
            return
        last = self._rows.pop()
        if last is not row:
            self._rows[place] = last
            last.slot_place = place
        row.slot_place = -1

    def choose(self, shape: Shape, rng: random.Random, tries: int) -> VmRow | None:
        """Return the VM with the most free slots of a few random ones that have room."""
        best: VmRow | None = None
        rows = self._rows
        size = len(rows)
        for _ in range(min(tries, size)):
            row = rows[int(rng.random() * size)]
            if (best is None or row.free_slots > best.free_slots) and row.has_room(shape):
                best = row
        return best
