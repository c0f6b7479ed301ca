"""Which kinds of request end late in a played day, and what held them up.

    python -m benchmarks.lost_worth DAY.txt [DAY.txt ...]

Reads the structured lines of all processes, each behind its simulated time and the machine's name.
A job that ends late, or is never accepted, counts as one; it is divided among the reasons by the
seconds that each held up its last chain of steps.
"""

import re
from collections import Counter, defaultdict
from pathlib import Path
from statistics import median
from typing import Annotated

import msgspec
import typer

from benchmarks.lost_time import Span, overlap, spans

LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) (\{\"time\".*)$")
WORK = "work"
NO_LEADER = "no leader"
STORE = "store down"
ROOM = "room"
ADVICE = "advice"
SLOW = "slow or standing VM"
LOST = "lost run"
FAULT = "own fault"
ANSWER = "lost answer"
UNSETTLED = "VMs unheard"
REASONS = (ROOM, ADVICE, NO_LEADER, UNSETTLED, STORE, SLOW, LOST, FAULT, ANSWER)
USUAL_FACTOR = 2.0
"""A run longer than this many times its step's median counts as held up by its VM: works of one
step differ by a third or so."""
FAILED = "failed"
DONE = "done"


class Line(msgspec.Struct, frozen=True):
    """One structured line and when and where it was written (simulated seconds)."""

    at: float
    machine: str
    fields: dict[str, object]

    @property
    def message(self) -> str:
        """Return what the line says."""
        return str(self.fields.get("message", ""))

    def text(self, key: str) -> str:
        """Return a field as text; empty if it is not there."""
        return str(self.fields.get(key, ""))

    def number(self, key: str) -> float:
        """Return a field as a number; 0 if it is not there."""
        value = self.fields.get(key, 0.0)
        return float(value) if isinstance(value, int | float) else 0.0


class Run(msgspec.Struct):
    """One run of a task."""

    task: str
    began: float
    ended: float = -1.0
    how: str = ""


class Job(msgspec.Struct):
    """What the lines tell of one job."""

    name: str
    seen: float | None = None
    """When it was first refused or accepted."""
    refusals: list[tuple[float, str, int]] = []
    accepted: float | None = None
    ended: Line | None = None
    runs: dict[str, list[Run]] = {}
    placed: dict[str, Line] = {}


class Day:
    """The jobs of one day, and the spans in which nobody led or the store did not answer."""

    def __init__(self, lines: list[Line]) -> None:
        self.jobs: dict[str, Job] = {}
        self._runs: dict[tuple[str, float], Run] = {}
        for line in lines:
            self._take(line)
        self.no_leader = _no_leader(lines)
        self.unsettled = spans(_times(lines, "leading"), _times(lines, "former runs settled"))
        leaders = _leaders_lines(lines)
        self.store_down = spans(
            _times(leaders, "store does not answer"), _times(leaders, "store answers")
        )

    def _job(self, name: str, at: float) -> Job:
        job = self.jobs.get(name)
        if job is None:
            job = self.jobs[name] = Job(name)
        if job.seen is None:
            job.seen = at
        return job

    def _take(self, line: Line) -> None:
        message = line.message
        if message == "refused" and line.text("method") == "POST":
            job = self._job(line.text("request"), line.at)
            job.refusals.append((line.at, line.text("why"), int(line.number("status"))))
        elif message == "job accepted":
            job = self._job(line.text("job"), line.at)
            job.accepted = line.at if job.accepted is None else job.accepted
        elif message == "job ended":
            job = self._job(line.text("job"), line.at)
            job.ended = job.ended or line
        elif message == "step placed":
            step = line.text("step")
            self._job(step.partition(".")[0], line.at).placed.setdefault(step, line)
        elif message == "start":
            self._started(line)
        elif message == "run ended":
            self._run_ended(line)

    def _started(self, line: Line) -> None:
        task = line.text("task")
        run = Run(task, line.at)
        key = (task, line.number("run"))
        if key not in self._runs:
            self._runs[key] = run
            self._job(task.partition(".")[0], line.at).runs.setdefault(task, []).append(run)

    def _run_ended(self, line: Line) -> None:
        run = self._runs.get((line.text("task"), line.number("run")))
        if run is not None and not run.how:
            run.ended = line.at
            run.how = line.text("how")


class Lateness:
    """Judges one job and divides its delay among the reasons."""

    def __init__(self, day: Day, job: Job) -> None:
        self._day = day
        self._job = job
        self._usual = self._usual_times()
        self.delays: Counter[str] = Counter()

    def _usual_times(self) -> dict[str, float]:
        times: dict[str, list[float]] = defaultdict(list)
        for task, runs in self._job.runs.items():
            times[task.rpartition(".")[0]] += [
                run.ended - run.began for run in runs if run.how == DONE
            ]
        return {step: median(values) for step, values in times.items() if values}

    def _chain(self) -> float:
        """Return the longest chain of work, as the runs of the tasks that went well tell it."""
        longest: dict[str, float] = {}
        for task, runs in self._job.runs.items():
            step = task.rpartition(".")[0]
            usual = self._usual.get(step, 0.0)
            for run in runs:
                if run.how == DONE:
                    took = min(run.ended - run.began, USUAL_FACTOR * usual)
                    longest[step] = max(longest.get(step, 0.0), took)
        assert self._job.ended is not None
        after = self._job.ended.fields.get("after")
        ends: list[float] = []
        for number, earlier in enumerate(after if isinstance(after, list) else []):
            own = longest.get(f"{self._job.name}.0.{number}", 0.0)
            ends.append(own + max((ends[before] for before in earlier), default=0.0))
        return max(ends, default=0.0)

    def late(self) -> bool:
        """Tell whether the job ended after its objective."""
        ended = self._job.ended
        if ended is None or self._job.seen is None:
            return False
        allowed = ended.number("stretch") * self._chain() + ended.number("target_ms") / 1000.0
        return ended.at - self._job.seen > allowed

    def walk(self) -> None:
        """Follow the last chain of runs back from the end and add up what held it up."""
        job = self._job
        assert job.ended is not None
        assert job.seen is not None
        at = job.ended.at
        chain = self._last_run(at)
        if chain is not None:
            self._held_by_others(Span(chain.ended, at), STORE)
        while chain is not None:
            at = self._walk_task(chain)
            chain = self._last_run(at - 1e-3)
        if job.accepted is not None:
            self._held_by_others(Span(job.accepted, at), ROOM)
            self._held_by_others(Span(job.seen, job.accepted), ANSWER)

    def _last_run(self, before: float) -> Run | None:
        done = [
            run
            for runs in self._job.runs.values()
            for run in runs
            if run.how == DONE and run.ended <= before
        ]
        return max(done, key=lambda run: run.ended, default=None)

    def _walk_task(self, last: Run) -> float:
        """Take the runs of one task from its end to when it could have started."""
        step = last.task.rpartition(".")[0]
        usual = self._usual.get(step, 0.0)
        runs = [run for run in self._job.runs[last.task] if run.began <= last.began]
        for run in runs[:-1]:
            end = run.ended if run.how else last.began
            self.delays[FAULT if run.how == FAILED else LOST] += end - run.began
        took = last.ended - last.began
        self.delays[SLOW] += max(0.0, took - USUAL_FACTOR * usual)
        first = runs[0].began
        placed = self._job.placed.get(step)
        if placed is None:
            return first
        ready = placed.at - placed.number("waited")
        asked = min(placed.number("asked_for"), placed.number("waited"))
        self.delays[ADVICE] += asked
        self._held_by_others(Span(min(ready + asked, first), first), ROOM)
        return ready

    def _held_by_others(self, span: Span, otherwise: str) -> None:
        left = span.seconds
        for reason, whole in (
            (NO_LEADER, self._day.no_leader),
            (UNSETTLED, self._day.unsettled),
            (STORE, self._day.store_down),
        ):
            part = min(left, overlap(span, whole))
            self.delays[reason] += part
            left -= part
        self.delays[otherwise] += left


def _times(lines: list[Line], message: str) -> list[float]:
    return [line.at for line in lines if line.message == message]


def _leaders_lines(lines: list[Line]) -> list[Line]:
    """Return what each leader wrote while no later one led."""
    leader = ""
    found = []
    for line in lines:
        leader = line.machine if line.message == "leading" else leader
        if line.machine == leader:
            found.append(line)
    return found


def _no_leader(lines: list[Line]) -> list[Span]:
    """Return the spans between the last sign of a leader and the next one that leads."""
    orders = ("start", "run ended", "job accepted", "job ended", "leads no more")
    found = []
    last = 0.0
    for line in lines:
        if line.message == "leading" and line.at > last > 0.0:
            found.append(Span(last, line.at))
        if line.message in (*orders, "leading"):
            last = line.at
    return found


def kind_of(ended: Line) -> str:
    """Return a name for a kind of request that holds over days: names of queues change."""
    kind = f"priority {int(ended.number('priority'))}"
    if ended.fields.get("gang"):
        kind += ", gang"
    if ended.number("accelerators"):
        kind += ", accelerators"
    return kind


def read(path: Path) -> Day:
    """Read the lines of one played day."""
    lines = []
    with path.open(errors="replace") as file:
        for text in file:
            found = LINE.match(text)
            if found is not None:
                fields = msgspec.json.decode(found[3], type=dict[str, object])
                lines.append(Line(float(found[1]), found[2], fields))
    return Day(lines)


class Table:
    """Late jobs by kind and reason."""

    def __init__(self) -> None:
        self.jobs: Counter[str] = Counter()
        self.late: Counter[str] = Counter()
        self.shares: dict[str, Counter[str]] = defaultdict(Counter)

    def add(self, day: Day) -> None:
        """Add the jobs of one day."""
        for job in day.jobs.values():
            if job.ended is not None and not job.ended.fields.get("lasting"):
                self._add_ended(day, job)
            elif job.accepted is None and job.refusals:
                _, why, status = job.refusals[-1]
                self._count("never accepted", f"{status} {why}")

    def _add_ended(self, day: Day, job: Job) -> None:
        assert job.ended is not None
        kind = kind_of(job.ended)
        self.jobs[kind] += 1
        lateness = Lateness(day, job)
        if job.ended.text("state") != "succeeded" or not lateness.late():
            return
        self.late[kind] += 1
        lateness.walk()
        whole = sum(lateness.delays.values())
        for reason, seconds in lateness.delays.items():
            if seconds > 0:
                self.shares[kind][reason] += seconds / whole

    def _count(self, kind: str, reason: str) -> None:
        self.jobs[kind] += 1
        self.late[kind] += 1
        self.shares[kind][reason] += 1

    def render(self) -> str:
        """Return the table as text."""
        rows = []
        for kind in sorted(self.jobs):
            rows.append(f"{kind}: {self.jobs[kind]} jobs, {self.late[kind]} late or lost")
            rows += [
                f"    {share:6.1f}  {reason}" for reason, share in self.shares[kind].most_common()
            ]
        return "\n".join(rows)


def main(days: Annotated[list[Path], typer.Argument(help="Output of played days.")]) -> None:
    """Print which jobs were late and why, summed over some days."""
    table = Table()
    for path in days:
        table.add(read(path))
    typer.echo(table.render())


if __name__ == "__main__":
    typer.run(main)
