"""Queues of waiting tasks: by class, and within a class by weighted fair sharing."""

import heapq
from collections import OrderedDict
from collections.abc import Generator
from typing import NamedTuple

from sablemount.core.documents import CLASS_ORDER
from sablemount.core.rows import TaskRow

__all__ = ["Group", "WaitQueue", "WaitingTask"]

LEVELS = len(CLASS_ORDER)
FIRST_MOVE = 0.5
"""How long a task waits in a shard before it may be moved to another, in seconds."""


class Group(NamedTuple):
    """The tasks of one organisation in one shard."""

    organisation: str
    shard: int


class WaitingTask:
    """A task that waits for a VM; ``level`` rises with age, ``order`` is its paid class."""

    __slots__ = (
        "group",
        "level",
        "level_since",
        "moving",
        "new",
        "next_move",
        "order",
        "preempt_at",
        "reserved",
        "row",
        "since",
        "spread_done",
    )

    def __init__(self, row: TaskRow, now: float, new: bool) -> None:
        self.row = row
        self.new = new
        self.group = Group(row.template.organisation, row.shard)
        self.since = now
        self.order = CLASS_ORDER[row.template.priority]
        self.level = self.order
        self.level_since = now
        self.next_move = now + FIRST_MOVE
        self.preempt_at = now
        self.moving = False
        self.reserved = False
        self.spread_done = False

    @property
    def organisation(self) -> str:
        """Return the organisation that pays for the task."""
        return self.row.template.organisation


class WaitQueue:
    """Waiting tasks; each level serves the organisation that had the least for its weight.

    Within a level the tasks of one organisation in one shard form a group, so that a full shard
    holds up nobody's tasks in the others.
    """

    def __init__(self) -> None:
        self._items: dict[str, WaitingTask] = {}
        self._levels: list[dict[Group, OrderedDict[str, WaitingTask]]] = [{} for _ in range(LEVELS)]
        self._served: list[dict[str, float]] = [{} for _ in range(LEVELS)]
        self._floor = [0.0] * LEVELS

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, task: str) -> bool:
        return task in self._items

    def get(self, task: str) -> WaitingTask | None:
        """Return the waiting entry of a task."""
        return self._items.get(task)

    def add(self, row: TaskRow, now: float, new: bool) -> None:
        """Enter a task, if it is not in; ``new`` tells that it certainly never started."""
        if row.task not in self._items:
            self._insert(WaitingTask(row, now, new))

    def rebind(self, tasks: dict[str, TaskRow]) -> None:
        """Take the rows of another ledger; tasks that it does not have are taken out."""
        for name in list(self._items):
            row = tasks.get(name)
            item = self.remove(name)
            if row is not None and item is not None:
                item.row = row
                self._insert(item)

    def _insert(self, item: WaitingTask) -> None:
        item.group = Group(item.organisation, item.row.shard)
        self._items[item.row.task] = item
        groups = self._levels[item.level]
        if item.group not in groups:
            groups[item.group] = OrderedDict()
            # One that was idle starts level with the others: idleness earns no credit.
            served = self._served[item.level]
            floor = self._floor[item.level]
            served[item.organisation] = max(served.get(item.organisation, 0.0), floor)
        groups[item.group][item.row.task] = item

    def remove(self, task: str) -> WaitingTask | None:
        """Take a task out, if it is in."""
        item = self._items.pop(task, None)
        if item is not None:
            groups = self._levels[item.level]
            del groups[item.group][task]
            if not groups[item.group]:
                del groups[item.group]
        return item

    def charge(self, item: WaitingTask, cost: float, weight: float) -> None:
        """Book what an organisation was served at a level."""
        served = self._served[item.level]
        start = served.get(item.organisation, 0.0)
        self._floor[item.level] = max(self._floor[item.level], start)
        served[item.organisation] = start + cost / weight

    def turns(self, level: int) -> Generator[Group, bool, None]:
        """Yield the groups of a level, the least served first, while they have tasks.

        The caller sends ``True`` to give the group another turn, ``False`` to pass on.
        """
        served = self._served[level]
        heap = [(served.get(group.organisation, 0.0), group) for group in self._levels[level]]
        heapq.heapify(heap)
        while heap:
            _, group = heapq.heappop(heap)
            again = yield group
            if again and group in self._levels[level]:
                heapq.heappush(heap, (served.get(group.organisation, 0.0), group))

    def groups(self, level: int) -> list[Group]:
        """Return the groups that have tasks at a level."""
        return list(self._levels[level])

    def head(self, level: int, group: Group, depth: int) -> list[WaitingTask]:
        """Return the first ``depth`` tasks of a group at a level."""
        queue = self._levels[level].get(group)
        if queue is None:
            return []
        return [item for item, _ in zip(queue.values(), range(depth), strict=False)]

    def promote(self, now: float, aging: float) -> None:
        """Raise by one level the tasks at the head that have waited long at theirs."""
        for level in range(1, LEVELS):
            for group in list(self._levels[level]):
                for item in self.head(level, group, 1):
                    if now - item.level_since >= aging:
                        self.remove(item.row.task)
                        item.level -= 1
                        item.level_since = now
                        self._insert(item)

    def lengths(self) -> list[int]:
        """Return the number of tasks at each level."""
        return [sum(len(queue) for queue in level.values()) for level in self._levels]
