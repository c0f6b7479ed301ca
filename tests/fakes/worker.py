"""Fake of a worker, with runs under leases and requests in slots, and a check of invariants.

The worker accepts every run and request without a check of its own. ``GroundTruth`` is notified of
everything that any worker starts, and records violations of the invariants.
"""

from collections import Counter, defaultdict

import msgspec

from sablemount.core.actions import CommandKind, RunCommand
from sablemount.core.documents import Shape
from sablemount.core.events import RunReport, RunState
from sablemount.core.facts import VmFacts
from sablemount.core.tables import task_of

LIVE_STATES = (RunState.RUNNING, RunState.THROTTLED)
LEAVING_GRACE_S = 3.0
"""Time within which schedulers must learn that a VM is leaving and stop sending it work."""


class GroundTruth:
    """What all workers have run, regardless of what schedulers know of it.

    ``running_on`` has the VMs on which a task runs, and ``at_most_once`` the tasks that may be
    started only once. Requests whose names are equal up to a ``!`` share an idempotency key.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.running_on: dict[str, set[str]] = defaultdict(set)
        self.starts: Counter[str] = Counter()
        self.at_most_once: set[str] = set()
        self.executions: Counter[str] = Counter()
        self.workers: dict[str, FakeWorker] = {}

    def run_started(self, task: str, vm: str, now: float) -> None:
        for other in list(self.running_on[task]):
            self.workers[other].advance(now)
        self.starts[task] += 1
        self.running_on[task].add(vm)
        if len(self.running_on[task]) > 1:
            self.violations.append(f"one place: {task} runs on {sorted(self.running_on[task])}")
        if task in self.at_most_once and self.starts[task] > 1:
            self.violations.append(f"at most once: {task} started {self.starts[task]} times")

    def run_ended(self, task: str, vm: str) -> None:
        self.running_on[task].discard(vm)

    def request_executed(self, request: str) -> None:
        self.executions[request] += 1
        key, separator, _ = request.partition("!")
        if separator:
            self.executions[key] += 1
            if self.executions[key] > 1:
                self.violations.append(f"at most once: requests with key {key} ran twice")


class Run:
    """A run on a fake worker; it ends at ``ends_at``, or before when its lease expires."""

    def __init__(self, run: str, shape: Shape, ends_at: float, lease_until: float) -> None:
        self.run = run
        self.full_shape = shape
        self.shape = shape
        self.ends_at = ends_at
        self.lease_until = lease_until
        self.state = RunState.RUNNING


class FakeWorker:
    """A worker in memory; ``left_at`` is the time from which its VM is leaving."""

    def __init__(self, facts: VmFacts, truth: GroundTruth, boot: str = "boot-1") -> None:
        self.facts = facts
        self.truth = truth
        truth.workers[facts.vm] = self
        self.boot = boot
        self.up = True
        self.leaving = False
        self.left_at = float("inf")
        self.runs: dict[str, Run] = {}
        self.requests: dict[str, None] = {}
        self.polls = 0

    # -- Runs --------------------------------------------------------------------------------

    def start(self, run: str, shape: Shape, lease: float, seconds: float, now: float) -> bool:
        self.advance(now)
        if run in self.runs:
            return self.runs[run].state in LIVE_STATES
        self._check_leaving(f"start of {run}", now)
        ends_at = now + seconds if seconds else float("inf")
        self.runs[run] = Run(run, shape, ends_at, now + lease)
        self.truth.run_started(task_of(run), self.facts.vm, now)
        self._check_capacity()
        return True

    def poll(
        self,
        renew: tuple[str, ...],
        acknowledge: tuple[str, ...],
        commands: tuple[RunCommand, ...],
        lease: float,
        now: float,
    ) -> tuple[RunReport, ...]:
        self.polls += 1
        self.advance(now)
        for name in renew:
            if name in self.runs and self.runs[name].state in LIVE_STATES:
                self.runs[name].lease_until = now + lease
        for command in commands:
            run = self.runs.get(command.run)
            if run is not None and run.state in LIVE_STATES:
                self._command(run, command.kind)
        for name in acknowledge:
            if name in self.runs and self.runs[name].state not in LIVE_STATES:
                del self.runs[name]
        return tuple(RunReport(run.run, run.state, run.shape) for run in self.runs.values())

    def _command(self, run: Run, kind: CommandKind) -> None:
        if kind is CommandKind.THROTTLE:
            run.state = RunState.THROTTLED
            run.shape = run.full_shape.throttled()
        elif kind is CommandKind.RESTORE:
            run.state = RunState.RUNNING
            run.shape = run.full_shape
            self._check_capacity()
        else:
            stopped = kind is CommandKind.STOP
            self._end(run, RunState.STOPPED if stopped else RunState.CHECKPOINTED)

    def _end(self, run: Run, state: RunState) -> None:
        run.state = state
        run.shape = Shape()
        self.truth.run_ended(task_of(run.run), self.facts.vm)

    def advance(self, now: float) -> None:
        """End the runs that are done or whose leases have expired."""
        for run in self.runs.values():
            if run.state in LIVE_STATES and min(run.lease_until, run.ends_at) <= now:
                done = run.ends_at <= run.lease_until
                self._end(run, RunState.DONE if done else RunState.LAPSED)

    def fail(self) -> None:
        """Crash the VM, which ends all its runs and requests."""
        self.up = False
        for run in self.runs.values():
            if run.state in LIVE_STATES:
                self._end(run, RunState.FAILED)
        self.runs.clear()
        self.requests.clear()

    def restart(self, boot: str) -> None:
        self.up = True
        self.boot = boot

    # -- Requests ----------------------------------------------------------------------------

    def begin(self, request: str, now: float) -> None:
        self._check_leaving(f"request {request}", now)
        self.requests[request] = None
        self.truth.request_executed(request)
        self._check_capacity()

    def end(self, request: str) -> None:
        self.requests.pop(request, None)

    # -- Checks ------------------------------------------------------------------------------

    def leave(self, now: float) -> None:
        self.leaving = True
        self.left_at = now

    def _check_leaving(self, work: str, now: float) -> None:
        if now > self.left_at + LEAVING_GRACE_S:
            self.truth.violations.append(f"leaving: {work} on {self.facts.vm}")

    def used(self) -> Shape:
        total = Shape(slots=len(self.requests))
        for run in self.runs.values():
            total = total.plus(run.shape)
        return total

    def _check_capacity(self) -> None:
        used = self.used()
        if not used.fits_within(self.facts.capacity):
            in_use = msgspec.json.encode(used).decode()
            self.truth.violations.append(f"capacity: {self.facts.vm} holds {in_use}")
