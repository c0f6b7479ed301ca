"""The planned stop: hand over, finish what is in flight, leave."""

from sablemount.core import records
from sablemount.core.actions import Stopped
from sablemount.core.state import State
from sablemount.core.systems.journal import Journal
from sablemount.core.systems.membership import Membership
from sablemount.core.systems.requests import Requests

__all__ = ["Stopping"]


class Stopping:
    """Ends this scheduler without cutting anything off."""

    def __init__(
        self, state: State, journal: Journal, membership: Membership, requests: Requests
    ) -> None:
        self._state = state
        self._journal = journal
        self._membership = membership
        self._requests = requests
        self._left = False
        self._told = False

    def requested(self) -> None:
        """Begin the stop; the shards are handed over by the ownership system."""
        self._state.stopping = True

    def run(self) -> None:
        """Leave once nothing is held or in flight, and say so once."""
        state = self._state
        if not state.stopping or self._told:
            return
        if state.held_shards or self._requests.in_flight:
            return
        if self._membership.joined and not self._left:
            self._left = self._journal.write(records.Leave())
        if not self._membership.joined and self._journal.idle:
            self._told = True
            state.emit(Stopped())
