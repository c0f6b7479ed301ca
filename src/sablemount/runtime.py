"""The runtime: performs the core's actions over real sockets and dispatches events to it.

A process has one thread and one event loop. The core handles each event to completion.
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

VM_LIST_INTERVAL_S = 1.0
"""Interval between reads of the VM list."""
PEER_STOP_GRACE_S = 2.0
"""How long a stopping peer server waits for calls in flight."""

_logger = logging.getLogger("sablemount.runtime")


class Runtime:
    """One scheduler process: the core and the adapters around it."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.meter = PrometheusMeter()
        self.burn_history = BurnHistory()
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
        self.peer_links = PeerLinks(addresses, self.meter)
        self.peer_server = PeerServer(self._on_peer_message, self.serve)
        self.peer_port = 0
        self.stopped = asyncio.Event()
        self.failed = False
        self._event_queue: deque[events.Event] = deque()
        self._dispatching = False
        self._answer_callbacks: dict[str, Callable[[ServeResult], None]] = {}
        self._pending_commands: dict[str, asyncio.Future[Failure | None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._id_numbers = itertools.count(1)
        self._id_prefix = f"{settings.name}-{incarnation:x}-{os.getpid():x}"

    # -- Lifecycle ---------------------------------------------------------------------------

    async def start(self) -> None:
        """Start the peer server and the periodic tasks."""
        self.peer_port = await self.peer_server.start(self.settings.peer_listen)
        self._spawn(self._run_ticks())
        self._spawn(self._poll_vm_list())
        _logger.info("started as %s", self.scheduler.state.writer)

    async def close(self) -> None:
        """Cancel what still runs and answer every pending call with ``MAY_HAVE_RUN``."""
        for task in self._tasks:
            task.cancel()
        await self.peer_server.stop(PEER_STOP_GRACE_S)
        await self.peer_links.close()
        self._pool.close()
        unanswered = Failure(Verdict.MAY_HAVE_RUN, Reason.STOPPING, "the scheduler stopped")
        for answer in list(self._answer_callbacks.values()):
            answer(Err(unanswered))
        for future in self._pending_commands.values():
            if not future.done():
                future.set_result(unanswered)

    def stop(self) -> None:
        """Begin the planned stop; ``stopped`` is set once no work is left."""
        _logger.info("planned stop requested")
        self.dispatch(events.StopRequested())

    def _spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._fail(task.exception())

    def _fail(self, error: BaseException | None) -> None:
        """Stop at once: tables that an exception left half changed must not be acted on."""
        if not self.failed:
            _logger.critical("internal error, stopping", exc_info=error)
        self.failed = True
        self.stopped.set()

    async def _run_ticks(self) -> None:
        while True:
            self.dispatch(events.Tick())
            self.burn_history.record_step(monotonic(), self.meter.counters)
            await asyncio.sleep(self.settings.core.tick)

    async def _poll_vm_list(self) -> None:
        while True:
            listed = await self.vm_list.vms()
            if listed is not None:
                self.dispatch(listed)
            await asyncio.sleep(VM_LIST_INTERVAL_S)

    # -- Events and actions ------------------------------------------------------------------

    def dispatch(self, event: events.Event) -> None:
        """Let the core handle an event and perform the actions that it returns.

        An event that is dispatched while another is handled waits for its turn.
        """
        self._event_queue.append(event)
        if self._dispatching or self.failed:
            return
        self._dispatching = True
        try:
            while self._event_queue:
                for action in self.scheduler.handle(self._event_queue.popleft(), monotonic()):
                    self._perform(action)
        except Exception as error:
            self._fail(error)
        finally:
            self._dispatching = False

    async def _dispatch_result(self, work: Coroutine[object, object, events.Event]) -> None:
        self.dispatch(await work)

    @singledispatchmethod
    def _perform(self, action: object) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_perform.register
    def _(self, action: actions.ReadLog) -> None:
        self._spawn(self._dispatch_result(self.log.read(action)))

    @_perform.register
    def _(self, action: actions.AppendLog) -> None:
        self._spawn(self._dispatch_result(self.log.append(action)))

    @_perform.register
    def _(self, action: actions.StartRun) -> None:
        self._spawn(self._dispatch_result(self.workers.start(action, self._vm_address(action.vm))))

    @_perform.register
    def _(self, action: actions.Poll) -> None:
        self._spawn(self._dispatch_result(self.workers.poll(action, self._vm_address(action.vm))))

    @_perform.register
    def _(self, action: actions.Serve) -> None:
        self._spawn(self._dispatch_result(self.workers.serve(action, self._vm_address(action.vm))))

    @_perform.register
    def _(self, action: actions.Forward) -> None:
        self._spawn(self._dispatch_result(self.peer_links.forward(action)))

    @_perform.register
    def _(self, action: actions.SendPeer) -> None:
        self._spawn(self.peer_links.send(action))

    @_perform.register
    def _(self, action: actions.AnswerRequest) -> None:
        answer = self._answer_callbacks.pop(action.request, None)
        if answer is not None:
            answer(action.result)

    @_perform.register
    def _(self, action: actions.AnswerCommand) -> None:
        future = self._pending_commands.pop(action.token, None)
        if future is not None and not future.done():
            future.set_result(action.failure)

    @_perform.register
    def _(self, action: actions.Stopped) -> None:
        _logger.info("planned stop complete")
        self.stopped.set()

    def _vm_address(self, vm: str) -> str:
        return self.scheduler.state.vms[vm].address

    # -- Callers -----------------------------------------------------------------------------

    def new_id(self) -> str:
        """Return an id that is unique among the requests of the cell."""
        return f"{self._id_prefix}-{next(self._id_numbers):x}"

    def submit_request(
        self, arrival: events.RequestArrived, answer: Callable[[ServeResult], None]
    ) -> None:
        """Submit a request; ``answer`` is called exactly once, unless the caller withdraws."""
        self._answer_callbacks[arrival.request] = answer
        self.dispatch(arrival)

    def withdraw_request(self, request: str) -> None:
        """Drop a request whose caller has disconnected; its ``answer`` is not called."""
        if self._answer_callbacks.pop(request, None) is not None:
            self.dispatch(events.RequestWithdrawn(request))

    async def serve(self, arrival: events.RequestArrived) -> ServeResult:
        """Serve a request that a peer forwarded and return its result."""
        future: asyncio.Future[ServeResult] = asyncio.get_running_loop().create_future()

        def answer(result: ServeResult) -> None:
            if not future.done():
                future.set_result(result)

        self.submit_request(arrival, answer)
        return await future

    async def run_command(self, event: events.Event, token: str) -> Result[None, Failure]:
        """Dispatch a command under its token and wait until the log has settled it."""
        future: asyncio.Future[Failure | None] = asyncio.get_running_loop().create_future()
        self._pending_commands[token] = future
        self.dispatch(event)
        failure = await future
        return Ok(None) if failure is None else Err(failure)

    def _on_peer_message(self, message: PeerMessage) -> None:
        self.dispatch(events.PeerReceived(message))
