"""Which incarnation of a VM is the current one, where several share an entry.

A VM may restart under the id of its entry. Its next incarnation holds nothing of the previous one,
but calls that were on their way to that one may reach it.
"""

from collections import deque

from sablemount.jobs.model import VmInfo
from sablemount.jobs.state import State
from sablemount.jobs.vm_row import VmRow

__all__ = ["Incarnations"]

MAX_EARLIER_NAMES = 8
"""Earlier incarnations of an entry whose names are kept: outdated lists may name recent ones."""


class Incarnations:
    """Keeps the current incarnation of each entry, and the names of recent earlier ones."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._current: dict[str, VmRow] = {}
        self._earlier_names: dict[str, deque[str]] = {}

    def current(self, entry: str) -> VmRow | None:
        """Return the current incarnation of an entry, or ``None`` if none is known to be up."""
        row = self._current.get(entry)
        return None if row is None or row.terminated else row

    def is_superseded(self, info: VmInfo) -> bool:
        """Return whether an entry describes an incarnation that another one has followed.

        Incarnations are told apart by name, since the clock of a restarted VM may have been set
        back; by start time where the name was never known.
        """
        if info.name in self._earlier_names.get(info.entry_key, ()):
            return True
        current = self.current(info.entry_key)
        return current is not None and info.born < current.info.born

    def make_current(self, row: VmRow) -> VmRow | None:
        """Make an incarnation the current one; return the one it follows if that was still up."""
        entry = row.info.entry_key
        previous = self._current.get(entry)
        self._current[entry] = row
        # A late call for an earlier incarnation has no effect once this one has been called.
        row.fence = self._state.next_fence()
        if previous is None:
            return None
        self._earlier_names.setdefault(entry, deque(maxlen=MAX_EARLIER_NAMES)).append(previous.name)
        return None if previous.terminated else previous

    def remove(self, row: VmRow) -> None:
        """Remove an incarnation, and the names of those before it."""
        if self._current.get(row.info.entry_key) is row:
            del self._current[row.info.entry_key]
            self._earlier_names.pop(row.info.entry_key, None)
