"""The progress of a load, and what is logged of it."""

import asyncio
import logging
import random

import pytest

from sablemount.control.commit import Committer
from sablemount.control.figures import Metrics
from sablemount.control.load import Load, LoadProgress, LoadStore
from sablemount.control.preload import Preload
from sablemount.control.store import Topic
from sablemount.jobs.records import Record
from tests.emulator.loop import run
from tests.emulator.store import EmulatedStore, StoreState

KEYS = 1_200
"""They fill three pages."""
UNREADABLE_KEY = "k0900"
"""A key on the second page."""


def _store_with_pages() -> StoreState:
    state = StoreState(random.Random(1))
    keys = [Record(f"k{number:04d}", b"12345") for number in range(KEYS)]
    state.topics[Topic.JOBS].add(keys)
    return state


def test_what_is_read_again_is_no_progress() -> None:
    progress = LoadProgress()
    progress.start_attempt()
    progress.on_complete_answer(10)
    progress.on_complete_answer(10)
    for _ in range(3):
        progress.start_attempt()
        progress.on_complete_answer(10)
        progress.on_partial_answer(9)
        assert progress.high_water_bytes == 20
    progress.on_partial_answer(11)
    assert progress.high_water_bytes == 21


def test_a_part_of_an_answer_counts_once() -> None:
    progress = LoadProgress()
    progress.on_partial_answer(4)
    progress.on_partial_answer(3)
    assert progress.high_water_bytes == 4
    progress.on_complete_answer(5)
    assert progress.high_water_bytes == 5
    progress.on_partial_answer(1)
    assert progress.high_water_bytes == 6


def test_a_leadership_begins_with_what_was_read_of_late() -> None:
    progress = LoadProgress()
    progress.on_complete_answer(100)
    progress.start_attempt()
    progress.on_complete_answer(10)
    progress.start_leadership()
    assert progress.high_water_bytes == 10


def test_pages_read_before_and_after_the_claim_are_progress() -> None:
    async def scenario() -> None:
        state = _store_with_pages()
        state.latency_s = 0.1
        progress = LoadProgress()
        preload = Preload(LoadStore(EmulatedStore(state, "m"), progress))
        preload.start()
        await asyncio.sleep(0.15)
        progress.start_leadership()
        before = progress.high_water_bytes
        assert before > 0
        committer = Committer(EmulatedStore(state, "m"), 1, random.Random(3))
        load = Load(1, EmulatedStore(state, "m"), progress, Metrics())
        records = await load.run(committer, preload.take())
        assert len(records) == KEYS
        assert progress.high_water_bytes > before

    run(scenario())


def test_a_load_tells_its_tries_and_its_length(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        state = _store_with_pages()
        state.jobs_unread_after["m"] = UNREADABLE_KEY
        store = EmulatedStore(state, "m")
        figures = Metrics()
        load = Load(7, store, LoadProgress(), figures)
        asyncio.get_running_loop().call_later(6.0, state.jobs_unread_after.clear)
        await load.run(Committer(store, 7, random.Random(3)), None)
        assert figures.cumulative("load")[-1] == 1

    with caplog.at_level(logging.INFO, "sablemount.control.leader"):
        run(scenario())
    logged = {record.getMessage(): record.__dict__ for record in caplog.records}
    assert list(logged) == ["load started", "epoch set", "load failed", "loaded"]
    assert logged["load failed"]["why"] == "no answer"
    assert 0 < logged["load failed"]["bytes"] < KEYS * 10
    assert (logged["loaded"]["tries"], logged["loaded"]["records"]) == (2, KEYS)
    assert logged["loaded"]["bytes"] == KEYS * 10
