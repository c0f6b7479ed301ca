"""One leadership: loads what lasts, then runs the job scheduler until it is over."""

import asyncio
import contextlib
import logging
import random
from collections.abc import Coroutine, Sequence

from sablemount.control.clock import LoopClock, monotonic
from sablemount.control.commit import Committer, LostLeadership
from sablemount.control.figures import Figures
from sablemount.control.follow import Follower, read_newest
from sablemount.control.messages import (
    AdviceReply,
    AdviseCall,
    CallerCall,
    CallerReply,
    Operation,
    Outcome,
    not_taken,
)
from sablemount.control.network import CallFailed, Link
from sablemount.control.ports import AdvicePort, DirectoryCodec, VmPort
from sablemount.control.store import PageItem, Store, Topic
from sablemount.control.vm_calls import VmCalls
from sablemount.jobs.actions import Action, AskAdvice, StartRun, StopRun
from sablemount.jobs.journal import Batch
from sablemount.jobs.model import JobSpec, Queue, check_spec, queue_for
from sablemount.jobs.records import Record
from sablemount.jobs.scheduler import JobScheduler, Submission
from sablemount.jobs.settings import JobSettings
from sablemount.jobs.tables import JobState

__all__ = ["Leader", "LeaderPorts"]

TICK = 0.05
"""Seconds between ticks when nothing happens."""
COALESCE = 0.004
"""Seconds that an event waits for others before the systems run."""
CONFIRM_INTERVAL = 0.5
AUTHORITY_TIME = 1.5
"""Seconds for which orders may be given after the store has last confirmed the leadership."""
PEERS_TIME = 1.0
"""Seconds for which the members' pings stand in for a store that answers nobody."""
AUTHORITY_LIMIT = 30.0
"""Seconds for which they may do so."""
WOKEN_AFTER = 1.0
"""A gap between ticks beyond this many seconds means that the process was paused."""
LOAD_TIMEOUT = 1.0
LOAD_PAUSE = 0.1
STORE_STUCK = 0.6
"""Seconds without an answer after which the store counts as not answering, for new work."""
ACCEPT_TIMEOUT = 1.5
"""Seconds after which a caller is told that its job may have been accepted."""
CONFIG_WAIT = 1.0
VMS_WAIT = 1.0
ADVICE_SLACK = 0.25
COMMIT_PAUSE = 0.015
PIPELINE_AFTER = 0.04
"""Seconds that a batch waits for the answer to the one before."""
PIPELINE_DEPTH = 4
"""Appends in flight at most: the store remembers the answers to the last five."""
PIPELINE_POLL = 0.01
CLOSE_TIME = 0.5
CLOSE_POLL = 0.005
MAX_NAME = 64
SUCCESSOR_CORES = 0.9
SUCCESSOR_AGE = 0.5
"""Seconds since its start after which a member may be asked to take over."""

_logger = logging.getLogger("sablemount.control.leader")


class LeaderPorts:
    """The adapters that a leader uses."""

    def __init__(
        self, store: Store, vms: VmPort, advice: AdvicePort, codec: DirectoryCodec
    ) -> None:
        self.store = store
        self.vms = vms
        self.advice = advice
        self.codec = codec


class Leader:
    """Leads under one epoch."""

    def __init__(
        self,
        name: str,
        epoch: int,
        ports: LeaderPorts,
        settings: JobSettings,
        rng: random.Random,
        figures: Figures,
    ) -> None:
        self.name = name
        self.epoch = epoch
        self.ports = ports
        self.figures = figures
        self.scheduler = JobScheduler(settings, epoch, LoopClock())
        self.scheduler.reconcile.on_outcome = self._count_end
        self.committer = Committer(ports.store, epoch, rng)
        self.calls = VmCalls(
            self.scheduler,
            ports.vms,
            epoch,
            self.authority,
            self._fenced_by_vm,
            self.kick,
            self._noted,
        )
        self.leading = False
        self.over = asyncio.Event()
        self.why = ""
        self.members: dict[str, Link] = {}
        self.member_heard: dict[str, float] = {}
        self.member_uptime: dict[str, float] = {}
        self.member_cores: dict[str, float] = {}
        self.closing = False
        self._kicked = asyncio.Event()
        self._commit_wanted = asyncio.Event()
        self._durable: list[asyncio.Future[None]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._ticked_at = monotonic()
        self._doubt = False

    # -- Life --------------------------------------------------------------------------------

    async def run(self) -> str:
        """Lead until it is over; return why it ended."""
        try:
            await self._load()
            self.leading = True
            _logger.info("leading", extra={"epoch": self.epoch, **self._sizes()})
            self._spawn(self._commit_forever())
            self._spawn(self._tick_forever())
            self._follow()
            await self.over.wait()
        except LostLeadership as lost:
            self.end(str(lost))
        finally:
            self.leading = False
            self._close()
        _logger.info("leads no more", extra={"epoch": self.epoch, "why": self.why})
        return self.why

    def end(self, why: str) -> None:
        """End the leadership; no order is given from now on."""
        if not self.over.is_set():
            self.why = why
            self.leading = False
            self.over.set()

    async def close(self) -> None:
        """Take no more calls, wait a little for what is being appended, and end."""
        self.closing = True
        last = monotonic() + CLOSE_TIME
        while self.committer.waiting_since > 0 and monotonic() < last:
            await asyncio.sleep(CLOSE_POLL)
        self.end("planned stop")

    def successors(self) -> list[str]:
        """Return the members in the order in which they are asked to take over.

        Of those that are strong enough, the one that started last goes first: when all are stopped
        in turn, it has had its turn.
        """
        ages = self.member_uptime
        grown = [name for name in self.members if ages.get(name, 0.0) > SUCCESSOR_AGE]
        weak = {name: self.member_cores.get(name, 1.0) < SUCCESSOR_CORES for name in grown}
        return sorted(grown, key=lambda name: (weak[name], ages[name]))

    def _close(self) -> None:
        self.calls.close()
        for task in self._tasks:
            task.cancel()
        for future in self._durable:
            if not future.done():
                future.cancel()

    def _count_end(self, outcome: str) -> None:
        self.figures.count("end", outcome)

    def _sizes(self) -> dict[str, int]:
        state = self.scheduler.state
        return {"jobs": len(state.jobs), "live": len(state.live), "vms": len(state.vms)}

    async def _load(self) -> None:
        await self.committer.open()
        while not self.over.is_set():
            loaded = await read_newest(self.ports.store, Topic.JOBS, LOAD_TIMEOUT)
            if loaded is not None:
                self.scheduler.now()
                self.scheduler.load([item.record for item in loaded[0]])
                return
            await asyncio.sleep(LOAD_PAUSE)

    def _follow(self) -> None:
        store = self.ports.store
        config = Follower(
            store, Topic.CONFIGURATION, self._configured, self._configured_more, CONFIG_WAIT
        )
        vms = Follower(store, Topic.VMS, self._vms_listed, self._vms_told, VMS_WAIT)
        self._spawn(config.run())
        self._spawn(vms.run())

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        self._keep(asyncio.get_running_loop().create_task(work))

    def _keep(self, task: "asyncio.Task[None]") -> None:
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        if isinstance(error, LostLeadership):
            self.end(str(error))
            return
        _logger.error("internal error, leadership ends", exc_info=error)
        self.end("internal error")

    # -- Authority ---------------------------------------------------------------------------

    def authority(self) -> bool:
        """Tell whether orders may be given now."""
        now = monotonic()
        if not self.leading or self.over.is_set():
            return False
        if now - self._ticked_at > WOKEN_AFTER:
            # Woken from a pause: somebody else may lead, so the store is asked first.
            self._doubt = True
            self._commit_wanted.set()
        if self._doubt:
            return False
        age = now - self.committer.good_at
        if age < AUTHORITY_TIME:
            return True
        heard = any(now - at < PEERS_TIME for at in self.member_heard.values())
        return heard and age < AUTHORITY_LIMIT

    def store_age(self) -> float:
        """Return for how many seconds the store has not confirmed the leadership."""
        return monotonic() - self.committer.good_at

    def _fenced_by_vm(self, vm: str) -> None:
        self.end(f"VM {vm} has seen a later leader")

    # -- Time --------------------------------------------------------------------------------

    def kick(self) -> None:
        """Let the systems run soon."""
        self._kicked.set()

    async def _tick_forever(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK):
                    await self._kicked.wait()
            await asyncio.sleep(COALESCE)
            self._kicked.clear()
            self._tick()

    def _tick(self) -> None:
        self.authority()
        self._ticked_at = monotonic()
        self.scheduler.now()
        now = monotonic()
        lanes = {name for name, at in self.member_heard.items() if now - at < PEERS_TIME}
        self.scheduler.advice.set_lanes({self.name} | (lanes & self.members.keys()))
        if self.authority():
            for action in self.scheduler.tick():
                self._perform(action)
            self.calls.follow_new()
        if self.scheduler.journal.pending():
            self._commit_wanted.set()

    def _perform(self, action: Action) -> None:
        if isinstance(action, StartRun):
            _logger.info("start", extra={"task": action.task, "run": action.run, "vm": action.vm})
            self.figures.count("start")
            self.calls.start(action)
        elif isinstance(action, StopRun):
            _logger.info("stop", extra={"task": action.task, "run": action.run, "vm": action.vm})
            self.figures.count("stop")
            self.calls.stop(action)
        else:
            self._spawn(self._advise(action))

    # -- Commits -----------------------------------------------------------------------------

    async def _commit_forever(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CONFIRM_INTERVAL):
                    await self._commit_wanted.wait()
            self._commit_wanted.clear()
            commit = asyncio.ensure_future(self._commit())
            self._keep(commit)
            # Behind a slow answer the next batch is sent without waiting for it.
            await asyncio.wait([commit], timeout=PIPELINE_AFTER)
            while self.committer.in_flight >= PIPELINE_DEPTH:
                await asyncio.sleep(PIPELINE_POLL)
            # What comes meanwhile goes together: each call of the store costs.
            await asyncio.sleep(COMMIT_PAUSE)

    async def _commit(self) -> None:
        waiting = self._durable
        self._durable = []
        if self.scheduler.journal.pending():
            batch: Batch = self.scheduler.next_batch()
            sent_at = monotonic()
            await self.committer.append(batch.records)
            self.figures.observe("append", monotonic() - sent_at)
            self.figures.count("records", by=len(batch.records))
            self.scheduler.now()
            self.scheduler.durable(batch)
            self.kick()
        else:
            await self.committer.append([])
        self._doubt = False
        for future in waiting:
            if not future.done():
                future.set_result(None)
        if self.scheduler.journal.pending():
            self._commit_wanted.set()

    def _noted(self) -> "asyncio.Future[None]":
        """Return a future that is done once all that is to last by now is in the store."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._durable.append(future)
        self._commit_wanted.set()
        return future

    def _store_stuck(self) -> bool:
        since = self.committer.waiting_since
        return since > 0 and monotonic() - since > STORE_STUCK

    # -- The directory -----------------------------------------------------------------------

    def _configured(self, items: Sequence[PageItem], end: int) -> None:
        self._configured_more([item.record for item in items], end)

    def _configured_more(self, records: Sequence[Record], end: int) -> None:
        self.scheduler.now()
        for record in records:
            configuration = self.ports.codec.configuration(record)
            if configuration is not None and self.scheduler.configured(configuration):
                self.kick()

    def _vms_listed(self, items: Sequence[PageItem], end: int) -> None:
        self.scheduler.now()
        infos = [self.ports.codec.vm(item.record) for item in items]
        self.scheduler.listed([info for info in infos if info is not None])
        self.kick()

    def _vms_told(self, records: Sequence[Record], end: int) -> None:
        self.scheduler.now()
        for record in records:
            info = self.ports.codec.vm(record)
            if info is not None:
                self.scheduler.told(info)
            elif not record.value:
                self.scheduler.vms.left_list(record.key)
        self.kick()

    # -- Advice ------------------------------------------------------------------------------

    async def _advise(self, action: AskAdvice) -> None:
        timeout = 2 * action.cost + ADVICE_SLACK
        sent_at = monotonic()
        reply = await self._ask(action, timeout)
        self.figures.observe("advice", monotonic() - sent_at)
        self.figures.count("advice", "answered" if reply.ok else "failed")
        self.scheduler.now()
        advice = self.scheduler.advice
        if reply.ok:
            advice.answered(action.lane, action.step, action.vms, reply.good, reply.valid_ms)
        else:
            advice.failed(action.lane, action.step)
        self.kick()

    async def _ask(self, action: AskAdvice, timeout: float) -> AdviceReply:
        if action.lane == self.name:
            return await self.ports.advice.advise(action.step, action.vms, timeout)
        connection = self.members.get(action.lane)
        if connection is None:
            return AdviceReply(False)
        call = AdviseCall(action.step, action.vms, timeout)
        try:
            reply = await connection.call(call, timeout + ADVICE_SLACK)
        except CallFailed:
            return AdviceReply(False)
        return reply if isinstance(reply, AdviceReply) else AdviceReply(False)

    # -- Callers -----------------------------------------------------------------------------

    async def serve(self, call: CallerCall) -> CallerReply:
        """Answer a caller's request."""
        began = monotonic()
        reply = await self._serve(call)
        self.figures.observe(f"call_{call.operation.name.lower()}", monotonic() - began)
        self.figures.count(call.operation.name.lower(), reply.outcome.name.lower())
        return reply

    async def _serve(self, call: CallerCall) -> CallerReply:
        if self.closing or not self.leading or not self.authority():
            return not_taken("the leader is not sure that it leads")
        configuration = self.scheduler.state.configuration
        if configuration.version < 0:
            return not_taken("no configuration yet")
        queue = queue_for(configuration, call.host, call.path)
        if queue is None:
            return CallerReply(Outcome.NO_QUEUE, reason="no queue at this host and prefix")
        name = call.path[len(queue.prefix) :]
        if call.operation is Operation.SUBMIT:
            return await self._submit(queue, name, call.spec)
        if not name:
            return CallerReply(Outcome.DONE, waiting=self.scheduler.waiting(queue.terms.name))
        if call.operation is Operation.CANCEL:
            return await self._cancel(name)
        return self._state(name)

    def _state(self, name: str) -> CallerReply:
        job = self.scheduler.state.jobs.get(name)
        if job is None or not job.durable:
            return CallerReply(Outcome.NO_JOB)
        return CallerReply(Outcome.DONE, state=job.shown.name.lower())

    async def _submit(self, queue: Queue, name: str, spec: JobSpec | None) -> CallerReply:
        if not _is_name(name):
            return CallerReply(Outcome.INVALID, path="$.id", reason="not a name of a job")
        fault = None if spec is None else check_spec(spec)
        if spec is None or fault is not None:
            path = "$" if fault is None else fault.path
            reason = "no job" if fault is None else fault.reason
            return CallerReply(Outcome.INVALID, path=path, reason=reason)
        known = self.scheduler.state.jobs.get(name)
        if self._store_stuck() and known is None:
            return not_taken("the store does not answer")
        if self._store_stuck() and known is not None and not known.durable:
            return CallerReply(Outcome.UNKNOWN, reason="the store has not answered")
        self.scheduler.now()
        if self.scheduler.submit(name, queue, spec) is Submission.KNOWN:
            return CallerReply(Outcome.DONE, state="known")
        self.kick()
        return await self._accepted(name, queue)

    async def _accepted(self, name: str, queue: Queue) -> CallerReply:
        noted = self._noted()
        await asyncio.wait([noted], timeout=ACCEPT_TIMEOUT)
        job = self.scheduler.state.jobs.get(name)
        if job is not None and job.durable:
            _logger.info("job accepted", extra={"job": name, "queue": queue.terms.name})
            return CallerReply(Outcome.DONE)
        if self.scheduler.withdraw(name):
            return not_taken("the store does not answer")
        _logger.info("job uncertain", extra={"job": name, "queue": queue.terms.name})
        return CallerReply(Outcome.UNKNOWN, reason="the store has not answered")

    async def _cancel(self, name: str) -> CallerReply:
        self.scheduler.now()
        job = self.scheduler.cancel(name)
        if job is None:
            return CallerReply(Outcome.NO_JOB)
        self.kick()
        if job.shown is not JobState.CANCELLED and not job.shown.final:
            await asyncio.wait([self._noted()], timeout=ACCEPT_TIMEOUT)
        if not job.shown.final:
            return CallerReply(Outcome.UNKNOWN, reason="the store has not answered")
        _logger.info("job cancelled", extra={"job": name, "state": job.shown.name.lower()})
        return CallerReply(Outcome.DONE, state=job.shown.name.lower())


def _is_name(name: str) -> bool:
    return 0 < len(name) <= MAX_NAME and name.isascii() and name.isalnum()
