"""Snapshots: the ledger is written to the log before the log drops the entries behind it."""

from sablemount.core import records
from sablemount.core.image import split_image
from sablemount.core.ledger_image import image_of
from sablemount.core.state import State
from sablemount.core.systems.journal import Journal
from sablemount.core.systems.membership import Membership

__all__ = ["Snapshots"]

RANK_DELAY = 0.25
"""Additional delay of each further member, as a share of the snapshot interval."""


class Snapshots:
    """Writes a snapshot when it is due; the first live member by name writes it first."""

    def __init__(self, state: State, journal: Journal, membership: Membership) -> None:
        self._state = state
        self._journal = journal
        self._membership = membership

    def run(self) -> None:
        """Write a snapshot if one is due and this member has to write it."""
        state = self._state
        new_entries = state.ledger.offset - state.ledger.snapshot_offset
        if new_entries < state.settings.snapshot_entries or not self._membership.joined:
            return
        if not self._journal.healthy or self._journal.unsettled(records.SnapshotPart):
            return
        members = self._membership.live_members()
        rank = members.index(state.writer) if state.writer in members else len(members)
        if new_entries < state.settings.snapshot_entries * (1 + RANK_DELAY * rank):
            return
        for part in split_image(image_of(state.ledger)):
            self._journal.write(part)
        state.meter.count("snapshots")
