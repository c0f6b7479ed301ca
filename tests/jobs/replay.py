"""Replays a load on the job scheduler in virtual time: jobs arrive, and VMs take their time.

The scheduler decides as it does for a leader; VMs of uneven speeds carry its orders out at once,
and no fault befalls anything.
"""

import heapq
import random
from dataclasses import dataclass, field

from sablemount.jobs.actions import RunReport, StartRun, StopRun
from sablemount.jobs.model import JobSpec, Organisation, Queue, QueueTerms, Shape, StepSpec
from sablemount.jobs.tables import JobState
from tests.jobs.rig import Rig

__all__ = ["Arrival", "Kind", "Outcome", "Replay", "arrivals", "job", "queue"]

STEP = 0.05
"""Seconds between two ticks: as often as a leader's VMs are heard."""
OVERHEAD = 0.15
"""Seconds that an order, and the word of an end, take in a busy cell."""
STOP_TIME = 0.4
SETTLED = 40.0
"""Seconds after the last arrival until which all has to be over."""


@dataclass(frozen=True)
class Arrival:
    """A job: when it comes, whose it is, what it is and how long each task really takes (s)."""

    at: float
    name: str
    queue: Queue
    spec: JobSpec
    work: float
    organisation: str = ""

    @property
    def objective(self) -> float:
        """Return the seconds within which it has to end to be in time."""
        terms = self.queue.terms
        return terms.stretch * self.work * len(self.spec.steps) + terms.target_latency_ms / 1000.0


@dataclass
class Outcome:
    """What became of the jobs."""

    took: dict[str, float] = field(default_factory=dict)

    def in_time(self, arrivals: list[Arrival]) -> float:
        """Return the share of some jobs that ended in time."""
        return sum(self._in_time(arrival) for arrival in arrivals) / len(arrivals)

    def _in_time(self, arrival: Arrival) -> bool:
        return self.took.get(arrival.name, float("inf")) <= arrival.objective


class Replay:
    """One load on some VMs, ``speeds`` of them."""

    def __init__(
        self,
        speeds: list[float],
        queues: tuple[Queue, ...],
        organisations: tuple[Organisation, ...] = (),
    ) -> None:
        self.rig = Rig(len(speeds), queues=queues, organisations=organisations)
        self._speed = {f"w{number}": speed for number, speed in enumerate(speeds)}
        self._work: dict[str, float] = {}
        self._due: list[tuple[float, int, StartRun, str]] = []
        self._began: dict[tuple[str, int], tuple[float, float]] = {}
        self._seen = 0
        self._count = 0
        self.outcome = Outcome()

    def play(self, arrivals: list[Arrival]) -> Outcome:
        """Let the jobs arrive and return what became of them."""
        rig = self.rig
        begun = rig.clock.time
        waiting = sorted(arrivals, key=lambda arrival: arrival.at)
        open_jobs: dict[str, Arrival] = {}
        last = begun + waiting[-1].at + SETTLED
        while (waiting or open_jobs) and rig.clock.time < last:
            while waiting and begun + waiting[0].at <= rig.clock.time:
                arrival = waiting.pop(0)
                self._work[arrival.name] = arrival.work
                rig.accept(arrival.name, arrival.spec, arrival.queue, arrival.organisation)
                open_jobs[arrival.name] = arrival
            self._end_due()
            rig.tick(STEP)
            self._carry_out()
            for name in [name for name in open_jobs if self._over(name)]:
                self.outcome.took[name] = rig.clock.time - begun - open_jobs.pop(name).at
        return self.outcome

    def _over(self, name: str) -> bool:
        return self.rig.scheduler.state.jobs[name].state is JobState.SUCCEEDED

    def _carry_out(self) -> None:
        rig = self.rig
        for action in rig.actions[self._seen :]:
            if isinstance(action, StartRun):
                self._start(action)
            elif isinstance(action, StopRun):
                self._stop(action)
        self._seen = len(rig.actions)

    def _start(self, start: StartRun) -> None:
        now = self.rig.clock.time
        takes = self._work[start.task.partition(".")[0]] / self._speed[start.vm] + OVERHEAD
        self._began[(start.task, start.run)] = (now, now + takes)
        self.rig.run(start)
        self._push(now + takes, start, "done")

    def _stop(self, stop: StopRun) -> None:
        start = StartRun(stop.vm, stop.task, stop.run, "", 0.0)
        ends = self._began.get((stop.task, stop.run))
        now = self.rig.clock.time
        if ends is not None and ends[1] > now + STOP_TIME:
            self._push(now + STOP_TIME, start, "stopped")

    def _push(self, at: float, start: StartRun, how: str) -> None:
        self._count += 1
        heapq.heappush(self._due, (at, self._count, start, how))

    def _end_due(self) -> None:
        rig = self.rig
        while self._due and self._due[0][0] <= rig.clock.time:
            _, _, start, how = heapq.heappop(self._due)
            if self._began.pop((start.task, start.run), None) is not None:
                rig.end(start, how)
        for rows in rig.running.values():
            rows[:] = [self._progress(row) for row in rows]
        rig.hear_all()
        rig.commit()
        self._acknowledge()

    def _acknowledge(self) -> None:
        """Let each VM be told at once of its ends that the store has."""
        scheduler = self.rig.scheduler
        for row in scheduler.state.vms.values():
            number = scheduler.acks.due(row)
            if number:
                scheduler.acks.answered(row, number)

    def _progress(self, row: RunReport) -> RunReport:
        began, ends = self._began[(row.task, row.run)]
        percent = 100.0 * (self.rig.clock.time - began) / (ends - began)
        return RunReport(row.task, row.run, "", min(99.0, percent))


# -- Loads ---------------------------------------------------------------------------------------


def queue(name: str, priority: int, stretch: float, target_ms: float) -> Queue:
    return Queue("host", f"/{name}/", QueueTerms(name, "pool", priority, 3, stretch, target_ms))


def job(count: int, cores: int, guess: float, gang: bool = False) -> JobSpec:
    """Return a job of one step, whose caller guesses that a task takes some seconds."""
    shape = Shape(cores, cores)
    return JobSpec("payload", (StepSpec(count, shape, expected_ms=1000.0 * guess, gang=gang),))


@dataclass(frozen=True)
class Kind:
    """A kind of work: its queue, how many a second, how wide, with which cores and seconds."""

    queue: Queue
    per_second: float
    count: int
    cores: int
    work: float
    gang: bool = False
    off: float = 0.0
    """By how much callers' guesses are off, as a share."""


def arrivals(
    rng: random.Random, kind: Kind, begin: float, end: float, organisation: str = ""
) -> list[Arrival]:
    """Return jobs of a kind at random times."""
    found = []
    at = begin
    while (at := at + rng.expovariate(kind.per_second)) < end:
        work = kind.work * rng.uniform(0.6, 1.4)
        guess = work * rng.uniform(1.0 - kind.off, 1.0 + kind.off)
        spec = job(kind.count, kind.cores, guess, kind.gang)
        name = f"{kind.queue.terms.name}x{organisation}x{len(found)}b{int(10 * begin)}"
        found.append(Arrival(at, name, kind.queue, spec, work, organisation))
    return found
