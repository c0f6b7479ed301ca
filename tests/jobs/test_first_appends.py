"""A leader's first batch was lost on its way to the store, and it went on as if it were there.

A leader sets its epoch by an append without records. The store lets the records of a new epoch
begin at any sequence number, so that an epoch that was only set has no first number yet. When the
batch with number 0 was late and the one with number 1 came first, the store took that as the
beginning and refused the other for good. The leader read this refusal, like the answer to the later
batch, as a sign that number 0 had been carried out before: it told callers that their jobs were
accepted, and had VMs forget the ends that it had noted. Neither was in the store, so that the next
leader answered 410 for these jobs, and started tasks again that were done.

What settled it is this line of a leader 0.06 s after it had begun to lead, in the middle of writes
that were lost. Asked directly, the store answered numbers 1 and 0 after an empty append of epoch 1
with ``{"offset":0,"end":1}`` and ``409 {"reason":"seq","seq":2}``.

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
from tests.jobs.stores import ArrangedStore

ACCEPTED = Record("j/accepted", b"job")
NEXT = Record("j/next", b"job")


class _LateFirst(ArrangedStore):
    """Holds back the first append that bears one record, or has it go lost on its way."""

    def __init__(self, state: StoreState, held: Record, lost: bool) -> None:
        super().__init__(state, "m")
        self._held: Record | None = held
        self._lost = lost

    async def arranged(self, records: list[Record], timeout: float) -> AppendResult | None:
        if self._held in records:
            self._held = None
            await asyncio.sleep(0.12)
            if self._lost:
                return Unavailable("the connection was lost")
        return None


async def _both_appended(epoch: int, lost: bool) -> StoreState:
    """Append two batches together, of which the first is late; return once both count as done."""
    state = StoreState(random.Random(1))
    former = Committer(EmulatedStore(state, "former"), 1, random.Random(2))
    await former.open()
    await former.append([Record("j/former", b"job")])
    committer = Committer(_LateFirst(state, ACCEPTED, lost), epoch, random.Random(3))
    await committer.open()
    first = asyncio.create_task(committer.append([ACCEPTED]))
    await asyncio.sleep(0.055)
    second = asyncio.create_task(committer.append([NEXT]))
    await asyncio.wait_for(asyncio.gather(first, second), 10.0)
    await asyncio.sleep(5.0)
    return state


def _order(state: StoreState) -> list[str]:
    kept = [record.key for record in state.topics[Topic.JOBS].records]
    return [key for key in kept if key.startswith("j/")]


def test_a_first_batch_that_comes_late_is_in_the_store_once_it_counts_as_done() -> None:
    state = run(_both_appended(epoch=2, lost=False))
    assert _order(state) == ["j/former", "j/accepted", "j/next"]


def test_a_first_batch_that_was_lost_is_in_the_store_once_it_counts_as_done() -> None:
    state = run(_both_appended(epoch=2, lost=True))
    assert _order(state) == ["j/former", "j/accepted", "j/next"]
