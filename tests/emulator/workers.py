"""Emulated workers: they obey the protocol and note each broken invariant."""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from sablemount.control.messages import AdviceReply
from sablemount.control.ports import CallError, HoldCall, HoldResult, Started, StartResult
from sablemount.jobs.actions import EndReport, Heard, RunReport, StartRun, StopRun
from sablemount.jobs.model import JobSpec, Shape, WorkerInfo
from sablemount.jobs.scheduler import StartRefusal

LEASE = 6.0
STOP_TIME = 0.3
GANG_TIMEOUT = 3.0
LATENCY = 0.002


@dataclass
class _Run:
    task: str
    number: int
    charge: Shape
    began: float
    length: float
    stopping: bool = False
    timer: asyncio.TimerHandle | None = None


@dataclass
class Worker:
    """One life of a worker."""

    info: WorkerInfo
    clock_rate: float
    clock_start: float
    up: bool = True
    cut: bool = False
    slow: float = 1.0
    fence: int = 0
    until_ms: float = 0.0
    runs: dict[str, _Run] = field(default_factory=dict)
    ends: list[EndReport] = field(default_factory=list)
    ended_runs: Counter[str] = field(default_factory=Counter)
    next_end: int = 1
    news: asyncio.Event = field(default_factory=asyncio.Event)
    lapse: asyncio.TimerHandle | None = None
    lapses: int = 0
    done_ends: dict[int, tuple[str, float, int]] = field(default_factory=dict)
    """Task, time and count of lapses, by the number of an end ``done``."""

    def clock_ms(self, now: float) -> float:
        return self.clock_start + now * 1000.0 * self.clock_rate

    def used(self) -> Shape:
        total = Shape()
        for run in self.runs.values():
            total = total.plus(run.charge)
        return total


class Cell:
    """All workers, and what is true of the tasks."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, JobSpec] = {}
        self.done: set[str] = set()
        self.failures: Counter[str] = Counter()
        self.starts: dict[str, list[float]] = {}
        self.noted: set[str] = set()
        self.poison: set[str] = set()
        self.violations: list[str] = []
        self.late_orders = 0.0
        self.max_attempts = 4
        self.fail_share = 0.03
        self.seconds = 1.0
        self._gangs: dict[tuple[str, int], set[str]] = {}
        self._lives = 0

    # -- Workers -----------------------------------------------------------------------------

    def add(self, machine: str, rack: str, capacity: Shape) -> Worker:
        self._lives += 1
        info = WorkerInfo(
            f"{machine}-{self._lives}", machine, "pool", capacity, ("a", rack), False, machine
        )
        worker = Worker(info, self.rng.choice((0.98, 1.0, 1.01)), self.rng.uniform(0, 1e6))
        self.workers[info.name] = worker
        return worker

    def crash(self, worker: Worker) -> None:
        worker.up = False
        for run in worker.runs.values():
            if run.timer is not None:
                run.timer.cancel()
        worker.runs.clear()

    def life_at(self, address: str) -> Worker | None:
        for worker in self.workers.values():
            if worker.info.address == address and worker.up:
                return worker
        return None

    # -- Tasks -------------------------------------------------------------------------------

    def start(self, worker: Worker, action: StartRun, fence: int, until: int) -> StartResult:
        now = asyncio.get_running_loop().time()
        clock = worker.clock_ms(now)
        if fence < worker.fence:
            return CallError.FENCED
        worker.fence = fence
        present = worker.runs.get(action.task)
        if present is not None and present.number == action.run:
            return Started(clock)
        if action.run <= worker.ended_runs[action.task]:
            return StartRefusal.OLD
        if until < clock:
            return StartRefusal.LATE
        self._begin(worker, action, now)
        self._extend(worker, until, now)
        return Started(clock)

    def _begin(self, worker: Worker, action: StartRun, now: float) -> None:
        job, _, step, _ = action.task.split(".")
        spec = self.jobs[job].steps[int(step)]
        self._check(worker, action, spec.charge)
        self.starts.setdefault(action.task, []).append(now)
        length = max(0.05, self.rng.expovariate(1.0 / self.seconds)) * worker.slow
        run = _Run(action.task, action.run, spec.charge, now, length)
        worker.runs[action.task] = run
        if spec.gang:
            self._gang_joined(worker, run, spec.count)
            return
        run.timer = asyncio.get_running_loop().call_later(length, self._finish, worker, run)

    def _gang_joined(self, worker: Worker, run: _Run, count: int) -> None:
        key = (run.task.rpartition(".")[0], run.number)
        members = self._gangs.setdefault(key, set())
        members.add(run.task)
        loop = asyncio.get_running_loop()
        if len(members) < count:
            run.timer = loop.call_later(GANG_TIMEOUT, self._alone, worker, run, key, count)
            return
        loop.call_later(run.length, self._gang_finish, key, run.number)

    def _alone(self, worker: Worker, run: _Run, key: tuple[str, int], count: int) -> None:
        if len(self._gangs[key]) < count:
            self._end(worker, run, "alone")

    def _gang_finish(self, key: tuple[str, int], number: int) -> None:
        step = key[0]
        present = [
            (worker, run)
            for worker in self.workers.values()
            for run in list(worker.runs.values())
            if run.task.rpartition(".")[0] == step and run.number == number
        ]
        whole = len(present) == len(self._gangs[key])
        for worker, run in present:
            if whole:
                self.done.add(run.task)
            self._end(worker, run, "done" if whole else "broken")

    def _check(self, worker: Worker, action: StartRun, charge: Shape) -> None:
        job, repetition, step, _ = action.task.split(".")
        if not charge.plus(worker.used()).fits(worker.info.capacity):
            self.violations.append(f"over capacity: {action.task} on {worker.info.name}")
        if action.task in self.noted:
            self.violations.append(f"started after its end was noted: {action.task}")
        for other in self.workers.values():
            if other.up and action.task in other.runs:
                self.violations.append(f"runs twice: {action.task}")
        if self.failures[action.task] >= self.max_attempts:
            self.violations.append(f"beyond its attempts: {action.task}")
        for earlier in self.jobs[job].steps[int(step)].after:
            for index in range(self.jobs[job].steps[earlier].count):
                if f"{job}.{repetition}.{earlier}.{index}" not in self.done:
                    self.violations.append(f"before its turn: {action.task}")

    def _finish(self, worker: Worker, run: _Run) -> None:
        job = run.task.split(".")[0]
        failed = job in self.poison or self.rng.random() < self.fail_share
        if failed:
            self.failures[run.task] += 1
        else:
            self.done.add(run.task)
        self._end(worker, run, "failed" if failed else "done")

    def _end(self, worker: Worker, run: _Run, how: str) -> None:
        if worker.runs.get(run.task) is not run or not worker.up:
            return
        if run.timer is not None:
            run.timer.cancel()
        del worker.runs[run.task]
        worker.ended_runs[run.task] = max(worker.ended_runs[run.task], run.number)
        worker.ends.append(EndReport(worker.next_end, run.task, run.number, how))
        if how == "done":
            now = asyncio.get_running_loop().time()
            worker.done_ends[worker.next_end] = (run.task, now, worker.lapses)
        worker.next_end += 1
        worker.news.set()

    def stop(self, worker: Worker, task: str, number: int, fence: int) -> CallError | None:
        if fence < worker.fence:
            return CallError.FENCED
        worker.fence = fence
        run = worker.runs.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_TIME, self._end, worker, run, "stopped")
        worker.ended_runs[task] = max(worker.ended_runs[task], number)
        return None

    # -- Leases ------------------------------------------------------------------------------

    def _extend(self, worker: Worker, until_ms: float, now: float) -> None:
        clock = worker.clock_ms(now)
        worker.until_ms = max(worker.until_ms, min(until_ms, clock + LEASE * 1000.0))
        if worker.lapse is not None:
            worker.lapse.cancel()
        left = max(0.0, worker.until_ms - clock) / 1000.0 / worker.clock_rate
        loop = asyncio.get_running_loop()
        worker.lapse = loop.call_later(left, self._lapsed, worker)

    def _lapsed(self, worker: Worker) -> None:
        worker.lapses += 1
        for run in list(worker.runs.values()):
            self._end(worker, run, "lapsed")

    def hold(self, worker: Worker, call: HoldCall) -> CallError | None:
        now = asyncio.get_running_loop().time()
        if call.fence < worker.fence:
            return CallError.FENCED
        worker.fence = call.fence
        if call.until_ms:
            self._extend(worker, call.until_ms, now)
        for end in worker.ends:
            if end.number <= call.acked_end and end.outcome == "done":
                self._note(worker, end.number)
        worker.ends = [end for end in worker.ends if end.number > call.acked_end]
        return None

    def _note(self, worker: Worker, number: int) -> None:
        """An end stands once it is acknowledged, unless the lease lapsed in between."""
        task, ended_at, lapses = worker.done_ends.pop(number)
        if lapses != worker.lapses:
            return
        self.noted.add(task)
        if any(start > ended_at for start in self.starts[task]):
            self.violations.append(f"started again after an end that was noted: {task}")


class EmulatedWorkers:
    """The workers as one member sees them."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell

    def _late(self) -> bool:
        return self._cell.rng.random() < self._cell.late_orders

    def _later(self, *call: object) -> None:
        delay = self._cell.rng.uniform(2.0, 12.0)
        asyncio.get_running_loop().call_later(delay, *call)  # type: ignore[arg-type]

    async def _reach(self, name: str, address: str, timeout: float) -> Worker | CallError:
        worker = self._cell.workers[name]
        await asyncio.sleep(LATENCY)
        if worker.cut:
            await asyncio.sleep(timeout)
            return CallError.NO_ANSWER
        if not worker.up:
            present = self._cell.life_at(address)
            if present is not None and not present.cut:
                return CallError.OTHER_LIFE
            await asyncio.sleep(timeout)
            return CallError.NO_ANSWER
        return worker

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        sent_at = asyncio.get_running_loop().time()
        worker = await self._reach(call.worker, call.address, timeout)
        if isinstance(worker, CallError):
            return worker
        if self._late():
            self._later(self._cell.hold, worker, call)
            await asyncio.sleep(timeout)
            return CallError.NO_ANSWER
        fenced = self._cell.hold(worker, call)
        if fenced is not None:
            return fenced
        if not worker.ends and call.wait:
            worker.news.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(worker.news.wait(), call.wait)
        await asyncio.sleep(LATENCY)
        if worker.cut or not worker.up:
            await asyncio.sleep(timeout)
            return CallError.NO_ANSWER
        now = asyncio.get_running_loop().time()
        running = tuple(
            RunReport(run.task, run.number, "", 100 * (now - run.began) / run.length)
            for run in worker.runs.values()
        )
        return Heard(call.worker, sent_at, worker.clock_ms(now), running, tuple(worker.ends))

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> StartResult:
        worker = await self._reach(action.worker, address, timeout)
        if isinstance(worker, CallError):
            return worker
        if self._late():
            self._later(self._cell.start, worker, action, fence, until_ms)
            await asyncio.sleep(timeout)
            return CallError.NO_ANSWER
        result = self._cell.start(worker, action, fence, until_ms)
        await asyncio.sleep(LATENCY)
        return result

    async def stop(
        self, action: StopRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        worker = await self._reach(action.worker, address, timeout)
        if isinstance(worker, CallError):
            return worker
        return self._cell.stop(worker, action.task, action.run, fence)


class EmulatedAdvice:
    """Advice that lets every worker run every step."""

    async def advise(self, step: str, workers: Sequence[str], timeout: float) -> AdviceReply:
        await asyncio.sleep(0.01)
        return AdviceReply(True, dict.fromkeys(workers, "ticket"), 2000.0)
