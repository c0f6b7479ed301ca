"""One case of each flow over real sockets, with daemons that are killed, suspended and stopped."""

import asyncio
import contextlib
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
from tornado import httpclient

from benchmarks.procs import DaemonCell, wait_until
from sablemount.core.config import CoreSettings
from tests.documents import ALL_DOCUMENTS, LONG
from tests.fakes.log import LogMode

CORE_SETTINGS = CoreSettings(shards=3, evict_after=4.0, promise=5.0)
Scenario = Callable[[DaemonCell], Awaitable[None]]


def run_scenario(tmp_path: Path, scenario: Scenario, **options: Any) -> DaemonCell:
    """Run a scenario against a cell of daemons and check the invariants."""

    async def run() -> DaemonCell:
        cell = DaemonCell(tmp_path, core=CORE_SETTINGS, **options)
        try:
            await cell.start_all()
            await cell.publish(ALL_DOCUMENTS)
            await scenario(cell)
        finally:
            cell.close()
        return cell

    cell = asyncio.run(run())
    assert cell.truth.violations == []
    return cell


async def post_request(
    cell: DaemonCell, name: str, body: bytes, path: str = "rueda/quote", **headers: str
) -> httpclient.HTTPResponse:
    return await cell.client.fetch(
        f"http://{cell.address(name)}/v1/requests/{path}",
        method="POST",
        body=body,
        headers=headers,
        raise_error=False,
    )


async def job_ended(cell: DaemonCell, name: str, job: str, count: int) -> bool:
    rows = await cell.call(name, "GET", f"/v1/tasks?job={job}")
    return rows is not None and sum(bool(row["verdict"]) for row in rows) == count


def test_a_killed_scheduler_loses_no_accepted_task(tmp_path: Path) -> None:
    async def scenario(cell: DaemonCell) -> None:
        body = {"template": "rueda/plan", "job": "plans", "count": 9}
        assert (await cell.call("s0", "POST", "/v1/jobs", body))["count"] == 9
        cell.signal("s0", signal.SIGKILL)
        await wait_until(lambda: job_ended(cell, "s1", "plans", 9), 60.0)
        await wait_until(lambda: job_ended(cell, "s2", "plans", 9))
        rows = await cell.call("s2", "GET", "/v1/tasks?job=plans")
        assert {row["verdict"] for row in rows} == {"DONE"}

    run_scenario(tmp_path, scenario)


def test_a_frozen_scheduler_wakes_without_harm(tmp_path: Path) -> None:
    async def scenario(cell: DaemonCell) -> None:
        body = {"template": "yard/wide", "job": "wides", "count": 9}
        await cell.call("s0", "POST", "/v1/jobs", body)
        await asyncio.sleep(1.0)
        cell.signal("s0", signal.SIGSTOP)
        await asyncio.sleep(6.0)
        cell.signal("s0", signal.SIGCONT)
        await wait_until(lambda: job_ended(cell, "s1", "wides", 9), 60.0)
        await wait_until(cell.settled)

    run_scenario(tmp_path, scenario)


def test_a_planned_stop_cuts_nothing_off(tmp_path: Path) -> None:
    async def scenario(cell: DaemonCell) -> None:
        calls = [post_request(cell, "s0", b"%d" % index) for index in range(20)]
        pending = [asyncio.ensure_future(call) for call in calls]

        async def all_started() -> bool:
            return sum(len(server.worker.requests) for server in cell.workers) == len(calls)

        # A request that arrives after the signal may be refused, which cuts nothing off.
        await wait_until(all_started)
        cell.signal("s0", signal.SIGTERM)
        answers = await asyncio.gather(*pending)
        assert [answer.body for answer in answers] == [
            b"quote for %d" % index for index in range(20)
        ]
        assert await cell.wait_stopped("s0") == 0
        await wait_until(cell.settled)

        async def member_removed() -> bool:
            members = await cell.call("s1", "GET", "/v1/members")
            return [row["name"] for row in members] == ["s1", "s2"]

        await wait_until(member_removed)

    run_scenario(tmp_path, scenario, service_time=1.0)


def test_a_second_signal_ends_at_once_and_says_so(tmp_path: Path) -> None:
    async def scenario(cell: DaemonCell) -> None:
        pending = asyncio.ensure_future(post_request(cell, "s0", b"slow"))
        await asyncio.sleep(0.2)
        cell.signal("s0", signal.SIGTERM)
        await asyncio.sleep(0.2)
        cell.signal("s0", signal.SIGTERM)
        answer = await pending
        assert answer.headers["Sablemount-Verdict"] == "MAY_HAVE_RUN"
        assert await cell.wait_stopped("s0") == 75

    run_scenario(tmp_path, scenario, service_time=3.0)


def test_an_answer_cut_short_reaches_no_caller(tmp_path: Path) -> None:
    async def scenario(cell: DaemonCell) -> None:
        for server in cell.workers:
            server.cut_short = True
        answer = await post_request(cell, "s0", b"x", **{"Deadline-Ms": "2000"})
        assert answer.code == 502
        assert answer.headers["Sablemount-Verdict"] == "MAY_HAVE_RUN"
        assert b"part" not in answer.body
        key = {"Idempotency-Key": "1.x"}
        late = await post_request(cell, "s0", b"x", "yard/stock", **key)
        assert late.headers["Sablemount-Verdict"] == "NOT_RUN"
        for server in cell.workers:
            server.cut_short = False
        assert (await post_request(cell, "s0", b"y")).body == b"quote for y"

    run_scenario(tmp_path, scenario)


def test_quotes_go_on_and_a_new_scheduler_starts_in_a_log_outage(tmp_path: Path) -> None:
    async def scenario(cell: DaemonCell) -> None:
        cell.platform.log.mode = LogMode.DOWN
        await asyncio.sleep(4.0)
        answers = [await post_request(cell, f"s{index % 3}", b"q") for index in range(12)]
        assert {answer.code for answer in answers} == {200}
        body = {"template": "rueda/plan", "job": "late", "deadline_seconds": 1.0}
        refused = await cell.call("s0", "POST", "/v1/jobs", body)
        assert refused["reason"] == "log_unavailable"
        cell.signal("s2", signal.SIGKILL)
        await cell.wait_stopped("s2")
        cell.start("s2")

        async def documents_loaded() -> bool:
            documents = await cell.call("s2", "GET", "/v1/documents", timeout=1.0)
            return documents is not None and len(documents) == len(ALL_DOCUMENTS)

        await wait_until(documents_loaded)
        cell.platform.log.mode = LogMode.UP
        await wait_until(cell.settled, 60.0)

    run_scenario(tmp_path, scenario)


def test_a_key_is_spent_although_its_first_scheduler_was_killed(tmp_path: Path) -> None:
    async def scenario(cell: DaemonCell) -> None:
        key = {"Idempotency-Key": f"{int(time.time())}.transfer-7"}
        first = asyncio.ensure_future(post_request(cell, "s0", b"t", "yard/stock", **key))
        await asyncio.sleep(1.0)
        cell.signal("s0", signal.SIGKILL)
        with contextlib.suppress(OSError, httpclient.HTTPError):
            await first
        repeated = await post_request(cell, "s1", b"t", "yard/stock", **key)
        assert repeated.headers["Sablemount-Verdict"] == "MAY_HAVE_RUN"
        assert repeated.code == 409
        assert cell.truth.executions.total() == 1

    run_scenario(tmp_path, scenario, service_time=2.0)


def test_a_publication_outlives_its_scheduler_and_beats_its_rival(tmp_path: Path) -> None:
    async def scenario(cell: DaemonCell) -> None:
        documents = [msgspec.structs.replace(LONG, expected_seconds=float(s)) for s in (7, 8)]
        bodies = [{"document": document, "expected": 1} for document in documents]
        calls = [
            cell.call(name, "PUT", "/v1/documents/rueda/long", body)
            for name, body in zip(("s0", "s1"), bodies, strict=True)
        ]
        answers = await asyncio.gather(*calls)
        (won,) = [answer for answer in answers if "revision" in answer]
        (lost,) = [answer for answer in answers if "revision" not in answer]
        assert lost["reason"] == "conflict"
        assert lost["current"]["document"] == won["document"]
        cell.signal("s0", signal.SIGKILL)
        await cell.wait_stopped("s0")
        cell.start("s0")

        async def revision_published() -> bool:
            shown = [
                await cell.call(name, "GET", "/v1/documents/rueda/long", timeout=1.0)
                for name in cell.names
            ]
            return all(row is not None and row.get("revision") == 2 for row in shown)

        await wait_until(revision_published)

    run_scenario(tmp_path, scenario)


def test_a_drain_outlives_the_owner(tmp_path: Path) -> None:
    async def scenario(cell: DaemonCell) -> None:
        vms = await cell.call("s0", "GET", "/v1/vms")
        target = next(row for row in vms if row["owner"])
        other = next(name for name in cell.names if name != target["owner"])
        path = f"/v1/vms/{target['vm']}/drain"
        assert (await cell.call(other, "POST", path, {"drain": True}))["drain"] is True
        server = next(s for s in cell.workers if s.facts.vm == target["vm"])
        server.worker.left_at = time.monotonic()
        await asyncio.sleep(3.1)
        cell.signal(target["owner"], signal.SIGKILL)
        body = {"template": "rueda/plan", "job": "plans", "count": 12}
        assert (await cell.call(other, "POST", "/v1/jobs", body))["count"] == 12
        await wait_until(lambda: job_ended(cell, other, "plans", 12), 60.0)

    run_scenario(tmp_path, scenario)


def test_urgent_work_starts_while_another_owner_is_frozen(tmp_path: Path) -> None:
    async def scenario(cell: DaemonCell) -> None:
        body = {"template": "yard/wide", "job": "wides", "count": 6}
        await cell.call("s0", "POST", "/v1/jobs", body)
        await asyncio.sleep(1.5)
        cell.signal("s2", signal.SIGSTOP)
        urgent = {"template": "rueda/rush", "job": "rush"}
        assert (await cell.call("s0", "POST", "/v1/jobs", urgent))["job"] == "rush"
        await wait_until(lambda: job_ended(cell, "s0", "rush", 1), 30.0)
        cell.signal("s2", signal.SIGCONT)
        await wait_until(lambda: job_ended(cell, "s0", "wides", 6), 60.0)

    run_scenario(tmp_path, scenario)
