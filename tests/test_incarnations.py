"""The answer to an append of a former incarnation says nothing of the present one's.

A scheduler that was put out becomes a new incarnation, which numbers its batches from 1 anew. The
append that it had on its way then may be answered after the first one of the new incarnation was
sent under the same number. What the new one has written must still be written, once.
"""

import pytest

from sablemount.core import records
from sablemount.core.actions import AppendLog
from sablemount.core.config import CoreSettings
from sablemount.core.events import AppendEnded, AppendStatus
from sablemount.core.records import Writer
from sablemount.core.state import State
from sablemount.core.systems.journal import Journal
from tests.fakes.cell import VirtualCell


def _appends(state: State) -> list[AppendLog]:
    """Return the appends that were given since the last look."""
    found = [action for action in state.actions if isinstance(action, AppendLog)]
    state.actions.clear()
    return found


def _next_incarnation(state: State, journal: Journal) -> AppendLog:
    """Put a scheduler out, and return the append with which its next incarnation joins."""
    state.writer = Writer(state.writer.name, state.writer.incarnation + 1)
    journal.forget_all()
    journal.write(records.Join("hall-0"))
    state.now += 1.0
    journal.run()
    (append,) = _appends(state)
    return append


@pytest.mark.parametrize("status", [AppendStatus.WRITTEN, AppendStatus.REFUSED])
def test_a_late_answer_to_a_former_incarnation_settles_nothing(status: AppendStatus) -> None:
    cell = VirtualCell(1, 2, 5, CoreSettings(shards=3))
    cell.run_until(cell.settled, 30.0)
    (member,) = cell.live()
    state, journal = member.core.state, member.core.journal
    state.actions.clear()
    former = _next_incarnation(state, journal)
    present = _next_incarnation(state, journal)
    journal.write(records.Seen())
    journal.append_ended(AppendEnded(former.sequence, status))
    journal.append_ended(AppendEnded(present.sequence, AppendStatus.UNKNOWN))
    again = []
    for _ in range(10):
        state.now += 1.0
        journal.run()
        again += [append.payload for append in _appends(state)]
    # Nobody knows whether the present one is in the log, so it is sent as it was.
    assert again == [present.payload] * len(again)
    assert again
