"""A first batch that is late or lost must be stored before it counts as complete.

A leader opens its epoch with an append without records, and the store lets an epoch's records begin
at any sequence number. If batch 1 arrives before batch 0, the store takes it as the beginning and
refuses batch 0 permanently (after an empty append of epoch 1, it answers numbers 1 and 0 with
``{"offset":0,"end":1}`` and ``409 {"reason":"seq","seq":2}``). A leader that takes this refusal, or
the answer to batch 1, as a sign that batch 0 was carried out reports jobs as accepted and has VMs
drop completions though neither is stored: the next leader answers 410 for these jobs and starts
completed tasks again. The leader's log then shows batch 0 settled by the number expected next:

    {"message":"append settled","epoch":2,"sequence":0,"tries":2,"seconds":0.068,
     "by":"the number that the store wants next"}
"""

import asyncio
import random

from sablemount.control.commit import Committer
from sablemount.control.store import AppendResult, Topic, Unavailable
from sablemount.jobs.records import Record
from tests.emulator.loop import run
from tests.emulator.store import EmulatedStore, StoreState
from tests.jobs.stores import InterceptingStore

ACCEPTED = Record("j/accepted", b"job")
NEXT = Record("j/next", b"job")


class _LateFirstStore(InterceptingStore):
    """Delays or loses the first append that contains a given record."""

    def __init__(self, state: StoreState, delayed: Record, lost: bool) -> None:
        super().__init__(state, "m")
        self._delayed: Record | None = delayed
        self._lost = lost

    async def arranged(self, records: list[Record], timeout: float) -> AppendResult | None:
        if self._delayed in records:
            self._delayed = None
            await asyncio.sleep(0.12)
            if self._lost:
                return Unavailable("connection lost")
        return None


async def _append_both(epoch: int, lost: bool) -> StoreState:
    """Append two batches, the first of them late; return the store once both are complete."""
    state = StoreState(random.Random(1))
    previous = Committer(EmulatedStore(state, "former"), 1, random.Random(2))
    await previous.open()
    await previous.append([Record("j/former", b"job")])
    committer = Committer(_LateFirstStore(state, ACCEPTED, lost), epoch, random.Random(3))
    await committer.open()
    first = asyncio.create_task(committer.append([ACCEPTED]))
    await asyncio.sleep(0.055)
    second = asyncio.create_task(committer.append([NEXT]))
    await asyncio.wait_for(asyncio.gather(first, second), 10.0)
    await asyncio.sleep(5.0)
    return state


def _stored_keys(state: StoreState) -> list[str]:
    stored = [record.key for record in state.topics[Topic.JOBS].records]
    return [key for key in stored if key.startswith("j/")]


def test_a_first_batch_that_comes_late_is_in_the_store_once_it_counts_as_done() -> None:
    state = run(_append_both(epoch=2, lost=False))
    assert _stored_keys(state) == ["j/former", "j/accepted", "j/next"]


def test_a_first_batch_that_was_lost_is_in_the_store_once_it_counts_as_done() -> None:
    state = run(_append_both(epoch=2, lost=True))
    assert _stored_keys(state) == ["j/former", "j/accepted", "j/next"]
