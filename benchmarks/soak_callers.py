"""The callers of a soak: they submit, cancel and query jobs, and check all replies."""

import asyncio
import json
import random
import time
from collections import Counter

from tornado.httpclient import AsyncHTTPClient, HTTPError

from benchmarks.job_verdicts import ACCEPTED, GONE, Verdicts
from benchmarks.node_faults import Target
from benchmarks.node_processes import Node, Nodes
from benchmarks.open_connections import Answer, Cut, OpenConnection
from benchmarks.spread_jobs import SpreadJobs
from sablemount.jobs.model import JobSpec
from sablemount.platform.front import decode_job
from tests.emulator.job_model import JobModel
from tests.platform.bodies import job_body
from tests.platform.standin import HOST, PREFIX, Standin

__all__ = ["KEYS", "Callers"]

CANCEL_SHARE = 0.08
MODEL_SHARE = 0.6
"""Share of the jobs that are drawn from the whole job model."""
CALL_TIMEOUT_S = 3.0
MAX_ATTEMPTS = 8
RETRY_DELAY_S = 0.4
KEYS = {"rueda": "rueda-2m4kx0", "yard": "yard-8s1vq7"}
"""Key of each organisation; the first organisation has a cap."""
UNKNOWN_KEY = "stranger-0c5zt3"
"""A key that was never issued."""
UNKNOWN_KEY_SHARE = 0.05
"""Share of the jobs for which a caller with an unknown key makes calls as well."""
REFUSED = (429, 503)
STEP_PATH = b'"path":"$.steps['
"""Names the step at fault in the reply to a submission that is refused as no VM can run it."""
RESUBMIT_SHARE = 0.05
"""Share of the accepted jobs that are submitted again, seconds later."""
RESUBMIT_DELAY_S = (0.1, 6.0)
QUERY_SHARE = 0.5
"""Share of the accepted jobs whose state is queried while they run."""
QUERIES_PER_JOB = 4
"""Number of these queries per job."""
QUERY_INTERVAL_S = (0.5, 6.0)
"""Range of seconds between two of these queries."""
MAX_CUT_WAIT_S = 0.2
"""Seconds from its start within which a call may be cut by a graceful stop."""


class Callers:
    """Callers of two organisations, with unknown keys, and with open connections."""

    def __init__(
        self,
        rng: random.Random,
        nodes: Nodes,
        standin: Standin,
        target: Target,
        model_seed: int = 0,
    ) -> None:
        self.rng = rng
        self.nodes = nodes
        self.standin = standin
        self.target = target
        self.open_pause_s = 0.0
        """Seconds between two jobs of a caller with an open connection."""
        self.spread_jobs: SpreadJobs | None = None
        """Draws some of the jobs, if it is set."""
        self._prefixes: dict[str, str] = {}
        """Path prefix of the queue of a job, by job, unless it is ``PREFIX``."""
        self.reply_counts: Counter[str] = Counter()
        """Number of replies by kind of call and status; the status is 0 without a reply."""
        self.verdicts = Verdicts(standin.cell)
        self._model = JobModel(random.Random(model_seed), standin.cell.wall_ms)
        self._unauthorised_jobs: set[str] = set()
        """Jobs submitted with an unknown key."""
        self._unauthorised_successes: list[str] = []
        """Calls with an unknown key that succeeded."""
        self._job_count = 0
        self._client = AsyncHTTPClient(force_instance=True, max_clients=200)
        self._tasks: set[asyncio.Task[None]] = set()

    # -- Background work ---------------------------------------------------------------------

    def spawn(self, work: object) -> None:
        """Run a coroutine in the background; ``wait`` waits for it."""
        task = asyncio.ensure_future(work)  # type: ignore[arg-type, var-annotated]
        self._tasks.add(task)

    async def wait(self) -> None:
        """Wait until all background work is done."""
        while pending := [task for task in self._tasks if not task.done()]:
            await asyncio.wait(pending)

    def violations(self) -> list[str]:
        """Return the violations of access control and of refusals, and exceptions of callers."""
        started = {task.split(".")[0] for task in self.standin.cell.starts}
        wrong = [
            f"a call with an unknown key succeeded: {call}" for call in self._unauthorised_successes
        ]
        wrong += [
            f"a job submitted with an unknown key was started: {job}"
            for job in sorted(self._unauthorised_jobs & started)
        ]
        refused = sorted(self.verdicts.refused & started)
        wrong += [f"refused, but started: {job}" for job in refused]
        errors = [task.exception() for task in self._tasks if task.done()]
        wrong += [f"a caller raised {error!r}" for error in errors if error is not None]
        return wrong

    async def unfinished(self) -> list[str]:
        """Return the accepted jobs that are not in an allowed final state."""
        unfinished = []
        for job in sorted(self.verdicts.accepted):
            state = await self._query_state(job)
            if not self.verdicts.is_allowed_final_state(job, state):
                unfinished.append(f"{job} is {state}")
        return unfinished

    # -- Calls -------------------------------------------------------------------------------

    def _next_job(self) -> str:
        self._job_count += 1
        return f"{self._job_count:016x}"

    def _register_job(self, job: str) -> tuple[dict[str, object], str]:
        """Register a random job for a random organisation; return its body and key."""
        body = self._random_body()
        owner = self.rng.choice(list(KEYS))
        drawn = None if self.spread_jobs is None else self.spread_jobs.job(job)
        if drawn is not None:
            spec, self._prefixes[job] = drawn.spec, drawn.prefix
            body = job_body(spec)
            if drawn.is_unserved:
                self.verdicts.unserved.add(job)
        elif self._model.draws(MODEL_SHARE):
            spec = self._model.job(job)
            body = job_body(spec)
            self._plan_cancel(job, spec)
        else:
            body["spec"] = f"payload of {job}"
            spec = decode_job(json.dumps(body).encode())
        self.standin.cell.register_job(job, spec)
        self.standin.cell.owners[job] = owner
        self.standin.cell.urls[job] = HOST + self._path(job)
        return body, KEYS[owner]

    def _plan_cancel(self, job: str, spec: JobSpec) -> None:
        """Have some of the jobs cancelled, at any moment from their submission on."""
        delay = self._model.cancel_delay(spec)
        if delay is not None:
            self.spawn(self._cancel_later(job, delay))

    async def _cancel_later(self, job: str, delay: float) -> None:
        await asyncio.sleep(delay)
        self.verdicts.cancelled.add(job)
        await self._cancel(job)

    def _path(self, job: str) -> str:
        return self._prefixes.get(job, PREFIX) + job

    async def submit(self) -> None:
        """Submit a job with retries; cancel or resubmit some of the accepted ones."""
        job = self._next_job()
        body, _ = self._register_job(job)
        if self.rng.random() < UNKNOWN_KEY_SHARE:
            self.spawn(self._call_with_unknown_key(job))
        uncertain = False
        for _ in range(MAX_ATTEMPTS):
            self.verdicts.record_attempt(job, self.standin.store.down)
            answer = await self._send("POST", job, body)
            code = answer.code
            self.reply_counts[f"submit {self._kind(job, answer)}"] += 1
            if code in ACCEPTED:
                self._on_accepted(job)
                break
            uncertain = uncertain or code not in REFUSED
            await asyncio.sleep(RETRY_DELAY_S)
        else:
            if not uncertain:
                self.verdicts.refused.add(job)
            return
        if self.rng.random() < CANCEL_SHARE:
            self.verdicts.cancelled.add(job)
            await self._cancel(job)
        elif self.rng.random() < RESUBMIT_SHARE:
            await asyncio.sleep(self.rng.uniform(*RESUBMIT_DELAY_S))
            answer = await self._send("POST", job, body)
            self.reply_counts[f"repeat {self._kind(job, answer)}"] += 1

    def _kind(self, job: str, answer: Answer) -> str:
        """Return the kind of a reply to a submission, and record one that no VM can run the job."""
        if answer.code not in REFUSED or STEP_PATH not in answer.body:
            return str(answer.code)
        self.verdicts.record_told_unserved(job)
        return f"{answer.code} unserved"

    async def _cancel(self, job: str) -> None:
        answer = await self._send("DELETE", job)
        self.reply_counts[f"cancel {answer.code}"] += 1
        if answer.code in ACCEPTED:
            state = str(json.loads(answer.body)["state"])
            self.verdicts.record_cancellation(job, state, time.monotonic())
        elif answer.code == GONE:
            self.verdicts.record_cancelled_unknown(job, time.monotonic())

    def _on_accepted(self, job: str) -> None:
        """Record an acceptance, and query the states of some of these jobs from now on."""
        self.verdicts.record_acceptance(job, time.monotonic())
        self.target.accepted.set()
        if self.rng.random() < QUERY_SHARE:
            self.spawn(self._query_repeatedly(job))

    async def _query_repeatedly(self, job: str) -> None:
        for _ in range(QUERIES_PER_JOB):
            await asyncio.sleep(self.rng.uniform(*QUERY_INTERVAL_S))
            await self._query_state(job)

    async def keep_connection(self, node: Node, end: float) -> None:
        """Submit and query jobs over one connection for as long as it stays open."""
        connection = OpenConnection(node, self._on_cut)
        while time.monotonic() < end:
            job = self._next_job()
            body, key = self._register_job(job)
            answer = await connection.call("POST", self._path(job), body, key)
            kind = "0" if answer is None else self._kind(job, answer)
            self.reply_counts[f"open submit {kind}"] += 1
            if answer is not None and answer.code in ACCEPTED:
                self._on_accepted(job)
            elif answer is not None and answer.code in REFUSED:
                self.verdicts.refused.add(job)
            asked_at = time.monotonic()
            answer = await connection.call("GET", self._path(job), None, key)
            if answer is not None:
                self._check_reply(job, answer, asked_at, node)
            await asyncio.sleep(self.open_pause_s)
        connection.close()

    def _on_cut(self, cut: Cut) -> None:
        """Record a call without a reply; a graceful stop must not cut one."""
        self.reply_counts["open cut"] += 1
        node, start_count = cut.node, cut.start_count
        planned = start_count in node.stopped and start_count not in node.killed | node.frozen
        if planned and cut.waited > MAX_CUT_WAIT_S:
            wrong = f"{node.name} cut a call after {cut.waited:.2f} s on a graceful stop"
            self.target.violations.append(wrong)

    async def _call_with_unknown_key(self, job: str) -> None:
        """Submit a job, and query and cancel another caller's job, with an unknown key."""
        own_job = f"5{job[1:]}"
        body = self._random_body()
        self._unauthorised_jobs.add(own_job)
        self.standin.cell.jobs[own_job] = decode_job(json.dumps(body).encode())
        for method, name in (("POST", own_job), ("GET", job), ("DELETE", job)):
            payload = body if method == "POST" else None
            code = (await self._fetch(method, self._path(name), payload, UNKNOWN_KEY)).code
            self.reply_counts[f"stranger {code}"] += 1
            if code in ACCEPTED:
                self._unauthorised_successes.append(f"{method} {name}")

    def _random_body(self) -> dict[str, object]:
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

    async def _send(self, method: str, job: str, body: object = None) -> Answer:
        """Make a call about a job with its organisation's key; the status is 0 without a reply."""
        key = KEYS[self.standin.cell.owners[job]]
        return await self._fetch(method, self._path(job), body, key)

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
                f"http://{node.caller_address}{path}",
                method=method,
                body=None if body is None else json.dumps(body),
                headers={
                    "Host": HOST,
                    "Deadline-Ms": "3000",
                    "Authorization": f"Bearer {key}",
                },
                request_timeout=CALL_TIMEOUT_S,
                connect_timeout=CALL_TIMEOUT_S,
                raise_error=False,
            )
        except (OSError, HTTPError):
            return Answer(0, b"")
        # 599 is the client's own status for a broken connection or a time-out.
        return Answer(0, b"") if response.code == 599 else Answer(response.code, response.body)

    async def _query_state(self, job: str) -> str:
        """Query a random process for a job's state, and check its reply."""
        key = KEYS[self.standin.cell.owners[job]]
        node = self.rng.choice(self.nodes.rows)
        asked_at = time.monotonic()
        answer = await self._fetch("GET", self._path(job), None, key, node)
        return self._check_reply(job, answer, asked_at, node)

    def _check_reply(self, job: str, answer: Answer, asked_at: float, node: Node) -> str:
        state = str(json.loads(answer.body)["state"]) if answer.code == 200 else str(answer.code)
        self.verdicts.check_reply(job, answer.code, state, asked_at, node.name)
        return state
