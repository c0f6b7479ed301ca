"""A cancelled wait for a batch does not make it count as complete, and a failed batch ends waits.

An append without records waits until the appends in flight are stored. If only this wait is
cancelled, the awaited batch is still in flight and must be retried until it is stored. An append
that waits for a batch which a later leader has fenced must end with it.
"""

import asyncio
import random

import pytest

from sablemount.control.commit import AppendAbandoned, Committer, LostLeadership
from sablemount.control.store import Topic
from sablemount.jobs.records import Record
from tests.emulator.loop import run
from tests.emulator.store import EmulatedStore, StoreState


def test_a_wait_that_is_given_up_makes_no_batch_count_as_done() -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        committer = Committer(EmulatedStore(state, "m"), 1, random.Random(2))
        await committer.open()
        state.down = True
        batch = asyncio.create_task(committer.append([Record("j/accepted", b"job")]))
        await asyncio.sleep(0.05)
        waiter = asyncio.create_task(committer.append([]))
        await asyncio.sleep(0.05)
        waiter.cancel()
        await asyncio.sleep(1.0)
        assert not batch.done()
        state.down = False
        await batch
        assert list(state.topics[Topic.JOBS].newest) == ["j/accepted"]

    run(scenario())


@pytest.mark.parametrize("records", [[], [Record("j/next", b"job")]])
def test_what_waits_for_a_first_batch_that_is_fenced_ends(records: list[Record]) -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        committer = Committer(EmulatedStore(state, "m"), 1, random.Random(2))
        await committer.open()
        await Committer(EmulatedStore(state, "later"), 2, random.Random(3)).open()
        first = asyncio.create_task(committer.append([Record("j/accepted", b"job")]))
        await asyncio.sleep(0.0)
        second = asyncio.create_task(committer.append(records))
        with pytest.raises(LostLeadership):
            await first
        with pytest.raises(AppendAbandoned):
            await asyncio.wait_for(second, 1.0)
        assert committer.in_flight == 0

    run(scenario())
