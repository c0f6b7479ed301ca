"""Who waits for a batch and gives up does not make it count as done.

An append without records waits until what is in flight is in the store. If its wait alone is given
up, the batch that it waited for is still on its way: it must go on until the store has it.
"""

import asyncio
import random

from sablemount.control.commit import Committer
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
        waiting = asyncio.create_task(committer.append([]))
        await asyncio.sleep(0.05)
        waiting.cancel()
        await asyncio.sleep(1.0)
        assert not batch.done()
        state.down = False
        await batch
        assert list(state.topics[Topic.JOBS].newest) == ["j/accepted"]

    run(scenario())
