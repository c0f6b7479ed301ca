"""Late answers to appends of a previous incarnation of a scheduler.

An evicted scheduler becomes a new incarnation, which numbers its batches from 1 again. An answer
to the previous incarnation's append may arrive after the new incarnation has sent its first append
with the same number. It must not be taken for the answer to that one, whose records still have to
be written exactly once.
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
    """Return the appends among the new actions, and discard the actions."""
    found = [action for action in state.actions if isinstance(action, AppendLog)]
    state.actions.clear()
    return found


def _next_incarnation(state: State, journal: Journal) -> AppendLog:
    """Start the next incarnation of a scheduler, and return the append with which it joins."""
    state.writer = Writer(state.writer.name, state.writer.incarnation + 1)
    journal.abandon_all()
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
    previous = _next_incarnation(state, journal)
    current = _next_incarnation(state, journal)
    journal.write(records.Seen())
    journal.append_ended(AppendEnded(previous.sequence, status))
    journal.append_ended(AppendEnded(current.sequence, AppendStatus.UNKNOWN))
    resent = []
    for _ in range(10):
        state.now += 1.0
        journal.run()
        resent += [append.payload for append in _appends(state)]
    # The append may be in the log already, so it is resent unchanged.
    assert resent == [current.payload] * len(resent)
    assert resent
