"""Simulates the job scheduler under a load in virtual time.

The scheduler decides as it does for a leader. VMs of different speeds carry out its requests at
once, and no faults occur.
"""

import heapq
import random
from dataclasses import dataclass, field

from sablemount.jobs.actions import RunReport, StartRun, StopRun
from sablemount.jobs.model import JobSpec, Organisation, Queue, QueueTerms, Shape, StepSpec
from sablemount.jobs.tables import JobState
from tests.jobs.rig import Rig

__all__ = ["Arrival", "Kind", "Outcome", "Replay", "arrivals", "job", "queue"]

TICK_S = 0.05
"""Interval between two ticks: as often as a leader's VMs report."""
OVERHEAD_S = 0.15
"""Time that a start request and the report of a completion take in a busy cell."""
STOP_TIME_S = 0.4
SETTLE_TIME_S = 40.0
"""Time after the last arrival until which all jobs have to be over."""


@dataclass(frozen=True)
class Arrival:
    """A job that arrives at some time; ``work`` is how long each of its tasks really takes (s)."""

    at: float
    name: str
    queue: Queue
    spec: JobSpec
    work: float
    organisation: str = ""

    @property
    def objective(self) -> float:
        """Return the time in seconds from its arrival within which the job has to end."""
        terms = self.queue.terms
        return terms.stretch * self.work * len(self.spec.steps) + terms.target_latency_ms / 1000.0


@dataclass
class Outcome:
    """Seconds from arrival to success of the jobs that succeeded, by name."""

    durations: dict[str, float] = field(default_factory=dict)

    def in_time(self, arrivals: list[Arrival]) -> float:
        """Return the share of some jobs that met their objectives."""
        return sum(self._in_time(arrival) for arrival in arrivals) / len(arrivals)

    def _in_time(self, arrival: Arrival) -> bool:
        return self.durations.get(arrival.name, float("inf")) <= arrival.objective


class Replay:
    """A cell with one VM per entry of ``speeds``, under one load."""

    def __init__(
        self,
        speeds: list[float],
        queues: tuple[Queue, ...],
        organisations: tuple[Organisation, ...] = (),
    ) -> None:
        self.rig = Rig(len(speeds), queues=queues, organisations=organisations)
        self._speed = {f"w{number}": speed for number, speed in enumerate(speeds)}
        self._work: dict[str, float] = {}
        self._pending_ends: list[tuple[float, int, StartRun, str]] = []
        self._intervals: dict[tuple[str, int], tuple[float, float]] = {}
        self._actions_seen = 0
        self._push_count = 0
        self.outcome = Outcome()

    def play(self, arrivals: list[Arrival]) -> Outcome:
        """Let the jobs arrive and return how long they took."""
        rig = self.rig
        began = rig.clock.time
        upcoming = sorted(arrivals, key=lambda arrival: arrival.at)
        open_jobs: dict[str, Arrival] = {}
        deadline = began + upcoming[-1].at + SETTLE_TIME_S
        while (upcoming or open_jobs) and rig.clock.time < deadline:
            while upcoming and began + upcoming[0].at <= rig.clock.time:
                arrival = upcoming.pop(0)
                self._work[arrival.name] = arrival.work
                rig.accept(arrival.name, arrival.spec, arrival.queue, arrival.organisation)
                open_jobs[arrival.name] = arrival
            self._complete_due()
            rig.tick(TICK_S)
            self._apply_actions()
            for name in [name for name in open_jobs if self._has_succeeded(name)]:
                self.outcome.durations[name] = rig.clock.time - began - open_jobs.pop(name).at
        return self.outcome

    def _has_succeeded(self, name: str) -> bool:
        return self.rig.scheduler.state.jobs[name].state is JobState.SUCCEEDED

    def _apply_actions(self) -> None:
        rig = self.rig
        for action in rig.actions[self._actions_seen :]:
            if isinstance(action, StartRun):
                self._start(action)
            elif isinstance(action, StopRun):
                self._stop(action)
        self._actions_seen = len(rig.actions)

    def _start(self, start: StartRun) -> None:
        now = self.rig.clock.time
        duration = self._work[start.task.partition(".")[0]] / self._speed[start.vm] + OVERHEAD_S
        self._intervals[(start.task, start.run)] = (now, now + duration)
        self.rig.hold(start)
        self._push(now + duration, start, "done")

    def _stop(self, stop: StopRun) -> None:
        start = StartRun(stop.vm, stop.task, stop.run, "", 0.0)
        interval = self._intervals.get((stop.task, stop.run))
        now = self.rig.clock.time
        if interval is not None and interval[1] > now + STOP_TIME_S:
            self._push(now + STOP_TIME_S, start, "stopped")

    def _push(self, at: float, start: StartRun, outcome: str) -> None:
        self._push_count += 1
        heapq.heappush(self._pending_ends, (at, self._push_count, start, outcome))

    def _complete_due(self) -> None:
        rig = self.rig
        while self._pending_ends and self._pending_ends[0][0] <= rig.clock.time:
            _, _, start, outcome = heapq.heappop(self._pending_ends)
            if self._intervals.pop((start.task, start.run), None) is not None:
                rig.complete(start, outcome)
        for rows in rig.running.values():
            rows[:] = [self._progress(row) for row in rows]
        rig.report_all()
        rig.commit()
        self._acknowledge()

    def _acknowledge(self) -> None:
        """Acknowledge the completions that are in the store to each VM at once."""
        scheduler = self.rig.scheduler
        for row in scheduler.state.vms.values():
            number = scheduler.acks.due_number(row)
            if number:
                scheduler.acks.ack_answered(row, number)

    def _progress(self, row: RunReport) -> RunReport:
        began, ends = self._intervals[(row.task, row.run)]
        percent = 100.0 * (self.rig.clock.time - began) / (ends - began)
        return RunReport(row.task, row.run, "", min(99.0, percent))


# -- Loads -----------------------------------------------------------------------------------


def queue(name: str, priority: int, stretch: float, target_ms: float) -> Queue:
    return Queue("host", f"/{name}/", QueueTerms(name, "pool", priority, 3, stretch, target_ms))


def job(count: int, cores: int, estimate: float, gang: bool = False) -> JobSpec:
    """Return a job of one step, with the caller's estimate of a task's duration in seconds."""
    shape = Shape(cores, cores)
    return JobSpec("payload", (StepSpec(count, shape, expected_ms=1000.0 * estimate, gang=gang),))


@dataclass(frozen=True)
class Kind:
    """A kind of job: its queue, arrivals per second, tasks, millicores and seconds per task."""

    queue: Queue
    per_second: float
    count: int
    cores: int
    work: float
    gang: bool = False
    deviation: float = 0.0
    """How far callers' estimates may be off, as a share."""


def arrivals(
    rng: random.Random, kind: Kind, begin: float, end: float, organisation: str = ""
) -> list[Arrival]:
    """Return jobs of a kind that arrive at random times."""
    jobs = []
    at = begin
    while (at := at + rng.expovariate(kind.per_second)) < end:
        work = kind.work * rng.uniform(0.6, 1.4)
        estimate = work * rng.uniform(1.0 - kind.deviation, 1.0 + kind.deviation)
        spec = job(kind.count, kind.cores, estimate, kind.gang)
        name = f"{kind.queue.terms.name}x{organisation}x{len(jobs)}b{int(10 * begin)}"
        jobs.append(Arrival(at, name, kind.queue, spec, work, organisation))
    return jobs
