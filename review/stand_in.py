"""Stand-ins for the platform's store, its workers and its clients, for the scripts of the review.

They follow the users' pages and use the standard library only. The programs of the system run as
separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

__all__ = [
    "EXIT_BROKEN",
    "EXIT_HELD",
    "EXIT_NOT_RUN",
    "Cell",
    "Cluster",
    "NotRun",
    "Record",
    "Store",
    "Work",
    "Worker",
    "main",
]

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
ROOT = Path(__file__).parents[1]
OK = 200
CONFLICT = 409
GONE = 410
PRECONDITION = 412
WRONG_INSTANCE = 421
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
NO_ANSWER = 0
"""Status of a call that got no answer."""
PHRASES = {OK: "OK", CONFLICT: "Conflict", UNAVAILABLE: "Service Unavailable"}
MS = 1000.0
LATENCY_S = 0.004
"""Seconds that the store takes for an answer."""
KEPT_ANSWERS = 5
PAGE_ITEMS = 500
HEARTBEAT_S = 1.5
HEARTBEATS_TO_LAPSE = 3
HOLD_MAX_MS = 6000
STOP_S = 0.3
GANG_TIMEOUT_S = 3.0
MAX_LISTED_ENDS = 500
SERVICE = "desk"
HOST = "queues.example"
PREFIX = "/lohu930/"
QUEUE = "r-1"
MAX_ATTEMPTS = 4
FINAL_STATES = ("succeeded", "failed", "cancelled")
CAPACITY = {"cpu": 16000, "memMb": 65536, "gpu": 0}
METRICS_PORT = 9464
NETWORKS = 200
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "recoveryS": 12,
    "holdMaxMs": HOLD_MAX_MS,
    "stopMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "farX": 1.5,
    "saveS": 2,
    "restoreMs": 250,
    "noticeMs": 4500,
    "moveS": 1.5,
    "upkeepS": 2,
    "fencing": True,
    "leaseMs": 3000,
    "thawMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}

Answer = tuple[int, bytes]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Answer]]


class NotRun(Exception):
    """The case could not run, so it says nothing."""


def _json(status: int, body: object) -> Answer:
    return status, json.dumps(body).encode()


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()


# -- HTTP ------------------------------------------------------------------------------------


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one message: its first line, its headers (names in lower case) and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


class Server:
    """An HTTP/1.1 server on the loopback address, which can be cut off from everybody.

    Behind a cut it reads what arrives and throws it away, and no answer leaves it. Connections that
    were open or opened then stay silent for good.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._is_cut = False
        self.address = ""

    async def start(self) -> None:
        """Listen, at a free port the first time and at the same port later."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def cut(self, resets: bool) -> None:
        """Begin a cut, which is silent or resets connections, those that are tried included."""
        if resets:
            self.close()
            return
        self._is_cut = True
        self._silent |= self._writers

    async def heal(self) -> None:
        """End the cut."""
        if not self._is_cut:
            await self.start()
        self._is_cut = False

    def close(self) -> None:
        """End as a process does that is killed: its port is dead, its connections are reset."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        if self._is_cut:
            self._silent.add(writer)
        try:
            while True:
                line, headers, body = await _read_message(reader)
                if writer in self._silent:
                    continue
                method, target, _ = line.split(" ", 2)
                status, answer = await self._handler(method, target, headers, body)
                if writer in self._silent or status == NO_ANSWER:
                    self._silent.add(writer)
                    continue
                phrase = PHRASES.get(status, "Answer")
                head = f"HTTP/1.1 {status} {phrase}\r\nContent-Length: {len(answer)}\r\n\r\n"
                writer.write(head.encode() + answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            self._silent.discard(writer)
            writer.close()


async def call(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes, timeout: float
) -> Answer:
    """Call an HTTP server over a connection of its own; status ``NO_ANSWER`` without an answer."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "Connection: close"]
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                line, _, answer = await _read_message(reader)
                return int(line.split(" ")[1]), answer
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return NO_ANSWER, b""


# -- The store -------------------------------------------------------------------------------


class _Producer:
    """What the store knows of one producer in one partition."""

    def __init__(self) -> None:
        self.epoch = 0
        self.last: int | None = None
        self.answers: dict[int, Answer] = {}


class _Topic:
    """One partition of a keyed topic."""

    def __init__(self) -> None:
        self.records: list[tuple[bytes, bytes]] = []
        self.newest: dict[bytes, tuple[bytes, int]] = {}
        self.producers: dict[str, _Producer] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return len(self.records)

    def add(self, key: bytes, value: bytes) -> None:
        """Append a record; one without a value drops its key."""
        if value:
            self.newest[key] = (value, self.end)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()


def _decode(body: bytes) -> list[tuple[bytes, bytes]]:
    records, at = [], 0
    while at < len(body):
        size = int.from_bytes(body[at : at + 4], "big")
        record = body[at + 4 : at + 4 + size]
        key_end = 1 + record[0]
        records.append((record[1:key_end], record[key_end:]))
        at += 4 + size
    return records


def _encode(records: Iterable[tuple[bytes, bytes]]) -> bytes:
    parts = []
    for key, value in records:
        parts.append((1 + len(key) + len(value)).to_bytes(4, "big") + bytes([len(key)]))
        parts.append(key + value)
    return b"".join(parts)


class Store:
    """The platform's store: keyed topics of one partition."""

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self.server = Server(self._answer)
        self.down = False
        """Whether it answers 503 to every call."""

    def topic(self, name: str) -> _Topic:
        """Return a topic, which is made at its first use."""
        return self._topics.setdefault(name, _Topic())

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        await asyncio.sleep(LATENCY_S)
        if self.down:
            return _json(UNAVAILABLE, {})
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = self.topic(query["topic"])
        if url.path == "/api/log-append":
            return self._append(topic, query, body)
        if url.path == "/api/log-newest":
            return self._newest(topic, query.get("dependsOn", ""))
        return await self._read(topic, int(query["from"]), int(query.get("waitMs", "0")))

    def _append(self, topic: _Topic, query: dict[str, str], body: bytes) -> Answer:
        producer, sequence = None, 0
        if "producer" in query:
            producer = topic.producers.setdefault(query["producer"], _Producer())
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            if epoch < producer.epoch:
                return _json(CONFLICT, {"reason": "fenced", "epoch": producer.epoch})
            if epoch > producer.epoch:
                producer.epoch, producer.last, producer.answers = epoch, None, {}
            if body and sequence in producer.answers:
                return producer.answers[sequence]
            if body and producer.last is not None and sequence != producer.last + 1:
                return _json(CONFLICT, {"reason": "seq", "seq": producer.last + 1})
        if "at" in query and int(query["at"]) != topic.end:
            return _json(PRECONDITION, {"end": topic.end})
        first = topic.end
        for key, value in _decode(body):
            topic.add(key, value)
        answer = _json(OK, {"offset": first, "end": topic.end})
        if producer is not None and body:
            producer.last = sequence
            producer.answers[sequence] = answer
            producer.answers.pop(sequence - KEPT_ANSWERS, None)
        return answer

    def _newest(self, topic: _Topic, after: str) -> Answer:
        keys = sorted(key for key in topic.newest if key > after.encode())
        items = []
        for key in keys[:PAGE_ITEMS]:
            value, offset = topic.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": text, "offset": offset})
        return _json(OK, {"items": items, "more": len(keys) > PAGE_ITEMS, "end": topic.end})

    async def _read(self, topic: _Topic, offset: int, wait_ms: int) -> Answer:
        if offset >= topic.end:
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / MS):
                    await topic.changed.wait()
        if self.down:
            return _json(UNAVAILABLE, {})
        header = topic.end.to_bytes(8, "big") + (0).to_bytes(8, "big")
        return OK, header + _encode(topic.records[offset:])


# -- Workers ---------------------------------------------------------------------------------


class _Run:
    """A run on a worker."""

    def __init__(self, task: str, number: int, seconds: float, members: int, began_at: float):
        self.task = task
        self.number = number
        self.seconds = seconds
        self.members = members
        """Number of tasks that work together; 1 if the task works by itself."""
        self.began_at = began_at
        self.works_since: float | None = None
        self.ends_at: float | None = None
        """When it is stopped, if it was told to stop."""

    @property
    def step(self) -> str:
        """Return the name of its step."""
        return self.task.rpartition(".")[0]


class Worker:
    """One life of a worker."""

    def __init__(self, cell: "Cell", name: str, machine: str, rack: str) -> None:
        self._cell = cell
        self.name = name
        self.machine = machine
        self.rack = rack
        self.server = Server(self._answer)
        self.up = True
        self.is_cut = False
        self.draining = False
        self.leaves_at = 0.0
        """When it leaves, in the time of the record, if it drains."""
        self.written_at = -HEARTBEAT_S
        """When it last wrote its entry."""
        self.runs: dict[tuple[str, int], _Run] = {}
        self.ends: list[tuple[int, str, int, str, str]] = []
        self._highest: Counter[str] = Counter()
        self._last_end = 0
        self._fence = 0
        self._until_ms = 0
        self._clock_start = random.uniform(1e5, 1e6)
        self._sequence = 0
        self._end_listed = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Return the time of its steady clock."""
        return int(self._clock_start + self._cell.record.now * MS)

    @property
    def lease_left_s(self) -> float:
        """Return the seconds until its lease is over."""
        return (self._until_ms - self.clock_ms) / MS

    def entry(self) -> bytes:
        """Return its entry in the store."""
        self._sequence += 1
        entry: dict[str, object] = {
            "service": SERVICE,
            "addr": self.server.address,
            "zone": "hall-1",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "capacity": CAPACITY,
            "labels": ["a", self.rack],
            "machine": self.machine,
            "clockMs": self.clock_ms,
            "seq": self._sequence,
        }
        if self.draining:
            entry["remainingMs"] = int(max(0.0, self.leaves_at - self._cell.record.now) * MS)
        return json.dumps(entry).encode()

    # -- Calls -------------------------------------------------------------------------------

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        if headers.get("expect-instance", self.name) != self.name:
            return _json(WRONG_INSTANCE, {})
        fields = json.loads(body or b"{}")
        if fields.get("fence", 0) < self._fence:
            return self._refusal("fence")
        self._fence = fields.get("fence", 0)
        if target == "/api/hold":
            return await self._hold(fields)
        if target == "/api/run-start":
            return self._start(fields)
        if target == "/api/run-stop":
            return self._stop(fields)
        return _json(OK, {"clockMs": self.clock_ms})

    def _refusal(self, reason: str) -> Answer:
        return _json(CONFLICT, {"clockMs": self.clock_ms, "reason": reason})

    def _extend(self, until_ms: int) -> None:
        self._until_ms = max(self._until_ms, min(until_ms, self.clock_ms + HOLD_MAX_MS))

    async def _hold(self, fields: dict[str, Any]) -> Answer:
        if "untilMs" in fields:
            self._extend(fields["untilMs"])
        self.ends = [end for end in self.ends if end[0] > fields["ackedUpto"]]
        if not self.ends and fields.get("waitMs", 0):
            self._end_listed.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(fields["waitMs"] / MS):
                    await self._end_listed.wait()
        now = self._cell.record.now
        running = [[run.task, run.number, "", self._percent(run, now), 0] for run in self._listed()]
        ended = self.ends[:MAX_LISTED_ENDS]
        return _json(OK, {"clockMs": self.clock_ms, "running": running, "ended": ended})

    def _listed(self) -> list[_Run]:
        return list(self.runs.values())

    @staticmethod
    def _percent(run: _Run, now: float) -> int:
        if run.works_since is None:
            return 0
        return min(99, int(100 * (now - run.works_since) / run.seconds))

    def _start(self, fields: dict[str, Any]) -> Answer:
        task, number = fields["task"], fields["run"]
        if fields["untilMs"] < self.clock_ms:
            return self._refusal("late")
        self._extend(fields["untilMs"])
        if (task, number) in self.runs:
            return _json(OK, {"clockMs": self.clock_ms})
        if number <= self._highest[task]:
            return self._refusal("old")
        work = self._cell.work_of(self, task, number, fields["spec"])
        run = _Run(task, number, work.seconds, work.members, self._cell.record.now)
        self.runs[task, number] = run
        self._cell.begun(self, run)
        return _json(OK, {"clockMs": self.clock_ms})

    def _stop(self, fields: dict[str, Any]) -> Answer:
        task, number = fields["task"], fields["run"]
        self._highest[task] = max(self._highest[task], number)
        run = self.runs.get((task, number))
        if run is not None and run.ends_at is None:
            run.ends_at = self._cell.record.now + STOP_S
        return _json(OK, {"clockMs": self.clock_ms})

    # -- Time --------------------------------------------------------------------------------

    def step(self, now: float) -> None:
        """End the runs that are over by now."""
        for run in list(self.runs.values()):
            if self.clock_ms > self._until_ms:
                self.end(run, "lapsed")
            elif run.ends_at is not None and now >= run.ends_at:
                self.end(run, "stopped")
            elif run.works_since is None and now - run.began_at > GANG_TIMEOUT_S:
                self.end(run, "alone")
            elif run.works_since is not None and now - run.works_since >= run.seconds:
                self.end(run, "done")

    def end(self, run: _Run, how: str) -> None:
        """End a run and list its end."""
        if self.runs.pop((run.task, run.number), None) is None:
            return
        self._highest[run.task] = max(self._highest[run.task], run.number)
        self._last_end += 1
        self.ends.append((self._last_end, run.task, run.number, how, ""))
        self._end_listed.set()
        self._cell.ended(self, run, how)


class Interval:
    """When a run was on a worker, in the time of the record."""

    def __init__(self, worker: str, run: _Run) -> None:
        self.worker = worker
        self.task = run.task
        self.number = run.number
        self.began_at = run.began_at
        self.ended_at: float | None = None
        self.how = "running"


class Work:
    """What a client has sent: the text of its job, and how long and how its tasks work."""

    def __init__(self, spec: str, seconds: float, members: int) -> None:
        self.spec = spec
        self.seconds = seconds
        self.members = members
        """Number of tasks that work together; 1 if each works by itself."""


class Cell:
    """All workers, and the history of what ran there."""

    def __init__(self, record: Record, store: Store) -> None:
        self.record = record
        self.store = store
        self.workers: list[Worker] = []
        self.history: list[Interval] = []
        self.jobs: dict[str, Work] = {}
        """What clients have sent, by job."""
        self.foreign_orders: list[str] = []
        """Orders to start what no client has sent, or to start it with a different text."""
        self._count = 0
        self._written_at: dict[str, float] = {}
        """When each entry in the store was last written."""

    async def add(self, rack: str = "r1-1", machine: str = "") -> Worker:
        """Add a worker."""
        self._count += 1
        name = f"i-{random.getrandbits(40):010x}"
        worker = Worker(self, name, machine or f"m-{self._count}", rack)
        await worker.server.start()
        self.workers.append(worker)
        self.write_entry(worker)
        self.record.write(f"worker {name} at {worker.server.address} comes")
        return worker

    def _can_write(self, worker: Worker) -> bool:
        return not worker.is_cut and not self.store.down

    def write_entry(self, worker: Worker) -> None:
        """Have a worker write its entry."""
        worker.written_at = self._written_at[worker.name] = self.record.now
        self.store.topic("keyed.servers").add(worker.name.encode(), worker.entry())

    def _remove_entry(self, name: str, why: str) -> None:
        del self._written_at[name]
        self.store.topic("keyed.servers").add(name.encode(), b"")
        self.record.write(f"the entry of worker {name} is removed: {why}")

    # -- What happens to workers -------------------------------------------------------------

    def drain(self, worker: Worker, seconds: float) -> None:
        """Have a worker announce that it leaves after some seconds."""
        worker.draining = True
        worker.leaves_at = self.record.now + seconds
        self.write_entry(worker)
        self.record.write(f"worker {worker.name} drains and serves on for {seconds} s")

    def cut(self, worker: Worker, resets: bool = False) -> None:
        """Cut a worker off from everybody; it runs on."""
        worker.is_cut = True
        worker.server.cut(resets)
        how = "its connections are reset" if resets else "silently"
        self.record.write(f"worker {worker.name} is cut off and runs on: {how}")
        self.record.write(f"its lease lasts for {worker.lease_left_s:.3f} s more")

    async def heal(self, worker: Worker) -> None:
        """End the cut of a worker."""
        worker.is_cut = False
        await worker.server.heal()
        self.record.write(f"worker {worker.name} is no longer cut off")

    def crash(self, worker: Worker) -> None:
        """Crash a worker: all that runs there dies, and nothing is listed."""
        self.record.write(f"worker {worker.name} crashes with {len(worker.runs)} runs")
        self._stop_worker(worker, "lost with its worker")

    def _stop_worker(self, worker: Worker, how: str) -> None:
        worker.up = False
        worker.server.close()
        for run in list(worker.runs.values()):
            del worker.runs[run.task, run.number]
            self.ended(worker, run, how)

    # -- History -----------------------------------------------------------------------------

    def work_of(self, worker: Worker, task: str, number: int, spec: str) -> Work:
        """Return what a client has sent for a task, and note an order that differs from it."""
        work = self.jobs.get(task.partition(".")[0])
        if work is None or work.spec != spec:
            order = f"worker {worker.name} is told to start run {number} of {task} with {spec!r}"
            self.foreign_orders.append(order)
            self.record.write(order + (", which nobody sent" if work is None else ""))
        return work or Work(spec, 1.0, 1)

    def begun(self, worker: Worker, run: _Run) -> None:
        """Note a start."""
        self.history.append(Interval(worker.name, run))
        self.record.write(f"run {run.number} of {run.task} begins on {worker.name}")
        if run.members == 1:
            run.works_since = run.began_at
            return
        members = [
            other
            for row in self.workers
            for other in row.runs.values()
            if row.up and other.step == run.step and other.number == run.number
        ]
        if len(members) == run.members:
            for member in members:
                member.works_since = self.record.now

    def ended(self, worker: Worker, run: _Run, how: str) -> None:
        """Note the end of a run; a gang ends with its members."""
        for interval in self.history:
            is_run = (interval.task, interval.number) == (run.task, run.number)
            if is_run and interval.worker == worker.name and interval.ended_at is None:
                interval.ended_at = self.record.now
                interval.how = how
        self.record.write(f"run {run.number} of {run.task} ends on {worker.name}: {how}")
        if run.members == 1:
            return
        for row in self.workers:
            for other in list(row.runs.values()):
                if row.up and other.step == run.step and other.number == run.number:
                    row.end(other, "done" if how == "done" else "broken")

    def record_double_runs(self) -> bool:
        """Write down which tasks had two runs at the same time; return whether there are any."""
        doubles = self.double_runs()
        for first, second, overlap in doubles:
            self.record.write(
                f"TWICE: {first.task}, run {first.number} on {first.worker} and run "
                f"{second.number} on {second.worker} went on together for {overlap:.3f} s"
            )
        return bool(doubles)

    def double_runs(self) -> list[tuple[Interval, Interval, float]]:
        """Return the pairs of runs of one task that went on at the same time, and for how long."""
        found = []
        for number, first in enumerate(self.history):
            for second in self.history[number + 1 :]:
                if second.task != first.task:
                    continue
                ends = [each.ended_at or self.record.now for each in (first, second)]
                overlap = min(ends) - max(first.began_at, second.began_at)
                if overlap > 0:
                    found.append((first, second, overlap))
        return found

    async def run(self) -> None:
        """Let time pass, until cancelled."""
        while True:
            now = self.record.now
            for worker in self.workers:
                if not worker.up:
                    continue
                worker.step(now)
                if worker.draining and now >= worker.leaves_at:
                    self.record.write(f"worker {worker.name} leaves")
                    self._stop_worker(worker, "lost with its worker, which left")
                    if self._can_write(worker) and worker.name in self._written_at:
                        self._remove_entry(worker.name, "it has left")
                elif self._can_write(worker) and now - worker.written_at >= HEARTBEAT_S:
                    self.write_entry(worker)
            for name, at in list(self._written_at.items()):
                if now - at >= HEARTBEATS_TO_LAPSE * HEARTBEAT_S:
                    self._remove_entry(name, "three heartbeats without a write")
            await asyncio.sleep(0.005)


# -- The system ------------------------------------------------------------------------------


class Node:
    """A process of the system."""

    def __init__(self, name: str, host: str, folder: Path, store: str, command: list[str]) -> None:
        self.name = name
        ports = _free_ports(host, 4)
        self.front = f"{host}:{ports[0]}"
        self.ready = f"{host}:{ports[1]}"
        self._file = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._command = command
        self.process: asyncio.subprocess.Process | None = None
        self._settings = {
            "nodeName": name,
            "role": "scheduler",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": host,
            "zone": "hall-1",
            "region": "region-1",
            "zones": {"hall-1": "region-1"},
            "listen": {"front": self.front, "ready": self.ready},
            "portRange": [ports[2], ports[2]],
            "seeds": [],
            "bootstrap": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * MS),
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {
                "addr": store,
                "form": "log",
                "writes_per_s": 600,
                "reads_per_s": 2000,
                "parts": 12,
                "append_ms": 2.0,
                "part_mb_per_s": 20.0,
                "read_mb_per_s": 80.0,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "keep_s": 300,
                "part_mb": 200,
                "ttl_min_ms": 1000,
            },
        }

    async def start(self) -> None:
        """Start the process."""
        self._file.write_text(json.dumps(self._settings))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["SABLEMOUNT_BOOT"] = str(self._file)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Return whether it is ready for clients."""
        status, _ = await call(self.ready, "GET", "/api/readyz", {"Host": self.ready}, b"", 0.5)
        return status == OK

    async def end(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def log_lines(self, words: str) -> list[str]:
        """Return the lines of its log that contain some words."""
        if not self._log.exists():
            return []
        return [line for line in self._log.read_text().splitlines() if words in line]


def _free_ports(host: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    ports = [int(each.getsockname()[1]) for each in sockets]
    for each in sockets:
        each.close()
    return ports


def _free_hosts(count: int) -> list[str]:
    """Return loopback addresses whose metrics port is free, since the deploy file fixes it."""
    for _ in range(NETWORKS):
        network = random.randrange(1, 250)
        hosts = [f"127.{network}.0.{number + 1}" for number in range(count)]
        try:
            for host in hosts:
                with socket.socket() as trial:
                    trial.bind((host, METRICS_PORT))
        except OSError:
            continue
        return hosts
    raise NotRun("no loopback addresses are free")


def _command() -> list[str]:
    """Return the program of a machine, from the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    if not (ROOT / "target" / "deps").is_dir():
        raise NotRun("the system is not built: target/deps is missing")
    return shlex.split(role["run"])


class Cluster:
    """The platform, a few processes of the system, and a client."""

    def __init__(self, record: Record, folder: Path, nodes: int = 3) -> None:
        self.record = record
        self.store = Store()
        self.cell = Cell(record, self.store)
        self._folder = folder
        self._node_count = nodes
        self.nodes: list[Node] = []
        self._time: asyncio.Task[None] | None = None

    async def start(self, workers: int) -> None:
        """Start everything, and wait until all processes are ready."""
        command = _command()
        hosts = _free_hosts(self._node_count)
        await self.store.server.start()
        self._write_configuration()
        for number in range(workers):
            await self.cell.add(f"r1-{1 + number // 6}")
        self._time = asyncio.create_task(self.cell.run())
        for number, host in enumerate(hosts):
            name = f"edge-hall-1-{number + 1}"
            self.nodes.append(Node(name, host, self._folder, self.store.server.address, command))
        for node in self.nodes:
            await node.start()
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        deadline = self.record.now + 20.0
        while self.record.now < deadline:
            if all([await node.is_ready() for node in self.nodes]):
                self.record.write("all processes of the system are ready")
                return
            await asyncio.sleep(0.1)
        raise NotRun("the processes of the system are not ready within 20 s")

    def _write_configuration(self) -> None:
        route = {
            "name": QUEUE,
            "host": HOST,
            "pathPrefix": PREFIX,
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 3000,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": MAX_ATTEMPTS,
            "stretch": 4.0,
        }
        service = {
            "name": SERVICE,
            "healthPath": "/healthz",
            "maxConns": 64,
            "protocol": "h1",
            "rejectsOverload": False,
        }
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        body = {"version": 7, "routes": [route], "services": [service], "limits": limits}
        self.store.topic("keyed.op").add(b"config", json.dumps(body).encode())

    async def close(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            await node.end()
        if self._time is not None:
            self._time.cancel()
        for worker in self.cell.workers:
            worker.server.close()
        self.store.server.close()

    # -- The client --------------------------------------------------------------------------

    async def ask(self, method: str, job: str, body: bytes = b"") -> Answer:
        """Send a call of a client to one of the processes."""
        node = random.choice(self.nodes)
        headers = {"Host": HOST, "Content-Type": "application/json", "Deadline-Ms": "3000"}
        status, answer = await call(node.front, method, PREFIX + job, headers, body, 3.0)
        text = answer.decode(errors="replace")
        self.record.write(f"{method} {job} at {node.name}: {status} {text}")
        return status, answer

    async def submit(
        self, steps: list[dict[str, Any]], seconds: float, members: int = 1, **times: int
    ) -> str:
        """Submit a job and return its id once it is accepted."""
        job = f"{random.getrandbits(64):016x}"
        spec = f"work of {job}"
        self.cell.jobs[job] = Work(spec, seconds, members)
        body = json.dumps({"spec": spec, "steps": steps, **times}).encode()
        for _ in range(5):
            status, _ = await self.ask("POST", job, body)
            if status == OK:
                return job
            await asyncio.sleep(0.5)
        raise NotRun("the job was not accepted")

    async def wait_until_final(self, job: str, seconds: int) -> str:
        """Ask for a job's state each second until it is final; return the last one."""
        state = ""
        for _ in range(seconds):
            state = await self.state(job)
            if state in FINAL_STATES:
                break
            await asyncio.sleep(1.0)
        return state

    def record_log_lines(self, words: str) -> None:
        """Write down the lines with some words that the processes of the system have logged."""
        for node in self.nodes:
            for line in node.log_lines(words):
                self.record.write(f"{node.name} wrote: {line}")

    async def state(self, job: str) -> str:
        """Return the state of a job as a client sees it, or the status of the answer."""
        status, answer = await self.ask("GET", job)
        return str(json.loads(answer)["state"]) if status == OK else str(status)


Case = Callable[[Cluster, bool], Awaitable[bool]]
"""Plays a case, with or without the disruption; returns whether the rule held."""


async def _play(case: Case, record: Record, trouble: bool, folder: Path) -> int:
    cluster = Cluster(record, folder)
    try:
        held = await case(cluster, trouble)
    except Exception as reason:
        # A fault of the script itself says nothing about the system.
        record.write(f"the case could not run: {reason!r}")
        return EXIT_NOT_RUN
    finally:
        await cluster.close()
    record.write("the rule held" if held else "THE RULE WAS BROKEN")
    return EXIT_HELD if held else EXIT_BROKEN


def main(case: Case, record_file: Path) -> None:
    """Play a case, write its record to a file, and exit with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_file)
    record.write(f"the disruption is {'on' if trouble else 'off'}")
    # Whoever ends the script early has it end the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    code = EXIT_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary, suppress(KeyboardInterrupt):
        code = asyncio.run(_play(case, record, trouble, Path(temporary)))
    sys.exit(code)
