"""The callers of a soak: they hand jobs in, cancel some, ask for states, and note all answers."""

import asyncio
import json
import random
import time
from collections import Counter

from tornado.httpclient import AsyncHTTPClient, HTTPError

from benchmarks.job_verdicts import ACCEPTED, Verdicts
from benchmarks.node_faults import Target
from benchmarks.node_processes import Node, Nodes
from benchmarks.open_connections import Answer, Cut, OpenConnection
from sablemount.platform.front import decode_job
from tests.platform.standin import HOST, PREFIX, Standin

__all__ = ["KEYS", "Callers"]

CANCEL_SHARE = 0.08
CALL_TIMEOUT = 3.0
TRIES = 8
RETRY_PAUSE = 0.4
KEYS = {"rueda": "rueda-2m4kx0", "yard": "yard-8s1vq7"}
"""Organisations of the callers; the first one has a cap."""
STRANGER = "stranger-0c5zt3"
"""A key that nobody ever gave out."""
STRANGER_SHARE = 0.05
"""Share of the jobs beside which a stranger calls."""
REFUSED = (429, 503)
REPEAT_SHARE = 0.05
"""Share of the accepted jobs that are handed in once more, seconds later."""
REPEAT_AFTER = (0.1, 6.0)
ASK_SHARE = 0.5
"""Share of the accepted jobs whose state is asked for on the way."""
ASKED = 4
"""How often then."""
ASK_AFTER = (0.5, 6.0)
"""Seconds between two such questions."""
CUT_SLACK = 0.2
"""Seconds within which a call may meet the end of its connection."""


class Callers:
    """Callers of two organisations, strangers, and those who keep their connections."""

    def __init__(self, rng: random.Random, nodes: Nodes, standin: Standin, target: Target) -> None:
        self.rng = rng
        self.nodes = nodes
        self.standin = standin
        self.target = target
        self.seen: Counter[str] = Counter()
        """Answers, by what was asked and their status; 0 without one."""
        self.verdicts = Verdicts(standin.cell)
        self._strange: set[str] = set()
        """Jobs that strangers handed in."""
        self._let_in: list[str] = []
        """What strangers were answered with success."""
        self._jobs = 0
        self._client = AsyncHTTPClient(force_instance=True, max_clients=200)
        self._tasks: set[asyncio.Task[None]] = set()

    # -- Work beside -------------------------------------------------------------------------

    def spawn(self, work: object) -> None:
        """Let something go on beside, which is waited for in the end."""
        task = asyncio.ensure_future(work)  # type: ignore[arg-type, var-annotated]
        self._tasks.add(task)

    async def wait(self) -> None:
        """Wait until all callers are done."""
        while pending := [task for task in self._tasks if not task.done()]:
            await asyncio.wait(pending)

    def wrong(self) -> list[str]:
        """Return what is wrong with the answers, and with what was started for whom."""
        started = {task.split(".")[0] for task in self.standin.cell.starts}
        wrong = [f"a stranger was let in: {call}" for call in self._let_in]
        wrong += [f"a stranger's job was started: {job}" for job in sorted(self._strange & started)]
        refused = sorted(self.verdicts.refused & started)
        wrong += [f"refused, yet started: {job}" for job in refused]
        broken = [task.exception() for task in self._tasks if task.done()]
        wrong += [f"a caller broke off: {error!r}" for error in broken if error is not None]
        return wrong

    async def unfinished(self) -> list[str]:
        """Return the accepted jobs that have not ended as they should."""
        found = []
        for job in sorted(self.verdicts.accepted):
            state = await self._state(job)
            if not self.verdicts.ended_as_due(job, state):
                found.append(f"{job} is {state}")
        return found

    # -- Calls -------------------------------------------------------------------------------

    def _next_job(self) -> str:
        self._jobs += 1
        return f"{self._jobs:016x}"

    def _make_job(self, job: str) -> tuple[dict[str, object], str]:
        """Return what a caller hands in, and its key."""
        body = self._job()
        owner = self.rng.choice(list(KEYS))
        self.standin.cell.hand_in(job, decode_job(json.dumps(body).encode()))
        self.standin.cell.owners[job] = owner
        return body, KEYS[owner]

    async def hand_in(self) -> None:
        """Hand a job in until it is taken or refused for good, and cancel some."""
        job = self._next_job()
        body, _ = self._make_job(job)
        if self.rng.random() < STRANGER_SHARE:
            self.spawn(self._stranger(job))
        uncertain = False
        for _ in range(TRIES):
            self.verdicts.tried(job, self.standin.store.down)
            code = await self._call("POST", PREFIX + job, body)
            self.seen[f"submit {code}"] += 1
            if code in ACCEPTED:
                self._accepted(job)
                break
            uncertain = uncertain or code not in REFUSED
            await asyncio.sleep(RETRY_PAUSE)
        else:
            if not uncertain:
                self.verdicts.refused.add(job)
            return
        if self.rng.random() < CANCEL_SHARE:
            self.verdicts.cancelled.add(job)
            await self._cancel(job)
        elif self.rng.random() < REPEAT_SHARE:
            await asyncio.sleep(self.rng.uniform(*REPEAT_AFTER))
            self.seen[f"repeat {await self._call('POST', PREFIX + job, body)}"] += 1

    async def _cancel(self, job: str) -> None:
        answer = await self._send("DELETE", job)
        self.seen[f"cancel {answer.code}"] += 1
        if answer.code in ACCEPTED:
            state = str(json.loads(answer.body)["state"])
            self.verdicts.cancel_told(job, state, time.monotonic())

    def _accepted(self, job: str) -> None:
        """Note an acceptance, and ask for the job's state at times from now on."""
        self.verdicts.taken(job, time.monotonic())
        self.target.accepted.set()
        if self.rng.random() < ASK_SHARE:
            self.spawn(self._ask_often(job))

    async def _ask_often(self, job: str) -> None:
        for _ in range(ASKED):
            await asyncio.sleep(self.rng.uniform(*ASK_AFTER))
            await self._state(job)

    async def keep_connection(self, node: Node, end: float) -> None:
        """Hand jobs in and ask for them over one connection for as long as it lasts."""
        connection = OpenConnection(node, self._cut)
        while time.monotonic() < end:
            job = self._next_job()
            body, key = self._make_job(job)
            answer = await connection.call("POST", job, body, key)
            self.seen[f"open submit {0 if answer is None else answer.code}"] += 1
            if answer is not None and answer.code in ACCEPTED:
                self._accepted(job)
            elif answer is not None and answer.code in REFUSED:
                self.verdicts.refused.add(job)
            asked_at = time.monotonic()
            answer = await connection.call("GET", job, None, key)
            if answer is not None:
                self._told(job, answer, asked_at, node)
        connection.close()

    def _cut(self, cut: Cut) -> None:
        """Note a call without an answer; a planned stop is no reason to cut one."""
        self.seen["open cut"] += 1
        node, life = cut.node, cut.life
        planned = life in node.stopped and life not in node.killed | node.frozen
        if planned and cut.waited > CUT_SLACK:
            wrong = f"{node.name} cut a call after {cut.waited:.2f} s on a planned stop"
            self.target.wrong.append(wrong)

    async def _stranger(self, job: str) -> None:
        """Hand in a job, and ask for somebody's and cancel it, without a key that is known."""
        own = f"5{job[1:]}"
        body = self._job()
        self._strange.add(own)
        self.standin.cell.jobs[own] = decode_job(json.dumps(body).encode())
        for method, name in (("POST", own), ("GET", job), ("DELETE", job)):
            sent = body if method == "POST" else None
            code = (await self._fetch(method, PREFIX + name, sent, STRANGER)).code
            self.seen[f"stranger {code}"] += 1
            if code in ACCEPTED:
                self._let_in.append(f"{method} {name}")

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
        return (await self._send(method, path.rpartition("/")[2], body)).code

    async def _send(self, method: str, job: str, body: object = None) -> Answer:
        """Make a call about a job, under its caller's key."""
        key = KEYS[self.standin.cell.owners[job]]
        return await self._fetch(method, PREFIX + job, body, key)

    async def _fetch(
        self,
        method: str,
        path: str,
        body: object = None,
        key: str = "",
        at: Node | None = None,
    ) -> Answer:
        node = at or self.rng.choice(self.nodes.rows)
        try:
            response = await self._client.fetch(
                f"http://{node.called_at}{path}",
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
            return Answer(0, b"")
        # The client's own number for a connection that broke or took too long.
        return Answer(0, b"") if response.code == 599 else Answer(response.code, response.body)

    async def _state(self, job: str) -> str:
        """Ask some process for a job's state, and judge its answer."""
        key = KEYS[self.standin.cell.owners[job]]
        node = self.rng.choice(self.nodes.rows)
        asked_at = time.monotonic()
        answer = await self._fetch("GET", PREFIX + job, None, key, node)
        return self._told(job, answer, asked_at, node)

    def _told(self, job: str, answer: Answer, asked_at: float, node: Node) -> str:
        state = str(json.loads(answer.body)["state"]) if answer.code == 200 else str(answer.code)
        self.verdicts.told(job, answer.code, state, asked_at, node.name)
        return state
