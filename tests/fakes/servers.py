"""HTTP servers for the fakes, with the platform's protocols as the adapters assume them."""

import asyncio
import time
from collections.abc import Sequence

import msgspec
from tornado import httpserver, netutil, web

from sablemount.adapters.cell_services import ReadReply
from sablemount.adapters.workers import REFUSED_HEADER, REQUEST_HEADER, PollReply
from sablemount.boottime import monotonic
from sablemount.core.actions import Poll, StartRun
from sablemount.core.documents import Shape
from sablemount.core.facts import VmFacts
from tests.fakes.log import AnswerLost, FakeLog, LogUnavailable
from tests.fakes.worker import FakeWorker, GroundTruth

LOOPBACK = "127.0.0.1"
LOST_ANSWER_DELAY_S = 5.0
"""Delay of an answer that counts as lost; longer than the callers' timeouts."""


def listen(application: web.Application, port: int = 0) -> tuple[httpserver.HTTPServer, int]:
    """Serve on a loopback port, by default a free one; return the server and the port."""
    sockets = netutil.bind_sockets(port, LOOPBACK)
    server = httpserver.HTTPServer(application)
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


class StaticVm:
    """A VM that is always up, for workers that run in other processes."""

    up = True

    def __init__(self, facts: VmFacts) -> None:
        self.facts = facts


class PlatformServer:
    """The log service and the VM list on one port."""

    def __init__(
        self, workers: Sequence["WorkerServer | StaticVm"], retention: int = 1_000_000
    ) -> None:
        self.log = FakeLog(retention)
        self.workers = workers
        routes = [
            (r"/append", _Append, {"platform": self}),
            (r"/read", _Read, {"platform": self}),
            (r"/vms", _VmList, {"platform": self}),
        ]
        application = web.Application(routes, log_function=lambda handler: None)
        self.server, self.port = listen(application)

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self.port}"


class _PlatformHandler(web.RequestHandler):
    def initialize(self, platform: PlatformServer) -> None:
        self.platform = platform


class _Append(_PlatformHandler):
    async def post(self) -> None:
        try:
            self.platform.log.append(self.request.body, time.time())
        except LogUnavailable:
            self.set_status(503)
        except AnswerLost:
            await asyncio.sleep(LOST_ANSWER_DELAY_S)


class _Read(_PlatformHandler):
    def get(self) -> None:
        log = self.platform.log
        after = int(self.get_query_argument("after"))
        try:
            entries = log.read(after, int(self.get_query_argument("limit")))
        except LogUnavailable:
            self.set_status(503)
            return
        self.finish(msgspec.msgpack.encode(ReadReply(log.head, log.first, entries)))


class _VmList(_PlatformHandler):
    def get(self) -> None:
        listed = [vm.facts for vm in self.platform.workers if vm.up]
        self.finish(msgspec.json.encode(listed))


class WorkerServer:
    """One worker on its own port; with ``cut_short`` it closes the connection within an answer."""

    def __init__(self, facts: VmFacts, truth: GroundTruth, service_time: float = 0.0) -> None:
        self.service_time = service_time
        self.cut_short = False
        routes = [
            (r"/runs", _Runs, {"owner": self}),
            (r"/poll", _Poll, {"owner": self}),
            (r"/serve", _Serve, {"owner": self}),
        ]
        application = web.Application(routes, log_function=lambda handler: None)
        self.server, self.port = listen(application)
        self.facts = msgspec.structs.replace(facts, address=f"{LOOPBACK}:{self.port}")
        self.worker = FakeWorker(self.facts, truth, f"boot-{self.port}")

    @property
    def up(self) -> bool:
        return self.worker.up


class _WorkerHandler(web.RequestHandler):
    def initialize(self, owner: WorkerServer) -> None:
        self.owner = owner
        self.worker = owner.worker


class _Runs(_WorkerHandler):
    def post(self) -> None:
        action = msgspec.json.decode(self.request.body, type=StartRun)
        now = monotonic()
        started = self.worker.start(action.run, action.shape, action.lease, action.seconds, now)
        if not started:
            self.set_status(503)
            self.set_header(REFUSED_HEADER, "1")


class _Poll(_WorkerHandler):
    def post(self) -> None:
        action = msgspec.json.decode(self.request.body, type=Poll)
        worker = self.worker
        reports = worker.poll(
            action.renew, action.acknowledge, action.commands, action.lease, monotonic()
        )
        reply = PollReply(worker.boot, worker.leaving, reports, tuple(worker.requests))
        self.finish(msgspec.json.encode(reply))


class _Serve(_WorkerHandler):
    async def post(self) -> None:
        request = self.request.headers[REQUEST_HEADER]
        self.worker.begin(request, monotonic())
        try:
            if self.owner.service_time:
                await asyncio.sleep(self.owner.service_time)
            self.set_header(REQUEST_HEADER, request)
            if self.owner.cut_short:
                self.set_header("Content-Length", "1000")
                self.write(b"part")
                await self.flush()
                self.request.connection.close()  # type: ignore[attr-defined]
            else:
                self.finish(b"quote for " + self.request.body)
        finally:
            self.worker.end(request)


def make_workers(
    count: int,
    truth: GroundTruth,
    halls: tuple[str, ...],
    rack: int,
    service_time: float = 0.0,
    prefix: str = "vm",
) -> list[WorkerServer]:
    """Return workers of 16 cores, 64 GB and 8 slots, spread over the halls."""
    capacity = Shape(cores=16, memory_mb=65_536, slots=8)
    servers = []
    for index in range(count):
        hall = halls[index % len(halls)]
        rack_name = f"{hall}-rack-{index // (rack * len(halls))}"
        facts = VmFacts(f"{prefix}-{index:02d}", "", hall, rack_name, capacity)
        servers.append(WorkerServer(facts, truth, service_time))
    return servers
