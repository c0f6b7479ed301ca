"""Incarnations of a worker are distinguished by their start; calls to it carry its id alone."""

import asyncio
import json
from collections.abc import Mapping
from typing import Any

import pytest
from tornado import httputil

from sablemount.adapters.upstream import Response
from sablemount.control.ports import HoldCall
from sablemount.jobs.actions import LaterIncarnation, VmReport
from sablemount.jobs.records import Record
from sablemount.platform.directory import PlatformDirectory
from sablemount.platform.lives import incarnation_name, is_valid_id, worker_id_of
from sablemount.platform.workers import PlatformAdvice, PlatformWorkers
from tests.platform.test_foreign_entries import ENTRY

BORN = 1_789_070_305_840
INCARNATION = f"i-1/{BORN}"


class _FixedResponsePool:
    """Answers all calls with one reply and records their headers and bodies."""

    def __init__(self, answer: dict[str, Any]) -> None:
        self._reply = answer
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
    ) -> Response:
        self.headers.append(headers)
        self.bodies.append(json.loads(body))
        return Response(200, httputil.HTTPHeaders(), json.dumps(self._reply).encode())


def _hold(incarnation: str, **reply_fields: object) -> tuple[object, _FixedResponsePool]:
    pool = _FixedResponsePool({"clockMs": 5, "running": [], "ended": [], **reply_fields})
    call = HoldCall(incarnation, "10.0.0.1:1", 1, 0, 0, 0.0)
    result = asyncio.run(PlatformWorkers(pool).hold(call, 1.0))  # type: ignore[arg-type]
    return result, pool


def test_an_entry_names_the_incarnation_and_the_id_of_its_worker() -> None:
    info = PlatformDirectory().vm(Record("i-1", json.dumps({**ENTRY, "born": BORN}).encode()))
    assert info is not None
    assert (info.name, info.entry_key, info.born) == (INCARNATION, "i-1", BORN)
    without = PlatformDirectory().vm(Record("i-1", json.dumps(ENTRY).encode()))
    assert without is not None
    assert (without.name, without.entry_key, without.born) == ("i-1", "i-1", 0)


@pytest.mark.parametrize("born", [-1, 1.5, "1", None])
def test_an_entry_whose_start_is_no_whole_number_names_no_vm(born: object) -> None:
    entry = json.dumps({**ENTRY, "born": born}).encode()
    assert PlatformDirectory().vm(Record("i-1", entry)) is None


def test_a_worker_is_called_by_its_id() -> None:
    result, pool = _hold(INCARNATION, born=BORN)
    assert isinstance(result, VmReport)
    assert result.vm == INCARNATION
    assert pool.headers[0]["Expect-Instance"] == "i-1"


def test_a_report_of_another_incarnation_is_not_attributed_to_the_called_one() -> None:
    result, _ = _hold(INCARNATION, born=BORN + 1)
    assert result == LaterIncarnation(f"i-1/{BORN + 1}", BORN + 1)
    result, _ = _hold("i-1", born=BORN)
    assert result == LaterIncarnation(INCARNATION, BORN)


def test_a_report_without_a_start_is_attributed_to_the_called_incarnation() -> None:
    result, _ = _hold(INCARNATION)
    assert isinstance(result, VmReport)


def test_advice_is_requested_by_ids_and_returned_by_incarnations() -> None:
    pool = _FixedResponsePool({"good": [["i-1", "ticket"], ["stranger", "x"]], "validMs": 50})
    advice = PlatformAdvice("10.0.0.1:1", pool)  # type: ignore[arg-type]
    reply = asyncio.run(advice.advise("j.0.0", [INCARNATION, f"i-2/{BORN}"], 1.0))
    assert pool.bodies[0]["workers"] == ["i-1", "i-2"]
    assert reply.good == {INCARNATION: "ticket"}


def test_the_ticket_of_a_worker_is_returned_for_each_requested_incarnation() -> None:
    """With a ticket for one of them alone, the current one would appear unsuitable for the step."""
    pool = _FixedResponsePool({"good": [["i-1", "ticket"]], "validMs": 50})
    advice = PlatformAdvice("10.0.0.1:1", pool)  # type: ignore[arg-type]
    incarnations = [f"i-1/{BORN + 1}", INCARNATION]
    reply = asyncio.run(advice.advise("j.0.0", incarnations, 1.0))
    assert pool.bodies[0]["workers"] == ["i-1"]
    assert reply.good == dict.fromkeys(incarnations, "ticket")


def test_a_name_leads_back_to_the_id() -> None:
    assert (
        worker_id_of(incarnation_name("i-1", BORN))
        == worker_id_of(incarnation_name("i-1", 0))
        == "i-1"
    )
    assert not is_valid_id("i-1/2")
