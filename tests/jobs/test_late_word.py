"""A late confirmation by the store must not give a leader more time than its successor waits for.

An answer shows who led when the store carried the call out, possibly as soon as it was sent. If it
counts from its arrival, up to 2 s later, requests go on for 1.5 s from then: a previous leader
could extend leases for 3.5 s after the start of the next one, which waits for 2.5 s.
"""

import asyncio
import random

from sablemount.control.authority import AUTHORITY_VALIDITY_S
from sablemount.control.clock import monotonic
from sablemount.control.commit import Committer
from sablemount.control.store import AppendResult, Producer, Topic
from sablemount.jobs.records import Record
from sablemount.jobs.settings import JobSettings
from tests.emulator.loop import run
from tests.emulator.store import EmulatedStore, StoreState

ANSWER_DELAY_S = 1.9


class _LateAnswers(EmulatedStore):
    """Carries appends out at once, and answers after some seconds."""

    answer_delay = 0.0

    async def append(
        self,
        topic: Topic,
        records: list[Record],
        timeout: float,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendResult:
        result = await super().append(topic, records, timeout, producer, at)
        await asyncio.sleep(self.answer_delay)
        return result


def test_orders_end_before_a_new_leader_takes_them_for_over() -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        store = _LateAnswers(state, "m")
        previous = Committer(store, 1, random.Random(2))
        await previous.open()
        store.answer_delay = ANSWER_DELAY_S
        confirming = asyncio.create_task(previous.confirm())
        await asyncio.sleep(0.01)
        await Committer(EmulatedStore(state, "later"), 2, random.Random(3)).open()
        began = monotonic()
        await confirming
        requests_end = previous.confirmed_at + AUTHORITY_VALIDITY_S
        assert requests_end <= began + JobSettings().takeover_margin_s

    run(scenario())


def test_an_answer_in_time_counts_from_when_it_came() -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        committer = Committer(EmulatedStore(state, "m"), 1, random.Random(2))
        state.latency_s = 0.4
        await committer.open()
        assert monotonic() - committer.confirmed_at < 0.01

    run(scenario())
