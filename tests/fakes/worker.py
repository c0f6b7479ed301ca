"""Stand-in for a worker: runs under leases, requests in slots, and the truth about both.

The worker grants whatever it is told to: it has no guards. ``Truth`` sees every grant of every
worker and keeps the violations of the invariants.
"""

from collections import Counter, defaultdict

import msgspec

from sablemount.core.actions import CommandKind, RunCommand
from sablemount.core.documents import Shape
from sablemount.core.events import RunReport, RunState
from sablemount.core.facts import VmFacts
from sablemount.core.tables import task_of

LIVE = (RunState.RUNNING, RunState.THROTTLED)
LEAVING_GRACE = 3.0


class Truth:
    """What really happened, across all workers."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.places: dict[str, set[str]] = defaultdict(set)
        self.starts: Counter[str] = Counter()
        self.single: set[str] = set()
        self.executed: Counter[str] = Counter()
        self.workers: dict[str, FakeWorker] = {}

    def began(self, task: str, vm: str, now: float) -> None:
        for other in list(self.places[task]):
            self.workers[other].advance(now)
        self.starts[task] += 1
        self.places[task].add(vm)
        if len(self.places[task]) > 1:
            self.violations.append(f"one place: {task} runs on {sorted(self.places[task])}")
        if task in self.single and self.starts[task] > 1:
            self.violations.append(f"at most once: {task} started {self.starts[task]} times")

    def ended(self, task: str, vm: str) -> None:
        self.places[task].discard(vm)

    def served(self, request: str) -> None:
        self.executed[request] += 1
        key, shared, _ = request.partition("!")
        if shared:
            self.executed[key] += 1
            if self.executed[key] > 1:
                self.violations.append(f"at most once: requests with key {key} ran twice")


class Run:
    def __init__(self, run: str, shape: Shape, until: float, lease_until: float) -> None:
        self.run = run
        self.full = shape
        self.shape = shape
        self.until = until
        self.lease_until = lease_until
        self.state = RunState.RUNNING


class FakeWorker:
    def __init__(self, facts: VmFacts, truth: Truth, boot: str = "boot-1") -> None:
        self.facts = facts
        self.truth = truth
        truth.workers[facts.vm] = self
        self.boot = boot
        self.up = True
        self.leaving = False
        self.left_since = float("inf")
        self.runs: dict[str, Run] = {}
        self.requests: dict[str, None] = {}
        self.polls = 0

    # -- Runs --------------------------------------------------------------------------------

    def start(self, run: str, shape: Shape, lease: float, seconds: float, now: float) -> bool:
        self.advance(now)
        if run in self.runs:
            return self.runs[run].state in LIVE
        self._check_leaving(f"start of {run}", now)
        until = now + seconds if seconds else float("inf")
        self.runs[run] = Run(run, shape, until, now + lease)
        self.truth.began(task_of(run), self.facts.vm, now)
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
            if name in self.runs and self.runs[name].state in LIVE:
                self.runs[name].lease_until = now + lease
        for command in commands:
            run = self.runs.get(command.run)
            if run is not None and run.state in LIVE:
                self._command(run, command.kind)
        for name in acknowledge:
            if name in self.runs and self.runs[name].state not in LIVE:
                del self.runs[name]
        return tuple(RunReport(run.run, run.state, run.shape) for run in self.runs.values())

    def _command(self, run: Run, kind: CommandKind) -> None:
        if kind is CommandKind.THROTTLE:
            run.state = RunState.THROTTLED
            run.shape = run.full.throttled()
        elif kind is CommandKind.RESTORE:
            run.state = RunState.RUNNING
            run.shape = run.full
            self._check_capacity()
        else:
            stopped = kind is CommandKind.STOP
            self._end(run, RunState.STOPPED if stopped else RunState.CHECKPOINTED)

    def _end(self, run: Run, state: RunState) -> None:
        run.state = state
        run.shape = Shape()
        self.truth.ended(task_of(run.run), self.facts.vm)

    def advance(self, now: float) -> None:
        for run in self.runs.values():
            if run.state in LIVE and min(run.lease_until, run.until) <= now:
                done = run.until <= run.lease_until
                self._end(run, RunState.DONE if done else RunState.LAPSED)

    def fail(self) -> None:
        """The VM dies: all that it runs is over."""
        self.up = False
        for run in self.runs.values():
            if run.state in LIVE:
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
        self.truth.served(request)
        self._check_capacity()

    def end(self, request: str) -> None:
        self.requests.pop(request, None)

    # -- Truth -------------------------------------------------------------------------------

    def leave(self, now: float) -> None:
        self.leaving = True
        self.left_since = now

    def _check_leaving(self, what: str, now: float) -> None:
        if now > self.left_since + LEAVING_GRACE:
            self.truth.violations.append(f"leaving: {what} on {self.facts.vm}")

    def used(self) -> Shape:
        total = Shape(slots=len(self.requests))
        for run in self.runs.values():
            total = total.plus(run.shape)
        return total

    def _check_capacity(self) -> None:
        used = self.used()
        if not used.fits(self.facts.capacity):
            over = msgspec.json.encode(used).decode()
            self.truth.violations.append(f"capacity: {self.facts.vm} holds {over}")
