"""Processes of the product over real sockets, against the stand-in for the platform."""

import asyncio
import json
import logging
import os
from collections.abc import Awaitable, Callable

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError
from tornado.testing import bind_unused_port

from sablemount.platform.front import decode_job
from sablemount.platform.main import Process
from sablemount.platform.settings import BootSettings, Bounds, Listen, Service
from tests.platform.standin import HOST, PREFIX, Standin

JOB = {"spec": "payload", "steps": [{"count": 2, "cpu": 500}, {"count": 1, "dependsOn": [0]}]}
TIMEOUT_S = 30.0


HOST_ADDRESS = f"127.{1 + os.getpid() % 250}.0.1"
"""Address on which the processes listen. Outgoing connections take free ports of 127.0.0.1, so that
a port of another loopback address stays free between its choice and its use."""


_used_ports: set[int] = set()
"""Ports chosen before: one that is free again would otherwise be chosen twice."""


def _free_port() -> int:
    while True:
        socket, port = bind_unused_port(address=HOST_ADDRESS)
        socket.close()
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class ProcessPair:
    """Two processes and a client that calls them."""

    def __init__(self) -> None:
        self.standin = Standin()
        self.processes = [Process(self._boot(name), _free_port()) for name in ("one", "two")]
        self.running: list[asyncio.Task[int]] = []
        self._client = AsyncHTTPClient()

    def _boot(self, name: str) -> BootSettings:
        listen = Listen(f"{HOST_ADDRESS}:{_free_port()}", f"{HOST_ADDRESS}:{_free_port()}")
        ports = (_free_port(), _free_port())
        store = Service(self.standin.store_address)
        return BootSettings(
            name, HOST_ADDRESS, listen, ports, store, self.standin.advice_address, Bounds()
        )

    async def start(self) -> None:
        self.standin.configure(3)
        for rack in ("r1", "r2"):
            self.standin.add_worker(rack)
        self.running = [asyncio.create_task(process.run()) for process in self.processes]
        await self.until(lambda: self.all_ready())

    async def call(
        self, number: int, method: str, path: str, body: object = None, key: str = ""
    ) -> HTTPResponse:
        address = self.processes[number].boot.listen.front
        return await self._client.fetch(
            f"http://{address}{path}",
            method=method,
            body=None if body is None else json.dumps(body),
            headers={"Host": HOST} | ({"Authorization": f"Bearer {key}"} if key else {}),
            raise_error=False,
        )

    async def all_ready(self) -> bool:
        for process in self.processes:
            url = f"http://{process.boot.listen.ready}/api/readyz"
            try:
                response = await self._client.fetch(url, raise_error=False)
            except (OSError, HTTPStreamClosedError):
                # The process does not listen yet.
                return False
            if response.code != 200:
                return False
        return True

    async def metrics(self, number: int) -> str:
        url = f"http://{HOST_ADDRESS}:{self.processes[number].metrics_port}/metrics"
        return (await self._client.fetch(url)).body.decode()

    async def state(self, number: int, job: str) -> str:
        response = await self.call(number, "GET", PREFIX + job)
        return str(json.loads(response.body).get("state", response.code))

    async def until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(0.05)


def run_scenario(scenario: Callable[[ProcessPair], Awaitable[None]]) -> None:
    async def run() -> None:
        pair = ProcessPair()
        await pair.start()
        try:
            await scenario(pair)
        finally:
            for process in pair.processes:
                process.request_stop()
            codes = await asyncio.gather(*pair.running)
            pair.standin.close()
        assert codes == [0, 0]

    asyncio.run(run())


def test_a_job_is_accepted_run_and_told_by_any_process() -> None:
    async def scenario(pair: ProcessPair) -> None:
        job = "5c0e7a21d94b36f8"
        pair.standin.cell.jobs[job] = decode_job(json.dumps(JOB).encode())
        assert (await pair.call(0, "POST", PREFIX + job, JOB)).code == 200
        assert (await pair.call(1, "POST", PREFIX + job, JOB)).code == 200

        async def done() -> bool:
            return await pair.state(1, job) == "succeeded"

        await pair.until(done)
        assert await pair.state(0, job) == "succeeded"
        assert pair.standin.cell.violations == []
        metrics = [await pair.metrics(number) for number in (0, 1)]
        assert all(
            'sablemount_events_total{event="request",label="done"}' in text for text in metrics
        )
        assert any('event="end",label="done"} 3' in text for text in metrics)
        assert sorted(pair.standin.cell.starts) == [f"{job}.0.0.0", f"{job}.0.0.1", f"{job}.0.1.0"]

    run_scenario(scenario)


def test_what_is_unknown_or_malformed_is_refused_at_once() -> None:
    async def scenario(pair: ProcessPair) -> None:
        assert (await pair.call(0, "GET", PREFIX + "00000000000000aa")).code == 410
        assert (await pair.call(1, "GET", "/nowhere/1")).code == 404
        assert (await pair.call(1, "DELETE", PREFIX + "00000000000000aa")).code == 410
        waiting = await pair.call(1, "GET", PREFIX)
        assert json.loads(waiting.body) == {"waiting": 0}
        bad = {"spec": "x", "steps": [{"count": 1}, {"count": 1, "dependsOn": [4]}]}
        refused = await pair.call(0, "POST", PREFIX + "00000000000000ab", bad)
        assert refused.code == 400
        assert json.loads(refused.body)["path"] == "$.steps[1].dependsOn"
        mistyped = await pair.call(
            0, "POST", PREFIX + "ac", {"spec": "x", "steps": [{"count": "1"}]}
        )
        assert mistyped.code == 400
        assert json.loads(mistyped.body)["path"] == "$.steps[0].count"

    run_scenario(scenario)


def test_lines_tell_which_leader_accepted_a_job_and_which_does_not_know_one(
    caplog: pytest.LogCaptureFixture,
) -> None:
    logging.getLogger("sablemount").propagate = True
    caplog.set_level(logging.INFO, "sablemount")

    async def scenario(pair: ProcessPair) -> None:
        pair.standin.cell.jobs["00000000000000ad"] = decode_job(json.dumps(JOB).encode())
        for _ in range(2):
            assert (await pair.call(0, "POST", PREFIX + "00000000000000ad", JOB)).code == 200
        assert (await pair.call(1, "GET", PREFIX + "00000000000000aa")).code == 410

    run_scenario(scenario)
    lines = {(line.msg, line.__dict__.get("status")): line.__dict__ for line in caplog.records}
    leading, accepted = lines["leading", None], lines["job accepted", None]
    refused = lines["refused", 410]
    known = lines["job known", None]
    assert (leading["epoch"], leading["end"]) == (1, 0)
    assert (accepted["job"], accepted["epoch"]) == ("00000000000000ad", 1)
    assert (known["job"], known["epoch"]) == ("00000000000000ad", 1)
    assert (refused["request"], refused["why"]) == ("00000000000000aa", "no such job")
    assert refused["epoch"] == 1


def test_a_cancelled_job_is_told_so_and_stops() -> None:
    async def scenario(pair: ProcessPair) -> None:
        pair.standin.cell.mean_task_seconds = 60.0
        job = "00000000000000ca"
        pair.standin.cell.jobs[job] = decode_job(json.dumps(JOB).encode())
        await pair.call(0, "POST", PREFIX + job, JOB)

        async def runs() -> bool:
            return any(worker.runs for worker in pair.standin.cell.vms.values())

        async def stopped() -> bool:
            return not await runs()

        await pair.until(runs)
        assert (await pair.call(1, "DELETE", PREFIX + job)).code == 200
        assert await pair.state(0, job) == "cancelled"
        await pair.until(stopped)

    run_scenario(scenario)


def test_best_effort_runs_are_throttled_beside_latency_sensitive_ones() -> None:
    async def scenario(pair: ProcessPair) -> None:
        pair.standin.cell.mean_task_seconds = 60.0
        latency_sensitive = {"count": 2, "cpu": 500, "memMb": 10, "daemon": True, "targetMs": 100}
        best_effort = {"count": 2, "cpu": 500, "memMb": 10, "daemon": True, "fills": True}
        for job, step in (
            ("00000000000000c1", latency_sensitive),
            ("00000000000000c2", best_effort),
        ):
            body = {"spec": "payload", "steps": [step]}
            pair.standin.cell.jobs[job] = decode_job(json.dumps(body).encode())
            assert (await pair.call(0, "POST", PREFIX + job, body)).code == 200
        pair.standin.tail_latency_ms["00000000000000c1"] = 130.0

        async def throttled() -> bool:
            return 0 in pair.standin.throttle_percent.values()

        await pair.until(throttled)
        pair.standin.tail_latency_ms["00000000000000c1"] = 20.0

        async def restored() -> bool:
            return any(percent >= 10 for percent in pair.standin.throttle_percent.values())

        await pair.until(restored)
        assert all(task.startswith("00000000000000c2") for task in pair.standin.throttle_percent)

    run_scenario(scenario)


def test_without_the_store_new_jobs_are_refused_with_a_time_to_come_back() -> None:
    async def scenario(pair: ProcessPair) -> None:
        pair.standin.store.down = True
        jobs = [f"{number:016x}" for number in range(200)]
        for job in jobs:
            pair.standin.cell.jobs[job] = decode_job(json.dumps(JOB).encode())
        submitted: list[str] = []

        async def refused() -> bool:
            # A job whose acceptance is uncertain stays so; each attempt submits another one.
            submitted.append(jobs[len(submitted)])
            response = await pair.call(0, "POST", PREFIX + submitted[-1], JOB)
            assert response.code in (503, 504)
            return response.code == 503 and "Retry-After" in response.headers

        await pair.until(refused)
        pair.standin.store.down = False

        async def accepted() -> bool:
            return (await pair.call(1, "POST", PREFIX + submitted[-1], JOB)).code == 200

        await pair.until(accepted)

    run_scenario(scenario)


@pytest.mark.parametrize("prefix", ["/dropped/"])
def test_a_new_configuration_is_in_force(prefix: str) -> None:
    async def scenario(pair: ProcessPair) -> None:
        pair.standin.configure(9, pathPrefix=prefix)

        async def moved() -> bool:
            return (await pair.call(1, "GET", prefix)).code == 200

        await pair.until(moved)
        assert (await pair.call(0, "GET", PREFIX)).code == 404

    run_scenario(scenario)
