"""Queue of waiting tasks: by priority level, and within a level by weighted fair queueing."""

import heapq
from collections import OrderedDict
from collections.abc import Generator
from typing import NamedTuple

from sablemount.core.documents import PRIORITY_RANK
from sablemount.core.rows import TaskRow

__all__ = ["Group", "WaitQueue", "WaitingTask"]

LEVEL_COUNT = len(PRIORITY_RANK)
FIRST_MOVE_DELAY_S = 0.5
"""Time after which a newly queued task may be moved to another shard."""


class Group(NamedTuple):
    """The tasks of one organisation in one shard."""

    organisation: str
    shard: int


class WaitingTask:
    """A task that waits for a VM.

    ``priority_rank`` is the rank of the template's priority class, and 0 is the highest. ``level``
    starts at that rank and decreases as the task ages, so that it is served earlier.
    ``never_started`` is set if the task has certainly not been started. ``spread_move_done`` is set
    once a move of the task to a shard for its spread preference has been considered.
    """

    __slots__ = (
        "group",
        "level",
        "level_since",
        "move_pending",
        "never_started",
        "next_move_at",
        "priority_rank",
        "next_preemption_at",
        "has_reservation",
        "row",
        "queued_at",
        "spread_move_done",
    )

    def __init__(self, row: TaskRow, now: float, never_started: bool) -> None:
        self.row = row
        self.never_started = never_started
        self.group = Group(row.template.organisation, row.shard)
        self.queued_at = now
        self.priority_rank = PRIORITY_RANK[row.template.priority]
        self.level = self.priority_rank
        self.level_since = now
        self.next_move_at = now + FIRST_MOVE_DELAY_S
        self.next_preemption_at = now
        self.move_pending = False
        self.has_reservation = False
        self.spread_move_done = False

    @property
    def organisation(self) -> str:
        """Return the organisation that the task is charged to."""
        return self.row.template.organisation


class WaitQueue:
    """Waiting tasks, by priority level and then by weighted fair queueing of organisations.

    Each level serves the organisation that has received the least service for its weight. Within a
    level the tasks of one organisation in one shard form a group, so that a full shard does not
    delay tasks in other shards.
    """

    def __init__(self) -> None:
        self._items: dict[str, WaitingTask] = {}
        self._levels: list[dict[Group, OrderedDict[str, WaitingTask]]] = [
            {} for _ in range(LEVEL_COUNT)
        ]
        self._service_received: list[dict[str, float]] = [{} for _ in range(LEVEL_COUNT)]
        self._virtual_time = [0.0] * LEVEL_COUNT

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, task: str) -> bool:
        return task in self._items

    def get(self, task: str) -> WaitingTask | None:
        """Return the entry of a task, or ``None`` if it does not wait."""
        return self._items.get(task)

    def add(self, row: TaskRow, now: float, never_started: bool) -> None:
        """Add a task, unless it waits already."""
        if row.task not in self._items:
            self._insert(WaitingTask(row, now, never_started))

    def replace_rows(self, tasks: dict[str, TaskRow]) -> None:
        """Replace the rows by those of another ledger, and remove tasks that it does not have."""
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
            # An organisation that was idle starts at the virtual time: idleness earns no credit.
            received = self._service_received[item.level]
            virtual_time = self._virtual_time[item.level]
            received[item.organisation] = max(received.get(item.organisation, 0.0), virtual_time)
        groups[item.group][item.row.task] = item

    def remove(self, task: str) -> WaitingTask | None:
        """Remove a task and return its entry, or ``None`` if it does not wait."""
        item = self._items.pop(task, None)
        if item is not None:
            groups = self._levels[item.level]
            del groups[item.group][task]
            if not groups[item.group]:
                del groups[item.group]
        return item

    def charge(self, item: WaitingTask, cost: float, weight: float) -> None:
        """Add the cost of a task to what its organisation has received at the task's level."""
        received = self._service_received[item.level]
        start = received.get(item.organisation, 0.0)
        self._virtual_time[item.level] = max(self._virtual_time[item.level], start)
        received[item.organisation] = start + cost / weight

    def fair_turns(self, level: int) -> Generator[Group, bool, None]:
        """Yield the groups of a level that have tasks, the one with the least service first.

        The caller sends ``True`` to have the group yielded again, ``False`` to leave it out.
        """
        received = self._service_received[level]
        heap = [(received.get(group.organisation, 0.0), group) for group in self._levels[level]]
        heapq.heapify(heap)
        while heap:
            _, group = heapq.heappop(heap)
            again = yield group
            if again and group in self._levels[level]:
                heapq.heappush(heap, (received.get(group.organisation, 0.0), group))

    def groups(self, level: int) -> list[Group]:
        """Return the groups that have tasks at a level."""
        return list(self._levels[level])

    def head(self, level: int, group: Group, count: int) -> list[WaitingTask]:
        """Return the first ``count`` tasks of a group at a level."""
        queue = self._levels[level].get(group)
        if queue is None:
            return []
        return [item for item, _ in zip(queue.values(), range(count), strict=False)]

    def promote(self, now: float, aging: float) -> None:
        """Promote the first task of each group by a level after ``aging`` seconds at its level."""
        for level in range(1, LEVEL_COUNT):
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
