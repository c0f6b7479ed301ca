"""The runtime: carries out the core's actions over real sockets and feeds it events.

One process, one thread, one event loop. The core runs to completion on each event.
"""

import asyncio
import itertools
import logging
import os
import random
import time
from collections import deque
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod

from result import Err, Ok, Result

from sablemount.adapters.cell_services import HttpLog, HttpVmList
from sablemount.adapters.ports import LogPort, VmListPort, WorkerPort
from sablemount.adapters.upstream import UpstreamPool
from sablemount.adapters.workers import HttpWorkers
from sablemount.boottime import monotonic
from sablemount.core import actions, events
from sablemount.core.messages import PeerMessage
from sablemount.core.records import Writer
from sablemount.core.scheduler import Scheduler
from sablemount.core.verdict import Failure, Reason, ServeResult, Verdict
from sablemount.metrics import PrometheusMeter
from sablemount.peer.link import PeerLinks, PeerServer
from sablemount.report import BurnHistory
from sablemount.settings import Settings

__all__ = ["Runtime"]

LIST_INTERVAL = 1.0
"""Time between two reads of the VM list, in seconds."""
PEER_GRACE = 2.0
"""How long the peer server waits for calls in flight when it stops, in seconds."""

_logger = logging.getLogger("sablemount.runtime")


class Runtime:
    """One scheduler process: its core and the adapters around it."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.meter = PrometheusMeter()
        self.burn = BurnHistory()
        core = settings.core
        names = tuple(peer.name for peer in settings.peers if peer.name != settings.name)
        incarnation = time.time_ns() // 1_000_000
        self.scheduler = Scheduler(
            core,
            Writer(settings.name, incarnation),
            settings.hall,
            names,
            random.Random(),
            monotonic(),
            self.meter,
        )
        self._pool = UpstreamPool(settings.limits.worker_connections)
        self.log: LogPort = HttpLog(
            settings.log_service, self.meter, core.append_timeout, core.read_timeout
        )
        self.vm_list: VmListPort = HttpVmList(settings.vm_list, core.read_timeout)
        self.workers: WorkerPort = HttpWorkers(self._pool, self.meter, core.worker_timeout)
        addresses = {peer.name: peer.address for peer in settings.peers}
        addresses.pop(settings.name, None)
        self.links = PeerLinks(addresses, self.meter)
        self.peer_server = PeerServer(self._deliver, self.serve)
        self.peer_port = 0
        self.stopped = asyncio.Event()
        self.failed = False
        self._events: deque[events.Event] = deque()
        self._running = False
        self._callers: dict[str, Callable[[ServeResult], None]] = {}
        self._commands: dict[str, asyncio.Future[Failure | None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._tokens = itertools.count(1)
        self._prefix = f"{settings.name}-{incarnation:x}-{os.getpid():x}"

    # -- Life --------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start the peer server and the periodic work."""
        self.peer_port = await self.peer_server.start(self.settings.peer_listen)
        self._spawn(self._tick_forever())
        self._spawn(self._list_forever())
        _logger.info("started as %s", self.scheduler.state.writer)

    async def close(self) -> None:
        """End what still runs; whoever waits for an answer is told what may have happened."""
        for task in self._tasks:
            task.cancel()
        await self.peer_server.stop(PEER_GRACE)
        await self.links.close()
        self._pool.close()
        lost = Failure(Verdict.MAY_HAVE_RUN, Reason.STOPPING, "the scheduler stopped")
        for answer in list(self._callers.values()):
            answer(Err(lost))
        for future in self._commands.values():
            if not future.done():
                future.set_result(lost)

    def stop(self) -> None:
        """Begin the planned stop; ``stopped`` is set when nothing is left."""
        _logger.info("planned stop requested")
        self.dispatch(events.StopRequested())

    def _spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._fail(task.exception())

    def _fail(self, error: BaseException | None) -> None:
        """Stop at once: a half-changed table must not be acted on."""
        if not self.failed:
            _logger.critical("internal error, stopping", exc_info=error)
        self.failed = True
        self.stopped.set()

    async def _tick_forever(self) -> None:
        while True:
            self.dispatch(events.Tick())
            self.burn.note(monotonic(), self.meter.counters)
            await asyncio.sleep(self.settings.core.tick)

    async def _list_forever(self) -> None:
        while True:
            listed = await self.vm_list.vms()
            if listed is not None:
                self.dispatch(listed)
            await asyncio.sleep(LIST_INTERVAL)

    # -- Events and actions ------------------------------------------------------------------

    def dispatch(self, event: events.Event) -> None:
        """Hand an event to the core and carry out what it gives."""
        self._events.append(event)
        if self._running or self.failed:
            return
        self._running = True
        try:
            while self._events:
                for action in self.scheduler.handle(self._events.popleft(), monotonic()):
                    self._perform(action)
        except Exception as error:
            self._fail(error)
        finally:
            self._running = False

    async def _report(self, work: Coroutine[object, object, events.Event]) -> None:
        self.dispatch(await work)

    @singledispatchmethod
    def _perform(self, action: object) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_perform.register
    def _(self, action: actions.ReadLog) -> None:
        self._spawn(self._report(self.log.read(action)))

    @_perform.register
    def _(self, action: actions.AppendLog) -> None:
        self._spawn(self._report(self.log.append(action)))

    @_perform.register
    def _(self, action: actions.StartRun) -> None:
        self._spawn(self._report(self.workers.start(action, self._address(action.vm))))

    @_perform.register
    def _(self, action: actions.Poll) -> None:
        self._spawn(self._report(self.workers.poll(action, self._address(action.vm))))

    @_perform.register
    def _(self, action: actions.Serve) -> None:
        self._spawn(self._report(self.workers.serve(action, self._address(action.vm))))

    @_perform.register
    def _(self, action: actions.Forward) -> None:
        self._spawn(self._report(self.links.forward(action)))

    @_perform.register
    def _(self, action: actions.SendPeer) -> None:
        self._spawn(self.links.send(action))

    @_perform.register
    def _(self, action: actions.AnswerRequest) -> None:
        answer = self._callers.pop(action.request, None)
        if answer is not None:
            answer(action.result)

    @_perform.register
    def _(self, action: actions.AnswerCommand) -> None:
        future = self._commands.pop(action.token, None)
        if future is not None and not future.done():
            future.set_result(action.failure)

    @_perform.register
    def _(self, action: actions.Stopped) -> None:
        _logger.info("planned stop complete")
        self.stopped.set()

    def _address(self, vm: str) -> str:
        return self.scheduler.state.vms[vm].address

    # -- Callers -----------------------------------------------------------------------------

    def new_id(self) -> str:
        """Return an id that no other request of the cell has."""
        return f"{self._prefix}-{next(self._tokens):x}"

    def request(
        self, arrival: events.RequestArrived, answer: Callable[[ServeResult], None]
    ) -> None:
        """Take a request; ``answer`` is called exactly once."""
        self._callers[arrival.request] = answer
        self.dispatch(arrival)

    def withdraw(self, request: str) -> None:
        """Forget a caller that has gone."""
        if self._callers.pop(request, None) is not None:
            self.dispatch(events.RequestWithdrawn(request))

    async def serve(self, arrival: events.RequestArrived) -> ServeResult:
        """Take a peer's request and wait for its answer."""
        future: asyncio.Future[ServeResult] = asyncio.get_running_loop().create_future()

        def answer(result: ServeResult) -> None:
            if not future.done():
                future.set_result(result)

        self.request(arrival, answer)
        return await future

    async def command(self, event: events.Event, token: str) -> Result[None, Failure]:
        """Hand in a command under its token and wait until the log has settled it."""
        future: asyncio.Future[Failure | None] = asyncio.get_running_loop().create_future()
        self._commands[token] = future
        self.dispatch(event)
        failure = await future
        return Ok(None) if failure is None else Err(failure)

    def _deliver(self, message: PeerMessage) -> None:
        self.dispatch(events.PeerReceived(message))
