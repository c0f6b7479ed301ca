"""A played day as the structured lines of all processes tell it: its jobs and their runs.

Each line stands behind its simulated time and the machine's name, as the users' bench prints it.
"""

import re
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.lost_time import Span, spans
from sablemount.jobs.job_lines import RunColumns

__all__ = ["DONE", "FAILED", "Day", "Job", "Line", "Run", "parse", "read"]

LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) (\{\"time\".*)$")
FAILED = "failed"
DONE = "done"
DROPPED = ("dropped_decisions", "dropped_runs")


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

    def rows(self, key: str, row: Any) -> list[Any]:
        """Return a field's rows, each of the type given; none if the field is not there."""
        return msgspec.convert(self.fields.get(key, []), list[row])


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
        self._runs: dict[tuple[str, int], Run] = {}
        self.dropped: Counter[str] = Counter()
        """Lines that were not written, by class."""
        for line in lines:
            self._take(line)
        self.no_leader = _no_leader(lines)
        self.unsettled = spans(
            _times(lines, "leading"), _times(lines, "runs of previous leaders settled")
        )
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
            self._job_runs(job, line)
        elif message == "job runs":
            self._job_runs(self._job(line.text("job"), line.at), line)
        elif message == "step placed":
            step = line.text("step")
            self._job(step.partition(".")[0], line.at).placed.setdefault(step, line)
            self._placed(step, line)
        elif message == "run ended":
            run = self._runs.get((line.text("task"), line.number("run")))
            self._ended(run, line.at, line.text("how"))
        for name in DROPPED:
            self.dropped[name] += int(line.number(name))

    def _placed(self, step: str, line: Line) -> None:
        """Take the runs of a step that are started at once."""
        for index, number, _vm in line.rows("runs", tuple[int, int, str]):
            self._run(f"{step}.{index}", number, line.at)

    def _run(self, task: str, number: int, began: float) -> Run:
        run = self._runs.get((task, number))
        if run is None:
            run = self._runs[(task, number)] = Run(task, began)
            self._job(task.partition(".")[0], began).runs.setdefault(task, []).append(run)
        return run

    @staticmethod
    def _ended(run: Run | None, at: float, how: str) -> None:
        if run is not None and not run.how:
            run.ended = at
            run.how = how

    def _job_runs(self, job: Job, line: Line) -> None:
        """Take the ends of a job's runs, which are told in seconds since its leader knew it."""
        known_at = line.at - line.number("known")
        for task, number, _vm, began, ended, how in line.rows("runs", RunColumns):
            run = self._run(f"{job.name}.{task}", number, known_at + began)
            self._ended(run, known_at + ended, how)


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
    orders = ("step placed", "job accepted", "job ended", "leadership ended")
    found = []
    last = 0.0
    for line in lines:
        if line.message == "leading" and line.at > last > 0.0:
            found.append(Span(last, line.at))
        if line.message in (*orders, "leading"):
            last = line.at
    return found


def parse(text: str) -> Line | None:
    """Return one printed line, or ``None`` if it is none of ours."""
    found = LINE.match(text)
    if found is None:
        return None
    fields = msgspec.json.decode(found[3], type=dict[str, object])
    return Line(float(found[1]), found[2], fields)


def read(path: Path) -> Day:
    """Read the lines of one played day."""
    with path.open(errors="replace") as file:
        lines = [line for text in file if (line := parse(text)) is not None]
    return Day(lines)
