"""Soak test: daemon processes under load for two minutes, with kills, pauses, stops and drains.

The invariants are checked against the records of the workers and the callers. Prints a summary,
and exits with 1 on any violation.
"""

import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from tornado import httpclient

from benchmarks.procs import DaemonCell, wait_until
from sablemount.core.config import CoreSettings
from sablemount.core.documents import Kind, PriorityClass, Shape, TemplateDocument

__all__ = ["main"]

SOAK_S = 120.0
QUOTES_PER_S = 60.0
KEYED_INTERVAL_S = 1.0
JOB_INTERVAL_S = 4.0
FAULT_INTERVAL_S = 15.0
DRAIN_INTERVAL_S = 25.0
OUTCOME_TIMEOUT_S = 90.0
"""Time after the load in which all accepted tasks must end."""
EVICT_AFTER_S = 4.0
QUOTE = TemplateDocument("rueda", "quote", Kind.REQUEST, PriorityClass.URGENT, Shape(slots=1))
STOCK = TemplateDocument(
    "yard", "stock", Kind.REQUEST, PriorityClass.STANDARD, Shape(slots=1), repeatable=False
)
PLAN = TemplateDocument(
    "rueda", "plan", Kind.TASK, PriorityClass.BATCH, Shape(cores=4), expected_seconds=3.0
)
TRANSFER = TemplateDocument(
    "yard", "transfer", Kind.TASK, PriorityClass.BATCH, Shape(cores=2), repeatable=False
)


class Soak:
    """A soak run: the cell, the load, the faults, and the answers that the callers received."""

    def __init__(self, cell: DaemonCell, seed: int) -> None:
        self.cell = cell
        self.rng = random.Random(seed)
        self.end = time.monotonic() + SOAK_S
        self.answers: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.jobs: dict[str, int] = {}
        self.callers: list[asyncio.Task[None]] = []

    # -- Callers -----------------------------------------------------------------------------

    async def quotes(self) -> None:
        """Send quotes at random times to randomly chosen schedulers."""
        number = 0
        while time.monotonic() < self.end:
            number += 1
            self._spawn(self.call("rueda/quote", b"q%d" % number, {}))
            await asyncio.sleep(self.rng.expovariate(QUOTES_PER_S))

    async def keyed(self) -> None:
        """Send requests with the same key to two schedulers at the same time."""
        number = 0
        while time.monotonic() < self.end:
            number += 1
            key = {"Idempotency-Key": f"{int(time.time())}.{number}"}
            body = b"key %d" % number
            for name in self.rng.sample(self.cell.names, 2):
                self._spawn(self.call("yard/stock", body, key, name))
            await asyncio.sleep(KEYED_INTERVAL_S)

    def _spawn(self, coroutine: object) -> None:
        self.callers.append(asyncio.ensure_future(coroutine))  # type: ignore[arg-type]

    async def call(
        self, template: str, body: bytes, headers: dict[str, str], name: str = ""
    ) -> None:
        """Send a request, and check that the answer belongs to it and is complete."""
        name = name or self.rng.choice(self.cell.names)
        try:
            response = await self.cell.client.fetch(
                f"http://{self.cell.address(name)}/v1/requests/{template}",
                method="POST",
                body=body,
                headers={**headers, "Deadline-Ms": "4000"},
                request_timeout=12.0,
                raise_error=False,
            )
        except (OSError, httpclient.HTTPError):
            self.answers["no scheduler"] += 1
            return
        verdict = response.headers.get("Sablemount-Verdict", "no answer")
        self.answers[verdict] += 1
        if verdict == "DONE" and response.body != b"quote for " + body:
            self.cell.truth.violations.append("answer: of another request, or incomplete")

    async def submit(self) -> None:
        """Submit jobs, and record those that were accepted."""
        number = 0
        while time.monotonic() < self.end:
            number += 1
            template, count = (("rueda/plan", 6), ("yard/transfer", 3))[number % 2]
            job = f"job-{number}"
            if template == "yard/transfer":
                self.cell.truth.at_most_once.update(f"{job}.{index}" for index in range(count))
            body = {"template": template, "job": job, "count": count}
            answer = await self.cell.call(self._random_name(), "POST", "/v1/jobs", body)
            if answer is not None and answer.get("job") == job:
                self.jobs[job] = count
            await asyncio.sleep(JOB_INTERVAL_S)

    def _random_name(self) -> str:
        return self.rng.choice(self.cell.names)

    # -- Faults ------------------------------------------------------------------------------

    async def inject_faults(self) -> None:
        """Kill, suspend and stop daemons in turn, and resume or restart each."""
        kinds = ["kill", "freeze", "stop"]
        while time.monotonic() < self.end - FAULT_INTERVAL_S:
            await asyncio.sleep(FAULT_INTERVAL_S / 2)
            kind = kinds[self.faults.total() % 3]
            self.faults[kind] += 1
            name = self._random_name()
            if kind == "freeze":
                self.cell.signal(name, signal.SIGSTOP)
                await asyncio.sleep(5.0)
                self.cell.signal(name, signal.SIGCONT)
            else:
                self.cell.signal(name, signal.SIGKILL if kind == "kill" else signal.SIGTERM)
                code = await self.cell.wait_stopped(name, 40.0)
                if kind == "stop" and code != 0:
                    self.cell.truth.violations.append(f"planned stop: exit code {code}")
                self.cell.start(name)
            await asyncio.sleep(FAULT_INTERVAL_S / 2)

    async def drain(self) -> None:
        """Drain VMs one after the other, and cancel each drain after a while."""
        while time.monotonic() < self.end - DRAIN_INTERVAL_S:
            await asyncio.sleep(DRAIN_INTERVAL_S / 2)
            server = self.rng.choice(self.cell.workers)
            path = f"/v1/vms/{server.facts.vm}/drain"
            if await self.cell.call(self._random_name(), "POST", path, {"drain": True}) is None:
                continue
            self.faults["drain"] += 1
            server.worker.left_at = time.monotonic()
            await asyncio.sleep(DRAIN_INTERVAL_S / 2)
            server.worker.left_at = float("inf")
            await self.cell.call(self._random_name(), "POST", path, {"drain": False})

    # -- The end -----------------------------------------------------------------------------

    async def run(self) -> None:
        """Run the load and the faults, then wait until all accepted tasks have ended."""
        parts = [self.quotes(), self.keyed(), self.submit(), self.inject_faults(), self.drain()]
        await asyncio.gather(*parts)
        await asyncio.gather(*self.callers)
        await wait_until(self._all_ended, OUTCOME_TIMEOUT_S)

    async def _all_ended(self) -> bool:
        for job, count in self.jobs.items():
            rows = await self.cell.call(self.cell.names[0], "GET", f"/v1/tasks?job={job}")
            if rows is None or sum(bool(row["verdict"]) for row in rows) < count:
                return False
        return True


async def _soak() -> int:
    with tempfile.TemporaryDirectory() as folder:
        cell = DaemonCell(Path(folder), 3, 8, CoreSettings(shards=6, evict_after=EVICT_AFTER_S))
        try:
            await cell.start_all()
            await cell.publish([QUOTE, STOCK, PLAN, TRANSFER])
            soak = Soak(cell, seed=11)
            await soak.run()
        finally:
            cell.close()
    print(f"requests by verdict   {dict(soak.answers)}")
    print(f"faults                {dict(soak.faults)}")
    print(f"jobs accepted, ended  {len(soak.jobs)}")
    print(f"task starts           {cell.truth.starts.total()}")
    print(f"violated invariants   {len(cell.truth.violations)}")
    for violation in cell.truth.violations[:10]:
        print(f"  {violation}")
    return 1 if cell.truth.violations else 0


def main() -> None:
    """Run the soak."""
    sys.exit(asyncio.run(_soak()))


if __name__ == "__main__":
    main()
