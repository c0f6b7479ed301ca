"""Stand-ins of the platform for the third review: store, workers, advice, and the processes.

Written from the users' pages only; it uses nothing of the project and nothing but the standard
library. Everything listens on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
"""Exit codes of a case."""
OK, BAD, CONFLICT, GONE, WRONG_LIFE = 200, 400, 409, 410, 421
PRECONDITION, BUSY = 412, 503
HOLD_MAX_S = 6.0
STOP_S = 0.2
HEARTBEAT_S = 1.5
SILENT_BEATS = 3
STORE_ANSWER_S = 0.004
PAGE = 500
METRICS_PORT = 9464
MAX_RECORDED_STARTS = 200
"""Answers to starts that are recorded one by one; further ones are only counted."""
SERVICE = "huvo11a"
HOST = "nony24.example"
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "holdMaxMs": int(HOLD_MAX_S * 1000),
    "stopMs": 400,
    "gangTimeoutMs": 3000,
    "status_s": 120,
    "restoreMs": 250,
}

Handler = Callable[["Request"], Awaitable[tuple[int, object]]]


class CannotRun(Exception):
    """The case could not be set up, so that it shows nothing."""


class Request:
    """A request as it arrived."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.path = urlsplit(target).path
        self.query = {key: values[0] for key, values in parse_qs(urlsplit(target).query).items()}
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read the first line, the headers and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0") or "0"))
    return head[0], headers, body


class Server:
    """An HTTP/1.1 server that keeps connections open, and can be killed with all of them."""

    def __init__(self, handler: Handler, address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self._handler = handler
        self._address = address
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(
            self._serve, *self._address, limit=1 << 24, reuse_address=True
        )
        self._address = self._server.sockets[0].getsockname()[:2]
        return f"{self._address[0]}:{self._address[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                status, answer = await self._handler(Request(method, target, headers, body))
                payload = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(payload)}\r\n\r\n".encode() + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def kill(self) -> None:
        """Close the listening socket and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def fetch(
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout: float = 3.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Send one request on a connection of its own; status 0 if there was no answer."""
    host, _, port = address.rpartition(":")
    payload = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(payload)}"]
    fields = {"Host": HOST, "Content-Type": "application/json", **(headers or {})}
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + payload)
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Record:
    """Writes to a case's file what was sent, answered and run."""

    def __init__(self, file: Path) -> None:
        self._file = file.open("w")
        self._began = time.monotonic()
        self.add(f"TROUBLE={int(TROUBLE)}")

    @property
    def seconds(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.seconds:8.3f} {text}\n")
        self._file.flush()


class Topic:
    """A partition of a keyed topic."""

    def __init__(self) -> None:
        self.records: list[tuple[bytes, bytes]] = []
        self.newest: dict[bytes, tuple[bytes, int]] = {}
        self.producers: dict[str, tuple[int, int | None, dict[int, dict[str, int]]]] = {}
        self.changed = asyncio.Event()

    def add(self, key: bytes, value: bytes) -> None:
        """Append a record."""
        self.newest.pop(key, None)
        if value:
            self.newest[key] = (value, len(self.records))
        self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store, as far as the project uses it."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.address = ""
        self._server = Server(self._handle)

    async def start(self) -> None:
        """Listen."""
        self.address = await self._server.start()

    def topic(self, name: str) -> Topic:
        """Return a topic, which is made at its first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: object) -> None:
        """Write as the operator or a worker does; ``None`` drops the key."""
        self.topic(topic).add(key.encode(), b"" if value is None else json.dumps(value).encode())

    async def _handle(self, request: Request) -> tuple[int, object]:
        await asyncio.sleep(STORE_ANSWER_S)
        topic = self.topic(request.query.get("topic", ""))
        if request.path == "/api/log-append":
            return self._append(topic, request)
        if request.path == "/api/log-read":
            return await self._read(topic, request)
        if request.path == "/api/log-newest":
            return self._newest(topic, request.query.get("dependsOn", ""))
        return BAD, {}

    def _append(self, topic: Topic, request: Request) -> tuple[int, object]:
        query = request.query
        if "at" in query and int(query["at"]) != len(topic.records):
            return PRECONDITION, {"end": len(topic.records)}
        records = list(decode(request.body))
        if "producer" in query:
            name, epoch, seq = query["producer"], int(query["epoch"]), int(query["seq"])
            known, wanted, answers = topic.producers.get(name, (-1, None, {}))
            if epoch < known:
                return CONFLICT, {"reason": "fenced", "epoch": known}
            if epoch > known:
                wanted, answers = None, {}
            if records and seq in answers:
                return OK, answers[seq]
            if records and wanted is not None and seq != wanted:
                return CONFLICT, {"reason": "seq", "seq": wanted}
            answer = {"offset": len(topic.records), "end": len(topic.records) + len(records)}
            if records:
                wanted = seq + 1
                answers = dict(list({**answers, seq: answer}.items())[-5:])
            topic.producers[name] = (epoch, wanted, answers)
        offset = len(topic.records)
        for key, value in records:
            topic.add(key, value)
        return OK, {"offset": offset, "end": len(topic.records)}

    async def _read(self, topic: Topic, request: Request) -> tuple[int, object]:
        start = int(request.query["from"])
        ends_at = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        while len(topic.records) <= start and (left := ends_at - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), left)
            except TimeoutError:
                break
        payload = len(topic.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        size = 0
        for key, value in topic.records[start:]:
            length = 1 + len(key) + len(value)
            size += length
            payload += length.to_bytes(4, "big") + bytes([len(key)]) + key + value
            if size > 1 << 20:
                break
        return OK, payload

    def _newest(self, topic: Topic, after: str) -> tuple[int, object]:
        keys = sorted(key for key in topic.newest if key > after.encode())
        items: list[dict[str, object]] = []
        size = 0
        for key in keys[:PAGE]:
            value, offset = topic.newest[key]
            size += len(value)
            encoded = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": encoded, "offset": offset})
            if size > 1 << 20:
                break
        return OK, {"items": items, "more": len(items) < len(keys), "end": len(topic.records)}


def decode(payload: bytes) -> list[tuple[bytes, bytes]]:
    """Return the keys and values of keyed records."""
    found = []
    position = 0
    while position < len(payload):
        length = int.from_bytes(payload[position : position + 4], "big")
        body = payload[position + 4 : position + 4 + length]
        found.append((body[1 : 1 + body[0]], body[1 + body[0] :]))
        position += 4 + length
    return found


class Run:
    """What runs on a worker."""

    def __init__(self, task: str, number: int, seconds: float, lasts: bool) -> None:
        self.task = task
        self.number = number
        self.began = time.monotonic()
        self.seconds = seconds
        self.lasts = lasts

    @property
    def percent(self) -> int:
        """Return its progress."""
        if self.lasts:
            return 100
        return min(99, int(100 * (time.monotonic() - self.began) / self.seconds))


class Worker:
    """A machine with one life of a worker after the other.

    ``seconds_of`` returns how long a task works, from its spec.
    """

    def __init__(
        self,
        cell: "Cell",
        machine: str,
        capacity: dict[str, int],
        labels: list[str],
    ) -> None:
        self.cell = cell
        self.machine = machine
        self.capacity = capacity
        self.labels = labels
        self.id = ""
        self.address = ""
        self.up = False
        self._server = Server(self.answer)
        self._beats: asyncio.Task[None] | None = None
        self._lives = 0
        self._port = ("127.0.0.1", 0)

    async def start(self) -> None:
        """Begin a life: a new id, nothing runs, no fence seen."""
        self._lives += 1
        self.id = f"i-{random.getrandbits(40):010x}"
        self.runs: dict[str, Run] = {}
        self.ended: list[list[object]] = []
        self.over: dict[str, int] = {}
        self.number = 0
        self.fence = 0
        self.lease_until = 0.0
        self.seq = 0
        self._born = time.monotonic() - random.uniform(100.0, 1000.0)
        self._change = asyncio.Event()
        self._server = Server(self.answer, self._port)
        self.address = await self._server.start()
        host, _, port = self.address.rpartition(":")
        self._port = (host, int(port))
        self.up = True
        self._beats = asyncio.create_task(self._live())
        self.cell.record.add(f"worker {self.id} is up on machine {self.machine}")

    def crash(self) -> None:
        """End without a word: connections are reset, the address refuses."""
        self.up = False
        if self._beats is not None:
            self._beats.cancel()
        self._server.kill()
        lost = [(run.task, run.number) for run in self.runs.values()]
        self.cell.record.add(f"worker {self.id} on machine {self.machine} crashed; lost {lost}")
        asyncio.get_running_loop().call_later(SILENT_BEATS * HEARTBEAT_S, self._lapse, self.id)

    def _lapse(self, worker: str) -> None:
        self.cell.store.put("keyed.servers", worker, None)

    def clock_ms(self) -> float:
        """Return the time on the worker's steady clock."""
        return (time.monotonic() - self._born) * 1000

    async def _live(self) -> None:
        beat_at = 0.0
        while True:
            if time.monotonic() >= beat_at:
                beat_at = time.monotonic() + HEARTBEAT_S
                self.beat()
            for run in list(self.runs.values()):
                if self.clock_ms() > self.lease_until:
                    self._end(run, "lapsed")
                elif not run.lasts and time.monotonic() - run.began >= run.seconds:
                    self._end(run, self.cell.end_of(run))
            await asyncio.sleep(0.01)

    def beat(self) -> None:
        """Write the entry."""
        self.seq += 1
        self.cell.store.put("keyed.servers", self.id, self.entry())

    def entry(self) -> dict[str, object]:
        """Return the worker's entry."""
        return {
            "service": SERVICE,
            "addr": self.address,
            "zone": "sala-norte",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "machine": self.machine,
            "clockMs": int(self.clock_ms()),
            "seq": self.seq,
        }

    def _end(self, run: Run, how: str) -> None:
        if self.runs.pop(run.task, None) is None:
            return
        self.number += 1
        self.over[run.task] = max(self.over.get(run.task, 0), run.number)
        self.ended.append([self.number, run.task, run.number, how, ""])
        self.cell.record.add(f"worker {self.id} ends {run.task} run {run.number}: {how}")
        self.cell.ends.append((run.task, run.number, how))
        self._change.set()
        self._change = asyncio.Event()

    async def answer(self, request: Request) -> tuple[int, object]:
        """Answer a call."""
        expected = request.headers.get("expect-instance", self.id)
        if expected != self.id:
            return WRONG_LIFE, {}
        call = request.json()
        if int(call.get("fence", 0)) < self.fence:
            return CONFLICT, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fence = int(call.get("fence", 0))
        if request.path == "/api/hold":
            return await self._hold(call)
        if request.path == "/api/run-start":
            status, reason = self._start(call)
            answer = {"clockMs": self.clock_ms()} | ({"reason": reason} if reason else {})
            self.cell.started(self, call, status, reason)
            return status, answer
        if request.path == "/api/run-stop":
            await self._stop(call)
        return OK, {"clockMs": self.clock_ms()}

    def _extend(self, until: float) -> None:
        longest = self.clock_ms() + HOLD_MAX_S * 1000
        self.lease_until = max(self.lease_until, min(until, longest))

    async def _hold(self, call: dict[str, Any]) -> tuple[int, object]:
        self._extend(float(call.get("untilMs", 0)))
        acked = int(call.get("ackedUpto", 0))
        self.ended = [end for end in self.ended if int(str(end[0])) > acked]
        wait = min(int(call.get("waitMs", 0)), 2000) / 1000
        if wait and not self.ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._change.wait(), wait)
        running = [[run.task, run.number, "", run.percent] for run in self.runs.values()]
        return OK, {"clockMs": self.clock_ms(), "running": running, "ended": self.ended[:PAGE]}

    def _start(self, call: dict[str, Any]) -> tuple[int, str]:
        task, number, until = call["task"], int(call["run"]), float(call["untilMs"])
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return OK, ""
        if number <= self.over.get(task, 0):
            return CONFLICT, "old"
        if until < self.clock_ms():
            return CONFLICT, "late"
        refused = self.cell.refusal(self, call)
        if refused:
            return CONFLICT, refused
        self._extend(until)
        seconds, lasts = self.cell.work_of(call["spec"])
        self.runs[task] = Run(task, number, seconds, lasts)
        return OK, ""

    async def _stop(self, call: dict[str, Any]) -> None:
        run = self.runs.get(call["task"])
        self.over[call["task"]] = max(self.over.get(call["task"], 0), int(call["run"]))
        if run is not None and run.number <= int(call["run"]):
            await asyncio.sleep(STOP_S)
            self._end(run, "stopped")

    def close(self) -> None:
        """Stop for good."""
        if self._beats is not None:
            self._beats.cancel()
        self._server.kill()


class Cell:
    """The workers, the advice service, and what they have seen."""

    def __init__(self, store: Store, record: Record) -> None:
        self.store = store
        self.record = record
        self.workers: list[Worker] = []
        self.ends: list[tuple[str, int, str]] = []
        self.starts: list[tuple[float, str, int, str]] = []
        """When, task, run and worker of each start that was carried out."""
        self.refused: list[tuple[float, str, str]] = []
        """When, task and reason of each refused start."""
        self.needs_ticket: Callable[[str], bool] = lambda job: False
        self.advised: list[str] = []
        self.advice_address = ""
        self._advice = Server(self._advise)

    async def start_advice(self) -> None:
        """Listen for requests for advice."""
        self.advice_address = await self._advice.start()

    async def move_advice(self) -> Callable[[], None]:
        """Serve advice at another address; return what closes the old one."""
        old, self._advice = self._advice, Server(self._advise)
        self.advice_address = await self._advice.start()
        return old.kill

    async def add(self, machine: str, capacity: dict[str, int], labels: list[str]) -> Worker:
        """Add a machine whose worker starts at once."""
        worker = Worker(self, machine, capacity, labels)
        self.workers.append(worker)
        await worker.start()
        return worker

    def work_of(self, spec: str) -> tuple[float, bool]:
        """Return the seconds that a task works, and whether it lasts; ``work=SECONDS`` in spec."""
        seconds = float(spec.partition("work=")[2].partition(" ")[0] or "1")
        return seconds, "lasts" in spec

    def end_of(self, run: Run) -> str:
        """Return how a run ends that has done its work."""
        return "done"

    def refusal(self, worker: Worker, call: dict[str, Any]) -> str:
        """Return why a start is refused, or an empty text."""
        job, _, _ = call["task"].partition(".")
        if self.needs_ticket(job) and call.get("ticket") != self._ticket(call["task"], worker.id):
            return "ticket"
        return ""

    @staticmethod
    def _ticket(task: str, worker: str) -> str:
        return f"{task.rpartition('.')[0]}-{worker}"

    def started(self, worker: Worker, call: dict[str, Any], status: int, reason: str) -> None:
        """Record the answer to a start."""
        entry = f"start of {call['task']} run {call['run']} at {worker.id}: {status} {reason}"
        if len(self.starts) + len(self.refused) < MAX_RECORDED_STARTS:
            self.record.add(entry + (" with ticket" if call.get("ticket") else ""))
        if status == OK:
            self.starts.append((self.record.seconds, call["task"], call["run"], worker.id))
        else:
            self.refused.append((self.record.seconds, call["task"], reason))

    async def _advise(self, request: Request) -> tuple[int, object]:
        call = request.json()
        self.record.add(f"advice asked for {call['step']} on {len(call['workers'])} workers")
        self.advised.append(call["step"])
        await asyncio.sleep(0.01)
        good = [[worker, f"{call['step']}-{worker}"] for worker in call["workers"]]
        return OK, {"good": good, "validMs": 3000}

    def close(self) -> None:
        """Stop all."""
        for worker in self.workers:
            worker.close()
        self._advice.kill()


def free_port(host: str) -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def free_network(nodes: int) -> int:
    """Return a loopback network in which the port of the figures is free on all machines."""
    for network in random.sample(range(1, 251), 50):
        try:
            for number in range(nodes):
                with socket.socket() as probe:
                    probe.bind((f"127.{network}.7.{number + 1}", METRICS_PORT))
        except OSError:
            continue
        return network
    raise CannotRun("no loopback network is free")


class Node:
    """A machine of the system: the program of the deploy file, with its settings."""

    def __init__(self, name: str, host: str, folder: Path, cell: Cell, memory_mb: int) -> None:
        self.name = name
        self.front = f"{host}:{free_port(host)}"
        self.ready = f"{host}:{free_port(host)}"
        self.memory_mb = memory_mb
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.peak_mb = 0.0
        self._file = folder / f"{name}.json"
        self._log = (folder / f"{name}.log").open("ab")
        port = free_port(host)
        self.settings: dict[str, Any] = {
            "nodeName": name,
            "role": "scheduler",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": host,
            "zone": "sala-norte",
            "region": "valle-aburra",
            "zones": {"sala-norte": "valle-aburra"},
            "listen": {"front": self.front, "ready": self.ready},
            "portRange": [port, port + 15],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": memory_mb,
                "maxFds": 4200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "recover", "sched", "platform", "advice"],
            "bounds": BOUNDS,
            "orders": "call",
            "advice": cell.advice_address,
            "platform": {
                "addr": cell.store.address,
                "form": "log",
                "writes_per_s": 600,
                "reads_per_s": 2000,
                "parts": 12,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "keep_s": 20,
            },
        }

    def write_settings(self) -> None:
        """Write the settings file."""
        self._file.write_text(json.dumps(self.settings))

    async def start(self) -> None:
        """Start the program with the settings of this moment."""
        self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["scheduler"]["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        kept |= {"PYTHONPATH": str(ROOT / "target" / "deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={**kept, "SABLEMOUNT_BOOT": str(self._file)},
            stdout=self._log,
            stderr=self._log,
        )
        self.starts += 1

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def memory(self) -> float:
        """Return the memory that the process holds, in MB."""
        if not self.running or self.process is None:
            return 0.0
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        used = text.partition("VmRSS:")[2].split()
        held = float(used[0]) / 1024 if used else 0.0
        self.peak_mb = max(self.peak_mb, held)
        return held

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.running and self.process is not None:
            self.process.send_signal(number)

    def last_lines(self) -> str:
        """Return the last that the process has written."""
        return "\n".join(Path(self._log.name).read_text().splitlines()[-5:])

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        status, _ = await fetch(self.ready, "GET", "/api/readyz", timeout=1.0)
        return status == OK

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self._log.close()


def route(name: str, prefix: str, **more: object) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "unsafe",
        "timeoutMs": 3000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 3,
        "stretch": 2.0,
        **more,
    }


def configuration(version: int, routes: list[dict[str, object]]) -> dict[str, object]:
    """Return a configuration."""
    service = {
        "name": SERVICE,
        "healthPath": "/healthz",
        "maxConns": 64,
        "protocol": "h1",
        "tls": False,
        "rejectsOverload": False,
        "spare": False,
    }
    return {"version": version, "routes": routes, "services": [service], "limits": {}}


class Deployment:
    """A small deployment: store, workers, advice, and the project's processes."""

    def __init__(self, record_file: Path) -> None:
        self.record = Record(record_file)
        self.store = Store()
        self.cell = Cell(self.store, self.record)
        self.nodes: list[Node] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.logs = Path(self._folder.name)

    async def start(self, nodes: int, memory_mb: int = 300) -> None:
        """Start the processes, and wait until all are ready."""
        network = free_network(nodes)
        for number in range(nodes):
            host = f"127.{network}.7.{number + 1}"
            node = Node(f"edge-{number + 1}", host, self.logs, self.cell, memory_mb)
            self.nodes.append(node)
            await node.start()
        for _ in range(200):
            if all([await node.is_ready() for node in self.nodes]):
                self.record.add("all nodes are ready")
                return
            await asyncio.sleep(0.1)
        for node in self.nodes:
            code = None if node.process is None else node.process.returncode
            self.record.add(f"{node.name}: exit {code}, its last lines:\n{node.last_lines()}")
        raise CannotRun("the nodes did not become ready")

    async def call(
        self, method: str, path: str, body: object = None, node: Node | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's request to a node that is ready, and record the answer."""
        ready = [each for each in self.nodes if each.running] or self.nodes
        chosen = node or random.choice(ready)
        headers = {"Deadline-Ms": "3000"}
        status, answer = await fetch(chosen.front, method, path, body, 3.0, headers)
        try:
            decoded = json.loads(answer) if answer else {}
        except ValueError:
            decoded = {}
        shown = "" if body is None else " " + json.dumps(body)[:300]
        self.record.add(f"{method} {path}{shown} at {chosen.name}: {status} {decoded}")
        return status, decoded

    async def submit(self, prefix: str, job: dict[str, object]) -> str:
        """Hand a job in until it is accepted, and return its id."""
        name = f"{random.getrandbits(64):016x}"
        for _ in range(10):
            status, _ = await self.call("POST", prefix + name, job)
            if status == OK:
                return name
            await asyncio.sleep(0.5)
        raise CannotRun("a job was not accepted")

    async def state(self, prefix: str, name: str) -> str:
        """Return a job's state, or the status of the answer."""
        status, answer = await self.call("GET", prefix + name)
        return str(answer.get("state", status)) if status == OK else str(status)

    async def close(self) -> None:
        """End everything that was started."""
        for node in self.nodes:
            await node.end()
        self.cell.close()
        self._folder.cleanup()


def main(record_file: Path, case: Callable[[Deployment], Awaitable[int]]) -> None:
    """Play a case, write its record, and exit with its code."""

    async def play() -> int:
        deployment = Deployment(record_file)
        playing = asyncio.current_task()
        if playing is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        try:
            await deployment.store.start()
            await deployment.cell.start_advice()
            async with asyncio.timeout(115):
                return await case(deployment)
        except (CannotRun, TimeoutError, asyncio.CancelledError) as error:
            deployment.record.add(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await deployment.close()

    sys.exit(asyncio.run(play()))
