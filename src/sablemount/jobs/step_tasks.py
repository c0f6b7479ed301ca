"""The tasks of a step, most of which have no row.

A step may have thousands of tasks, of which few can run at a time. A task has a row while something
is known of it beside its index: a run, a failure, a saved state or a crash. Of all others only
their number is kept, and of those that are done a bit mask.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import overload

from sablemount.jobs.task_row import TaskRow, TaskState

__all__ = ["StepTasks"]


class StepTasks(Sequence[TaskRow]):
    """The tasks of one step by index; a row is made when it is asked for.

    Iterating over all tasks makes all rows: use ``rows`` for the tasks of which something is known,
    and ``waiting`` for those to be started next.
    """

    __slots__ = ("_count", "_is_sorted", "_make", "_next", "_rows", "done")

    def __init__(self, count: int, make: Callable[[int], TaskRow]) -> None:
        self._count = count
        self._make = make
        """Makes the row of a task from its index."""
        self._rows: dict[int, TaskRow] = {}
        self._is_sorted = True
        self._next = 0
        """All tasks below this index have a row or are done."""
        self.done = 0
        """Bit mask of the tasks that are done."""

    def __len__(self) -> int:
        return self._count

    @overload
    def __getitem__(self, index: int) -> TaskRow: ...

    @overload
    def __getitem__(self, index: slice) -> list[TaskRow]: ...

    def __getitem__(self, index: int | slice) -> TaskRow | list[TaskRow]:
        if isinstance(index, slice):
            return [self._row(number) for number in range(self._count)[index]]
        return self._row(range(self._count)[index])

    def __iter__(self) -> Iterator[TaskRow]:
        return map(self._row, range(self._count))

    def rows(self) -> list[TaskRow]:
        """Return the tasks that have a row, by index."""
        if not self._is_sorted:
            self._rows = dict(sorted(self._rows.items()))
            self._is_sorted = True
        return list(self._rows.values())

    def waiting_rows(self) -> list[TaskRow]:
        """Return the waiting tasks that have a row, by index."""
        return [row for row in self.rows() if row.state is TaskState.WAITING]

    def waiting(self, made: list[TaskRow]) -> Iterator[TaskRow]:
        """Iterate over the waiting tasks by index.

        Rows are made as the iteration reaches tasks without one, and added to ``made``: those that
        turn out not to be needed are to be released.
        """
        self._skip_known()
        index = self._next
        for row in self.rows():
            yield from self._make_rows(index, row.index, made)
            index = max(index, row.index + 1)
            if row.state is TaskState.WAITING:
                yield row
        yield from self._make_rows(index, self._count, made)

    def release(self, rows: list[TaskRow]) -> None:
        """Drop those of some rows of which nothing is known."""
        for row in rows:
            if row.is_unused and self._rows.get(row.index) is row:
                del self._rows[row.index]
                self._next = min(self._next, row.index)

    def mark_done(self, row: TaskRow) -> None:
        """Record that a task is done; its row is kept only for the VMs where it has failed."""
        self.done |= 1 << row.index
        if not row.failed_on:
            self._rows.pop(row.index, None)

    def restore_done(self, mask: int) -> int:
        """Record that some tasks were done before; return how many of them were not known to be."""
        new = mask & ((1 << self._count) - 1) & ~self.done
        self.done |= new
        return new.bit_count()

    def _skip_known(self) -> None:
        while self._next < self._count and self._is_known(self._next):
            self._next += 1

    def _is_known(self, index: int) -> bool:
        return index in self._rows or bool(self.done >> index & 1)

    def _make_rows(self, first: int, end: int, made: list[TaskRow]) -> Iterator[TaskRow]:
        for index in range(first, end):
            if not self._is_known(index):
                row = self._row(index)
                made.append(row)
                yield row

    def _row(self, index: int) -> TaskRow:
        row = self._rows.get(index)
        if row is not None:
            return row
        row = self._make(index)
        if self.done >> index & 1:
            row.state = TaskState.DONE
            return row
        self._is_sorted = self._is_sorted and (not self._rows or index > next(reversed(self._rows)))
        self._rows[index] = row
        return row
