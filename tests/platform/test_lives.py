"""The start of a worker tells its lives apart; what is said to it names its id alone."""

import asyncio
import json
from collections.abc import Mapping
from typing import Any

import pytest
from tornado import httputil

from sablemount.adapters.upstream import Answer
from sablemount.control.ports import HoldCall
from sablemount.jobs.actions import LaterIncarnation, VmReport
from sablemount.jobs.records import Record
from sablemount.platform.directory import PlatformDirectory
from sablemount.platform.lives import entry_of, is_plain, life_name
from sablemount.platform.workers import PlatformAdvice, PlatformWorkers
from tests.platform.test_foreign_entries import ENTRY

BORN = 1_789_070_305_840
LIFE = f"i-1/{BORN}"


class _Canned:
    """Answers each call alike and keeps what it was asked."""

    def __init__(self, answer: dict[str, Any]) -> None:
        self._answer = answer
        self.headers: list[Mapping[str, str]] = []
        self.bodies: list[dict[str, Any]] = []

    async def fetch(
        self,
        address: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout: float,
        waits: float = 0.0,
    ) -> Answer:
        self.headers.append(headers)
        self.bodies.append(json.loads(body))
        return Answer(200, httputil.HTTPHeaders(), json.dumps(self._answer).encode())


def _hold(life: str, **told: object) -> tuple[object, _Canned]:
    pool = _Canned({"clockMs": 5, "running": [], "ended": [], **told})
    call = HoldCall(life, "10.0.0.1:1", 1, 0, 0, 0.0)
    result = asyncio.run(PlatformWorkers(pool).hold(call, 1.0))  # type: ignore[arg-type]
    return result, pool


def test_an_entry_names_the_life_and_the_id_that_it_shares() -> None:
    told = PlatformDirectory().vm(Record("i-1", json.dumps({**ENTRY, "born": BORN}).encode()))
    assert told is not None
    assert (told.name, told.entry_key, told.born) == (LIFE, "i-1", BORN)
    without = PlatformDirectory().vm(Record("i-1", json.dumps(ENTRY).encode()))
    assert without is not None
    assert (without.name, without.entry_key, without.born) == ("i-1", "i-1", 0)


@pytest.mark.parametrize("born", [-1, 1.5, "1", None])
def test_an_entry_whose_start_is_no_whole_number_names_no_vm(born: object) -> None:
    told = json.dumps({**ENTRY, "born": born}).encode()
    assert PlatformDirectory().vm(Record("i-1", told)) is None


def test_a_worker_is_called_by_its_id() -> None:
    result, pool = _hold(LIFE, born=BORN)
    assert isinstance(result, VmReport)
    assert result.vm == LIFE
    assert pool.headers[0]["Expect-Instance"] == "i-1"


def test_the_word_of_another_life_is_not_taken_for_that_of_the_one_that_was_called() -> None:
    result, _ = _hold(LIFE, born=BORN + 1)
    assert result == LaterIncarnation(f"i-1/{BORN + 1}", BORN + 1)
    result, _ = _hold("i-1", born=BORN)
    assert result == LaterIncarnation(LIFE, BORN)


def test_a_word_that_tells_no_start_is_of_the_life_that_was_called() -> None:
    result, _ = _hold(LIFE)
    assert isinstance(result, VmReport)


def test_advice_is_asked_by_ids_and_told_by_lives() -> None:
    pool = _Canned({"good": [["i-1", "ticket"], ["stranger", "x"]], "validMs": 50})
    advice = PlatformAdvice("10.0.0.1:1", pool)  # type: ignore[arg-type]
    reply = asyncio.run(advice.advise("j.0.0", [LIFE, f"i-2/{BORN}"], 1.0))
    assert pool.bodies[0]["workers"] == ["i-1", "i-2"]
    assert reply.good == {LIFE: "ticket"}


def test_the_ticket_of_a_worker_is_told_for_each_life_that_was_asked_for() -> None:
    """Told for one alone, the step took the present life for one that may not run it."""
    pool = _Canned({"good": [["i-1", "ticket"]], "validMs": 50})
    advice = PlatformAdvice("10.0.0.1:1", pool)  # type: ignore[arg-type]
    lives = [f"i-1/{BORN + 1}", LIFE]
    reply = asyncio.run(advice.advise("j.0.0", lives, 1.0))
    assert pool.bodies[0]["workers"] == ["i-1"]
    assert reply.good == dict.fromkeys(lives, "ticket")


def test_a_name_leads_back_to_the_id() -> None:
    assert entry_of(life_name("i-1", BORN)) == entry_of(life_name("i-1", 0)) == "i-1"
    assert not is_plain("i-1/2")
