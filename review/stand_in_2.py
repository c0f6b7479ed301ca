"""A small platform for the cases 4 to 6: store, workers, callers and the project's processes.

It speaks what the users' pages describe, over HTTP on loopback addresses, with the standard library
alone. Store and workers do what the pages say of sound ones. Each process of the project has a
listening address of its own at the store, so that a case can disturb the store for one machine.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
PROGRAM = ["python3", "src/sablemount_node.py"]
"""The ``run`` line of ``deploy/system.toml``."""
LOOPBACK = "127.0.0.1"
HEARTBEAT_S = 1.5
LAPSE_S = 3 * HEARTBEAT_S
HOLD_MAX_MS = 6000
STOP_MS = 400
GANG_TIMEOUT_MS = 3000
MAX_LISTED_ENDS = 500
KEPT_ANSWERS = 5
MAX_CONNECTIONS = 64
"""Connections that a worker takes, as the pages of each deployment say; more are reset."""
UNLIMITED = 1_000_000
PAGE_ITEMS = 500
STORE_DELAY_S = 0.004
MAX_WAIT_MS = 30_000
MAX_HOLD_WAIT_MS = 2_000
MS = 1000.0
OK, UNKNOWN_JOB, BROKEN = 200, 410, 0
"""Statuses; ``BROKEN`` stands for a connection that ended without an answer."""
RETRIED = (BROKEN, 429, 502, 503, 504)
METRICS_PORT = 9464
SPARE_HOSTS = 6
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
    "stopMs": STOP_MS,
    "gangTimeoutMs": GANG_TIMEOUT_MS,
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
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice"]

Answer = tuple[int, Any]
Handler = Callable[[str, str, bytes, dict[str, str]], Awaitable[Answer | None]]
"""Answers method, target, body and headers; ``None`` closes the connection without an answer."""


class Log:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def add(self, *words: object) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f} " + " ".join(map(str, words)) + "\n")
        self._file.flush()


# -- HTTP --------------------------------------------------------------------------------------


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0") or 0))
    return head[0], headers, body


class Server:
    """An HTTP server at a free loopback port, or at a given one."""

    def __init__(self, handler: Handler, max_connections: int = UNLIMITED) -> None:
        self._handler = handler
        self._max_connections = max_connections
        self.reset_count = 0
        """Connections that were reset because there were as many as it takes."""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._writers)

    @property
    def address(self) -> str:
        """Return its address."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._writers) >= self._max_connections:
            self.reset_count += 1
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await _read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self._handler(method, target, body, headers)
                if answer is None:
                    break
                status, payload = answer
                data = payload if isinstance(payload, bytes) else json.dumps(payload).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # Only the end of the case cancels it.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def crash(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def fetch(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes, seconds: float
) -> tuple[int, bytes]:
    """Send a request over a new connection; the status is ``BROKEN`` without a whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": address, **headers, "Content-Length": str(len(body))}
            fields["Connection"] = "close"
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(head.encode() + b"\r\n" + body)
            line, _, data = await _read_message(reader)
            return int(line.split(" ")[1]), data
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return BROKEN, b""
    finally:
        if writer is not None:
            writer.close()


# -- The store ---------------------------------------------------------------------------------


class _Topic:
    """A keyed topic with one partition."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        """All records as they are read, each with its length."""
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.changed = asyncio.Event()
        self.producers: dict[str, _Producer] = {}

    def add(self, key: str, value: bytes) -> None:
        raw = key.encode()
        body = bytes([len(raw)]) + raw + value
        self.records.append(len(body).to_bytes(4, "big") + body)
        if value:
            self.newest[key] = (value, len(self.records) - 1)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class _Producer:
    """What a partition knows of a producer."""

    def __init__(self) -> None:
        self.epoch = -1
        self.last: int | None = None
        self.answers: deque[tuple[int, Answer]] = deque(maxlen=KEPT_ANSWERS)


class Store:
    """The platform's store; ``faults`` names what it does to a machine, by the machine's name.

    ``silent`` answers nothing, ``busy`` refuses with 503.
    """

    def __init__(self) -> None:
        self.topics: dict[str, _Topic] = {}
        self.faults: dict[str, str] = {}

    def topic(self, name: str) -> _Topic:
        """Return a topic, which is made at its first use."""
        return self.topics.setdefault(name, _Topic())

    async def serve(self, machine: str) -> Server:
        """Return the server at which a machine reaches the store."""

        async def answer(
            method: str, target: str, body: bytes, headers: dict[str, str]
        ) -> Answer | None:
            return await self._answer(machine, target, body)

        server = Server(answer)
        await server.start()
        return server

    async def _answer(self, machine: str, target: str, body: bytes) -> Answer | None:
        await asyncio.sleep(STORE_DELAY_S)
        fault = self.faults.get(machine)
        if fault == "busy":
            return 503, {}
        if fault == "silent":
            await asyncio.sleep(60.0)
            return None
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = self.topic(query["topic"])
        if url.path == "/api/log-append":
            return _append(topic, query, body)
        if url.path == "/api/log-newest":
            return _newest(topic, query.get("dependsOn", ""))
        if url.path == "/api/log-read":
            return await _read(topic, int(query["from"]), int(query.get("waitMs", "0")))
        return 400, {}


def _append(topic: _Topic, query: dict[str, str], body: bytes) -> Answer:
    end = len(topic.records)
    if "at" in query and int(query["at"]) != end:
        return 412, {"end": end}
    records = list(_records(body))
    if "producer" not in query:
        return _add(topic, records)
    producer = topic.producers.setdefault(query["producer"], _Producer())
    epoch, number = int(query["epoch"]), int(query["seq"])
    if epoch < producer.epoch:
        return 409, {"reason": "fenced", "epoch": producer.epoch}
    if epoch > producer.epoch:
        producer.epoch, producer.last = epoch, None
        producer.answers.clear()
    if not records:
        return OK, {"offset": end, "end": end}
    for known, answer in producer.answers:
        if known == number:
            return answer
    if producer.last is not None and number != producer.last + 1:
        return 409, {"reason": "seq", "seq": producer.last + 1}
    producer.last = number
    added = _add(topic, records)
    producer.answers.append((number, added))
    return added


def _add(topic: _Topic, records: list[tuple[str, bytes]]) -> Answer:
    offset = len(topic.records)
    for key, value in records:
        topic.add(key, value)
    return OK, {"offset": offset, "end": len(topic.records)}


def _records(body: bytes) -> list[tuple[str, bytes]]:
    found = []
    position = 0
    while position < len(body):
        length = int.from_bytes(body[position : position + 4], "big")
        record = body[position + 4 : position + 4 + length]
        position += 4 + length
        key_end = 1 + record[0]
        found.append((record[1:key_end].decode(), record[key_end:]))
    return found


def _newest(topic: _Topic, after: str) -> Answer:
    keys = sorted(key for key in topic.newest if key > after)
    items = []
    for key in keys[:PAGE_ITEMS]:
        value, offset = topic.newest[key]
        items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
    return OK, {"items": items, "more": len(keys) > PAGE_ITEMS, "end": len(topic.records)}


async def _read(topic: _Topic, start: int, wait_ms: int) -> Answer:
    if start >= len(topic.records):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(wait_ms, MAX_WAIT_MS) / MS):
                await topic.changed.wait()
    end = len(topic.records)
    head = end.to_bytes(8, "big") + (0).to_bytes(8, "big")
    return OK, head + b"".join(topic.records[start:])


# -- Workers -----------------------------------------------------------------------------------


class Run:
    """A run on a worker; ``work_ms`` is how long it works."""

    def __init__(self, task: str, number: int, work_ms: float, now: float) -> None:
        self.task = task
        self.number = number
        self.work_ms = work_ms
        self.began = now
        self.stopping_at: float | None = None

    def percent(self, now: float) -> int:
        """Return how much of the work is done."""
        return min(99, int(100 * (now - self.began) * MS / self.work_ms))


class Worker:
    """One life of a worker, without guard of its capacity; its tasks end ``done``.

    ``spec`` of a job is the milliseconds for which each of its tasks works.
    """

    TICK_S = 0.01

    def __init__(self, name: str, labels: list[str], log: Log, on_done: "Callable[[str], None]"):
        self.name = name
        self.labels = labels
        self._log = log
        self._on_done = on_done
        self._zero = time.monotonic() - random.uniform(10.0, 900.0)
        self._fence = 0
        self._until = 0.0
        self.runs: dict[str, Run] = {}
        self._ended: list[tuple[int, str, int, str, str]] = []
        self._highest: dict[str, int] = {}
        """Highest run of each task that was stopped or has ended here."""
        self._count = 0
        self._changed = asyncio.Event()
        self.up = False
        self.failed: dict[str, int] = {}
        """How many runs of each task have ended ``failed``."""
        self.server = Server(self._answer, MAX_CONNECTIONS)
        self._beat = 0
        self._tasks: list[asyncio.Task[None]] = []

    def clock_ms(self) -> float:
        """Return the worker's steady clock."""
        return (time.monotonic() - self._zero) * MS

    async def start(self, store: Store, service: str, port: int = 0) -> None:
        """Start to serve, and to write to the store."""
        await self.server.start(port)
        self.up = True
        self._tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._write(store, service)),
        ]

    def crash(self) -> None:
        """End without a word: all that runs here is gone."""
        self.up = False
        self.server.crash()
        for task in self._tasks:
            task.cancel()
        for run in self.runs.values():
            self._log.add("LOST", run.task, run.number, "with", self.name)
        self.runs.clear()

    async def _write(self, store: Store, service: str) -> None:
        while True:
            self._beat += 1
            entry = {
                "service": service,
                "addr": self.server.address,
                "zone": "a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0},
                "labels": self.labels,
                "clockMs": int(self.clock_ms()),
                "seq": self._beat,
            }
            store.topic("keyed.servers").add(self.name, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(self.TICK_S)
            now = time.monotonic()
            for run in list(self.runs.values()):
                if self.clock_ms() > self._until:
                    self._end(run, "lapsed")
                elif run.stopping_at is not None and now >= run.stopping_at:
                    self._end(run, "stopped")
                elif run.stopping_at is None and (now - run.began) * MS >= run.work_ms:
                    self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._highest[run.task] = max(run.number, self._highest.get(run.task, 0))
        self._count += 1
        self._ended.append((self._count, run.task, run.number, how, ""))
        self._log.add("END", run.task, run.number, how, "on", self.name)
        if how == "done":
            self._on_done(run.task)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(
        self, method: str, target: str, body: bytes, headers: dict[str, str]
    ) -> Answer | None:
        if headers.get("expect-instance") != self.name:
            return 421, {}
        call = json.loads(body or b"{}")
        if call.get("fence", 0) < self._fence:
            return 409, {"clockMs": int(self.clock_ms()), "reason": "fence"}
        self._fence = call.get("fence", 0)
        if target == "/api/hold":
            return await self._hold(call)
        if target == "/api/run-start":
            return self._start(call)
        if target == "/api/run-stop":
            return self._stop(call)
        return OK, {"clockMs": int(self.clock_ms())}

    def _extend(self, call: dict[str, Any]) -> None:
        until = min(call.get("untilMs", 0), self.clock_ms() + HOLD_MAX_MS)
        self._until = max(self._until, until)

    def _start(self, call: dict[str, Any]) -> Answer:
        clock = int(self.clock_ms())
        task, number = call["task"], call["run"]
        if call["untilMs"] < clock:
            return 409, {"clockMs": clock, "reason": "late"}
        self._extend(call)
        running = self.runs.get(task)
        if running is not None and running.number == number:
            return OK, {"clockMs": clock}
        if running is not None or number <= self._highest.get(task, 0):
            return 409, {"clockMs": clock, "reason": "old"}
        self._log.add("START", task, number, "on", self.name)
        self.runs[task] = Run(task, number, float(call["spec"]), time.monotonic())
        return OK, {"clockMs": clock}

    def _stop(self, call: dict[str, Any]) -> Answer:
        task, number = call["task"], call["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            if run.stopping_at is None:
                run.stopping_at = time.monotonic() + STOP_MS / MS / 2
        else:
            self._highest[task] = max(number, self._highest.get(task, 0))
        return OK, {"clockMs": int(self.clock_ms())}

    async def _hold(self, call: dict[str, Any]) -> Answer | None:
        self._extend(call)
        acked = call.get("ackedUpto", 0)
        self._ended = [end for end in self._ended if end[0] > acked]
        wait_ms = min(call.get("waitMs", 0), MAX_HOLD_WAIT_MS)
        if wait_ms and not self._ended:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / MS):
                    await self._changed.wait()
        if not self.up:
            return None
        now = time.monotonic()
        running = [[run.task, run.number, "", run.percent(now)] for run in self.runs.values()]
        return OK, {
            "clockMs": int(self.clock_ms()),
            "running": running,
            "ended": self._ended[:MAX_LISTED_ENDS],
        }


class Workers:
    """The workers of a service; a crashed one may come back as a new life at its address."""

    def __init__(self, store: Store, log: Log, service: str = "desk") -> None:
        self._store = store
        self._log = log
        self.service = service
        self.lives: list[Worker] = []
        self.done: set[str] = set()
        """Tasks of which a run has ended ``done``."""

    async def add(self, labels: list[str], port: int = 0) -> Worker:
        """Add a worker, or the next life at a port."""
        name = f"i-{random.getrandbits(40):010x}"
        worker = Worker(name, labels, self._log, self.done.add)
        await worker.start(self._store, self.service, port)
        self._log.add("WORKER", name, *labels, "at", worker.server.address)
        self.lives.append(worker)
        return worker

    async def crash(self, worker: Worker, down_s: float | None) -> Worker | None:
        """Crash a worker; after ``down_s`` seconds its next life begins, ``None`` for never."""
        self._log.add("CRASH", worker.name, *worker.labels)
        worker.crash()
        asyncio.get_running_loop().call_later(LAPSE_S, self._lapse, worker)
        if down_s is None:
            return None
        await asyncio.sleep(down_s)
        return await self.add(worker.labels, worker.server.port)

    def _lapse(self, worker: Worker) -> None:
        self._store.topic("keyed.servers").add(worker.name, b"")

    def up(self) -> list[Worker]:
        """Return the lives that are up."""
        return [worker for worker in self.lives if worker.up]

    def running(self, job: str) -> list[tuple[Worker, Run]]:
        """Return what runs of a job."""
        return [
            (worker, run)
            for worker in self.up()
            for run in worker.runs.values()
            if run.task.startswith(job + ".")
        ]


# -- The project's processes -------------------------------------------------------------------


class Machine:
    """A machine of the system and its process."""

    def __init__(self, name: str, host: str, folder: Path, store: Server, log: Log) -> None:
        self.name = name
        self._log = log
        self.front = f"{host}:{_free_port(host)}"
        self.ready = f"{host}:{_free_port(host)}"
        port = _free_port(host)
        self._settings = folder / f"{name}.json"
        self._output = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.lost = False
        settings = {
            "nodeName": name,
            "role": "scheduler",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": host,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {"front": self.front, "ready": self.ready},
            "portRange": [port, port + 3],
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
            "heartbeatMs": 1500,
            "contracts": CONTRACTS,
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "orders": "call",
            "advice": None,
            "platform": {
                "addr": store.address,
                "form": "log",
                "writes_per_s": 600,
                "reads_per_s": 2000,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "keep_s": 300,
                "part_mb": 200,
                "ttl_min_ms": 1000,
            },
        }
        self._settings.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SABLEMOUNT_BOOT": str(self._settings),
        }
        with self._output.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *PROGRAM, cwd=ROOT, env=variables, stdout=output, stderr=output
            )
        self._log.add("MACHINE", self.name, "starts")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self._log.add("MACHINE", self.name, number.name)
            self.process.send_signal(number)

    def lose(self) -> None:
        """Lose the machine for good, without a word: its process stands still from now on.

        Its connections stay as they are, as those of a machine without power do.
        """
        self.lost = True
        self.signal(signal.SIGSTOP)

    @property
    def in_use(self) -> bool:
        """Return whether its process runs and the machine was not lost."""
        running = self.process is not None and self.process.returncode is None
        return running and not self.lost

    async def is_ready(self) -> bool:
        """Return whether it calls itself ready."""
        status, _ = await fetch(self.ready, "GET", "/api/readyz", {}, b"", 1.0)
        return status == OK

    async def leads(self) -> bool:
        """Return whether it says, among its figures, that it leads."""
        host = self.front.rpartition(":")[0]
        _, data = await fetch(f"{host}:{METRICS_PORT}", "GET", "/metrics", {}, b"", 1.0)
        lines = [line for line in data.decode().splitlines() if "leading" in line]
        return any(line.endswith((" 1", " 1.0")) for line in lines if not line.startswith("#"))

    def lines(self) -> list[str]:
        """Return what the process has written."""
        return self._output.read_text().splitlines() if self._output.exists() else []


def _free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


def _free_hosts(count: int) -> list[str]:
    """Return loopback addresses at which the port of the figures is free."""
    found: list[str] = []
    for network in random.sample(range(1, 250), 40):
        found = []
        for number in range(1, count + 1):
            host = f"127.{network}.7.{number}"
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((host, METRICS_PORT))
                except OSError:
                    break
            found.append(host)
        if len(found) == count:
            return found
    raise OSError("no loopback addresses are free")


class CannotRun(Exception):
    """The case could not run."""


class Deployment:
    """Store, workers and machines, in a temporary folder that is removed at the end."""

    def __init__(self, machines: int, log: Log) -> None:
        self.log = log
        self.store = Store()
        self.workers = Workers(self.store, log)
        self._count = machines
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.machines: list[Machine] = []
        self._hosts: list[str] = []
        self.version = 0

    def configure(self, routes: list[dict[str, Any]]) -> None:
        """Write the next configuration."""
        self.version += 3
        configuration = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": self.workers.service, "rejectsOverload": False}],
            "limits": {},
        }
        self.store.topic("keyed.op").add("config", json.dumps(configuration).encode())
        self.log.add("CONFIG", self.version, *(route["pathPrefix"] for route in routes))

    async def start(self, seconds: float = 20.0) -> None:
        """Start all machines, and wait until each is ready."""
        self._hosts = _free_hosts(self._count + SPARE_HOSTS)
        for _ in range(self._count):
            await self.add_machine()
        for machine in self.machines:
            await machine.start()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all([await machine.is_ready() for machine in self.machines]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the machines are not ready")

    async def add_machine(self) -> Machine:
        """Add a machine at an address of its own; its process is not started yet."""
        name = f"edge-{len(self.machines) + 1}"
        store = await self.store.serve(name)
        host = self._hosts[len(self.machines)]
        machine = Machine(name, host, self._folder, store, self.log)
        self.machines.append(machine)
        return machine

    async def leader(self) -> Machine:
        """Return the machine that leads."""
        for _ in range(50):
            for machine in self.machines:
                if machine.in_use and await machine.leads():
                    return machine
            await asyncio.sleep(0.1)
        raise CannotRun("no machine leads")

    async def close(self) -> None:
        """End all that was started."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for worker in self.workers.up():
            worker.crash()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for machine in self.machines:
                (Path(kept) / f"{machine.name}.log").write_text("\n".join(machine.lines()))
        shutil.rmtree(self._folder, ignore_errors=True)


# -- Callers -----------------------------------------------------------------------------------


def route(name: str, host: str, prefix: str, service: str = "desk", **terms: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    usual = {
        "kind": "unsafe",
        "timeoutMs": 3000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "maxAttempts": 4,
        "stretch": 2.2,
    }
    return {"name": name, "host": host, "pathPrefix": prefix, "service": service, **usual, **terms}


def job_id() -> str:
    """Return 16 hex digits."""
    return f"{random.getrandbits(64):016x}"


class Caller:
    """A client: it retries at other machines as the pages say."""

    DEADLINE_S = 3.0

    def __init__(self, deployment: Deployment, host: str, prefix: str) -> None:
        self._deployment = deployment
        self._host = host
        self._prefix = prefix

    async def send(
        self, method: str, name: str, body: bytes = b"", machine: Machine | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Send a request once; return the status and the answer."""
        running = [each for each in self._deployment.machines if each.in_use]
        target = machine or random.choice(running)
        headers = {
            "Host": self._host,
            "Content-Type": "application/json",
            "Deadline-Ms": str(int(self.DEADLINE_S * MS)),
        }
        status, data = await fetch(
            target.front, method, self._prefix + name, headers, body, self.DEADLINE_S
        )
        try:
            answer = json.loads(data or b"{}")
        except ValueError:
            answer = {}
        return status, answer

    async def submit(self, name: str, spec: str, steps: list[dict[str, Any]], tries: int) -> bool:
        """Hand a job in; return whether it was accepted."""
        body = json.dumps({"spec": spec, "steps": steps}).encode()
        for _ in range(tries):
            status, _ = await self.send("POST", name, body)
            self._deployment.log.add("POST", name, status)
            if status == OK:
                return True
            if status not in RETRIED:
                return False
            await asyncio.sleep(0.5)
        return False

    async def state(self, name: str) -> str:
        """Return a job's state as it is shown; empty if there was no answer."""
        status, answer = await self.send("GET", name)
        self._deployment.log.add("GET", name, status, answer.get("state", ""))
        if status == UNKNOWN_JOB:
            return "unknown"
        return str(answer.get("state", "")) if status == OK else ""
