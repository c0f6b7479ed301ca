"""Calls to the store are counted by topic and outcome, with a bounded number of labels."""

import random

import pytest

from sablemount.control.counted_store import CountedStore
from sablemount.control.figures import Metrics
from sablemount.control.progress import TransferProgress
from sablemount.control.store import Page, Topic, Unavailable
from tests.emulator.loop import run
from tests.emulator.store import EmulatedStore, StoreState


class _FailingStore(EmulatedStore):
    def __init__(self, reason: str) -> None:
        super().__init__(StoreState(random.Random(1)), "m")
        self._reason = reason

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        return Unavailable(self._reason)


@pytest.mark.parametrize(
    ("reason", "label"),
    [("status 503", "status 503"), ("undecodable: byte 17 is no text", "undecodable")],
)
def test_a_call_without_an_answer_is_counted_by_its_kind(reason: str, label: str) -> None:
    async def scenario() -> None:
        metrics = Metrics()
        await CountedStore(_FailingStore(reason), metrics).newest(Topic.JOBS, "", 1.0)
        assert metrics.counters == {("store_page_jobs", label): 1}

    run(scenario())
