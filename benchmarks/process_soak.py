"""The randomized soak of the real programs: processes, sockets and signals, with seeded faults.

python -m benchmarks.process_soak --seed 1 --seconds 60

The stand-in VMs note each broken invariant; every accepted job must end as it should. Prints a
summary and exits 1 if anything is wrong. The logs of the processes are kept in that case.
"""

import asyncio
import json
import random
import shutil
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Annotated

import typer
from tornado.httpclient import AsyncHTTPClient, HTTPError

from benchmarks.node_faults import FAULTS, Target
from benchmarks.node_processes import Nodes
from sablemount.platform.front import decode_job
from tests.platform.standin import HOST, PREFIX, Standin

__all__ = ["Soak", "main"]

PROCESSES = 4
VMS = 6
JOB_EVERY = 0.08
"""Mean seconds between two jobs."""
CANCEL_SHARE = 0.08
FAULT_EVERY = 2.5
"""Mean seconds between two faults, so that some overlap."""
CALL_TIMEOUT = 3.0
TRIES = 8
RETRY_PAUSE = 0.4
SETTLE_LIMIT = 60.0
TASK_SECONDS = 0.6
LEAST_ACCEPTED = 0.8
"""Share of the jobs that must be accepted, with all retries."""
KEYS = {"rueda": "rueda-2m4kx0", "yard": "yard-8s1vq7"}
"""Organisations of the callers; the first one has a cap."""
STRANGER = "stranger-0c5zt3"
"""A key that nobody ever gave out."""
STRANGER_SHARE = 0.05
"""Share of the jobs beside which a stranger calls."""
CAPS = (18_000, 24_000, 40_000)
"""Thousandths of a core; the widest gang has 16,000."""
CONFIGURE_EVERY = 4.0
"""Mean seconds between two configurations."""
ACCEPTED = (200, 201, 202)
REFUSED = (429, 503)


class Soak:
    """One run: the processes, the load, the faults and what the callers saw."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.standin = Standin()
        self.standin.cell.seconds = TASK_SECONDS
        self.standin.cell.fail_share = 0.02
        self.nodes = Nodes(PROCESSES, folder, self.standin)
        self.target = Target(self.nodes, self.standin, self.rng)
        self.seen: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.cancelled: set[str] = set()
        self.strange: set[str] = set()
        """Jobs that strangers handed in."""
        self.let_in: list[str] = []
        """What strangers were answered with success."""
        self._version = 0
        self._seconds = seconds
        self._client = AsyncHTTPClient(force_instance=True, max_clients=200)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> list[str]:
        """Play, let it settle, and return what is wrong."""
        self._configure()
        for number in range(VMS):
            self.standin.add_worker(f"r{number // 3}")
        await self.nodes.start()
        try:
            await self._play()
            return await self._judge()
        finally:
            self.target.ending = True
            await self.nodes.close()
            self.standin.close()

    def _configure(self) -> None:
        """Publish another version: the same keys, and some cap for the first organisation."""
        self._version += 1
        cap = {"cpu": self.rng.choice(CAPS)}
        tenants = [{"name": name, "apiKeys": [key]} for name, key in KEYS.items()]
        tenants[0]["cap"] = cap  # type: ignore[assignment]
        self.standin.configure(self._version, tenants, maxAttempts=self.standin.cell.max_attempts)

    async def _configure_often(self, end: float) -> None:
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.expovariate(1.0 / CONFIGURE_EVERY))
            self._configure()

    async def _play(self) -> None:
        end = time.monotonic() + self._seconds
        self._spawn(self._configure_often(end))
        strikes = asyncio.create_task(self._strike(end))
        number = 0
        while time.monotonic() < end:
            number += 1
            self._spawn(self._caller(f"{number:016x}"))
            await asyncio.sleep(self.rng.expovariate(1.0 / JOB_EVERY))
        await strikes
        await asyncio.wait(self._tasks)

    async def _strike(self, end: float) -> None:
        striking = []
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.expovariate(1.0 / FAULT_EVERY))
            fault = self.rng.choice(FAULTS)
            self.faults[fault.__name__] += 1
            striking.append(asyncio.create_task(fault(self.target)))
        await asyncio.gather(*striking)
        await self.nodes.start()

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[arg-type, var-annotated]
        self._tasks.add(task)

    # -- Callers -----------------------------------------------------------------------------

    async def _caller(self, job: str) -> None:
        """Hand a job in until it is taken or refused for good, and cancel some."""
        body = self._job()
        owner = self.rng.choice(list(KEYS))
        self.standin.cell.jobs[job] = decode_job(json.dumps(body).encode())
        self.standin.cell.owners[job] = owner
        if self.rng.random() < STRANGER_SHARE:
            self._spawn(self._stranger(job))
        uncertain = False
        for _ in range(TRIES):
            code = await self._call("POST", PREFIX + job, body)
            self.seen[f"submit {code}"] += 1
            if code in ACCEPTED:
                self.accepted.add(job)
                break
            uncertain = uncertain or code not in REFUSED
            await asyncio.sleep(RETRY_PAUSE)
        else:
            if not uncertain:
                self.refused.add(job)
            return
        if self.rng.random() < CANCEL_SHARE:
            self.cancelled.add(job)
            self.seen[f"cancel {await self._call('DELETE', PREFIX + job)}"] += 1

    async def _stranger(self, job: str) -> None:
        """Hand in a job, and ask for somebody's and cancel it, without a key that is known."""
        own = f"5{job[1:]}"
        body = self._job()
        self.strange.add(own)
        self.standin.cell.jobs[own] = decode_job(json.dumps(body).encode())
        for method, name in (("POST", own), ("GET", job), ("DELETE", job)):
            sent = body if method == "POST" else None
            code, _ = await self._fetch(method, PREFIX + name, sent, STRANGER)
            self.seen[f"stranger {code}"] += 1
            if code in ACCEPTED:
                self.let_in.append(f"{method} {name}")

    def _job(self) -> dict[str, object]:
        step: dict[str, object] = {
            "count": self.rng.randint(1, 4),
            "cpu": self.rng.choice((500, 1000, 4000)),
            "memMb": 256,
            "estMs": 600,
        }
        kind = self.rng.random()
        if kind < 0.2:
            step["gang"] = True
        elif kind < 0.3:
            step["antiAffinity"] = 2
        steps = [step]
        if self.rng.random() < 0.4:
            steps.append({"count": 1, "cpu": 500, "memMb": 64, "dependsOn": [0]})
        return {"spec": "payload", "steps": steps}

    async def _call(self, method: str, path: str, body: object = None) -> int:
        """Return the status of an answer; 0 without one."""
        key = KEYS[self.standin.cell.owners[path.rpartition("/")[2]]]
        return (await self._fetch(method, path, body, key))[0]

    async def _fetch(
        self, method: str, path: str, body: object = None, key: str = ""
    ) -> tuple[int, bytes]:
        node = self.rng.choice(self.nodes.rows)
        try:
            response = await self._client.fetch(
                f"http://{node.front}{path}",
                method=method,
                body=None if body is None else json.dumps(body),
                headers={
                    "Host": HOST,
                    "Deadline-Ms": "3000",
                    "Authorization": f"Bearer {key}",
                },
                request_timeout=CALL_TIMEOUT,
                connect_timeout=CALL_TIMEOUT,
                raise_error=False,
            )
        except (OSError, HTTPError):
            return 0, b""
        # The client's own number for a connection that broke or took too long.
        return (0, b"") if response.code == 599 else (response.code, response.body)

    # -- What must hold ----------------------------------------------------------------------

    async def _judge(self) -> list[str]:
        limit = time.monotonic() + SETTLE_LIMIT
        unfinished = await self._unfinished()
        while unfinished and time.monotonic() < limit:
            await asyncio.sleep(1.0)
            unfinished = await self._unfinished()
        cell = self.standin.cell
        wrong = cell.violations + self.target.wrong + unfinished
        started = {task.split(".")[0] for task in cell.starts}
        wrong += [f"a stranger was let in: {call}" for call in self.let_in]
        wrong += [f"a stranger's job was started: {job}" for job in sorted(self.strange & started)]
        handed_in = len(cell.jobs) - len(self.strange)
        if len(self.accepted) < LEAST_ACCEPTED * handed_in:
            wrong.append(f"only {len(self.accepted)} of {handed_in} jobs were accepted")
        wrong += [f"refused, yet started: {job}" for job in sorted(self.refused & started)]
        for node in self.nodes.rows:
            wrong += [f"{node.name} ended by itself with {code}" for code in node.exits]
        return wrong

    async def _unfinished(self) -> list[str]:
        found = []
        for job in sorted(self.accepted):
            state = await self._state(job)
            if state not in self._allowed(job):
                found.append(f"{job} is {state}")
        return found

    async def _state(self, job: str) -> str:
        key = KEYS[self.standin.cell.owners[job]]
        code, body = await self._fetch("GET", PREFIX + job, None, key)
        return str(json.loads(body)["state"]) if code == 200 else str(code)

    def _allowed(self, job: str) -> set[str]:
        return {"cancelled", "succeeded"} if job in self.cancelled else {"succeeded"}


async def _play(seed: int, seconds: float, folder: Path) -> tuple[Soak, list[str]]:
    # The stand-in's servers belong to the loop in which they are made.
    soak = Soak(seed, seconds, folder)
    return soak, await soak.run()


def main(
    seed: Annotated[int, typer.Option(help="Seed of load and faults.")] = 1,
    seconds: Annotated[float, typer.Option(help="Seconds of load.")] = 60.0,
) -> None:
    """Play one soak and print what came of it."""
    folder = Path(tempfile.mkdtemp(prefix="sablemount-soak-"))
    soak, wrong = asyncio.run(_play(seed, seconds, folder))
    print(f"seed {seed}, {seconds:.0f} s: {len(soak.accepted)} jobs accepted,", end=" ")
    print(f"{len(soak.refused)} refused, {len(soak.cancelled)} cancelled")
    print("answers", dict(sorted(soak.seen.items())))
    print("faults", dict(sorted(soak.faults.items())))
    print(f"{len(wrong)} wrong")
    for line in wrong[:20]:
        print("  ", line)
    if wrong:
        print("logs in", folder)
        raise typer.Exit(1)
    shutil.rmtree(folder)


if __name__ == "__main__":
    typer.run(main)
