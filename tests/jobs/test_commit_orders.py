"""Completed appends are stored once and in order, whatever the order in which calls arrive.

Successive leaders write to a store whose calls overtake one another: each has its own latency, some
are lost, some lose only their answer, and some are carried out seconds later. Some leaders are
cancelled midway.
"""

import asyncio
import random

import pytest

from sablemount.control.commit import Committer, LostLeadership
from sablemount.control.store import AppendResult, Producer, Topic, Unavailable
from sablemount.jobs.records import Record
from tests.emulator.loop import run
from tests.emulator.store import EmulatedStore, StoreState

LEADERS = 5
BATCHES = 14


class _UnorderedStore(EmulatedStore):
    """A store whose calls have varying latency; some are lost or carried out late."""

    def __init__(self, state: StoreState, rng: random.Random) -> None:
        super().__init__(state, "m")
        self._rng = rng
        self._state = state

    async def append(
        self,
        topic: Topic,
        records: list[Record],
        timeout: float,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendResult:
        chance = self._rng.random()
        if chance < 0.15:
            await asyncio.sleep(timeout)
            return Unavailable("request lost")
        loop = asyncio.get_running_loop()
        if chance < 0.3:
            delay = self._rng.uniform(0.5, 8.0)
            loop.call_later(delay, self._state.append, topic, records, producer, at)
            await asyncio.sleep(timeout)
            return Unavailable("request carried out late")
        answer: asyncio.Future[AppendResult] = loop.create_future()

        def carry_out() -> None:
            result = self._state.append(topic, records, producer, at)
            if not answer.done():
                answer.set_result(result)

        # The append is carried out even if its caller has timed out by then.
        loop.call_later(self._rng.choice((0.002, 0.004, 0.08, 0.25)), carry_out)
        result = await answer
        if chance < 0.4:
            await asyncio.sleep(timeout)
            return Unavailable("answer lost")
        await asyncio.sleep(self._rng.choice((0.002, 0.1)))
        return result


async def _run_leader(
    committer: Committer, epoch: int, rng: random.Random, done: dict[str, None]
) -> None:
    async def append_batch(number: int) -> None:
        key = f"{epoch}.{number:03d}"
        await committer.append([Record(key, b"value")])
        done[key] = None

    try:
        await committer.open()
        # A failure cancels the whole group, as fencing ends a leader.
        async with asyncio.TaskGroup() as group:
            for number in range(BATCHES):
                empty = rng.random() < 0.2
                group.create_task(committer.append([]) if empty else append_batch(number))
                while committer.in_flight >= 2:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(rng.choice((0.0, 0.015, 0.06)))
    except* LostLeadership:
        pass


@pytest.mark.parametrize("seed", range(60))
def test_what_counts_as_done_is_in_the_store(seed: int) -> None:
    async def scenario() -> None:
        rng = random.Random(seed)
        state = StoreState(random.Random(seed + 1))
        done: dict[str, None] = {}
        leaders = []
        for epoch in range(1, LEADERS + 1):
            committer = Committer(_UnorderedStore(state, rng), epoch, random.Random(seed + epoch))
            leaders.append(asyncio.create_task(_run_leader(committer, epoch, rng, done)))
            # The previous leader continues for a while and is then fenced or cancelled.
            await asyncio.sleep(rng.uniform(0.3, 4.0))
            if epoch < LEADERS and rng.random() < 0.5:
                leaders[-1].cancel()
        results = await asyncio.wait_for(asyncio.gather(*leaders, return_exceptions=True), 300.0)
        expected = (type(None), asyncio.CancelledError)
        assert all(isinstance(result, expected) for result in results)
        await asyncio.sleep(10.0)
        stored = [record.key for record in state.topics[Topic.JOBS].records]
        assert stored == sorted(set(stored))
        assert [key for key in done if key not in stored] == []
        assert done

    run(scenario())
