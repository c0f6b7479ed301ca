"""A simulated day, read from the structured log lines of all processes: its jobs and their runs.

Each line follows its simulated time and the machine's name, as the users' test bench prints it.
"""

import re
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.lost_time import Span, spans
from sablemount.jobs.job_lines import RunLogRow

__all__ = ["DONE", "FAILED", "Day", "Job", "Line", "Run", "parse", "read"]

LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) (\{\"time\".*)$")
FAILED = "failed"
DONE = "done"
DROPPED_FIELDS = ("dropped_decisions", "dropped_runs")


class Line(msgspec.Struct, frozen=True):
    """A structured log line, with its time in simulated seconds and its machine."""

    at: float
    machine: str
    fields: dict[str, object]

    @property
    def message(self) -> str:
        """The message of the line."""
        return str(self.fields.get("message", ""))

    def text(self, key: str) -> str:
        """Return a field as text, or an empty string if it is missing."""
        return str(self.fields.get(key, ""))

    def number(self, key: str) -> float:
        """Return a field as a number, or 0 if it is missing or not numeric."""
        value = self.fields.get(key, 0.0)
        return float(value) if isinstance(value, int | float) else 0.0

    def rows(self, key: str, row: Any) -> list[Any]:
        """Return the rows of a field, converted to ``row``; none if the field is missing."""
        return msgspec.convert(self.fields.get(key, []), list[row])


class Run(msgspec.Struct):
    """A run of a task."""

    task: str
    started_at: float
    ended: float = -1.0
    outcome: str = ""


class Job(msgspec.Struct):
    """A job, as far as the log lines describe it."""

    name: str
    first_seen_at: float | None = None
    """Time of the first line about the job."""
    refusals: list[tuple[float, str, int]] = []
    accepted: float | None = None
    ended: Line | None = None
    runs: dict[str, list[Run]] = {}
    placed: dict[str, Line] = {}


class Day:
    """The jobs of a day, and its spans without a leader or without replies of the store."""

    def __init__(self, lines: list[Line]) -> None:
        self.jobs: dict[str, Job] = {}
        self._runs: dict[tuple[str, int], Run] = {}
        self.dropped: Counter[str] = Counter()
        """Number of log lines that were dropped, by class."""
        for line in lines:
            self._add_line(line)
        self.no_leader = _spans_without_leader(lines)
        self.unsettled = spans(
            _times(lines, "leading"), _times(lines, "runs of previous leaders settled")
        )
        leaders = _lines_of_leaders(lines)
        self.store_down = spans(
            _times(leaders, "store does not answer"), _times(leaders, "store answers")
        )

    def _job_named(self, name: str, at: float) -> Job:
        job = self.jobs.get(name)
        if job is None:
            job = self.jobs[name] = Job(name)
        if job.first_seen_at is None:
            job.first_seen_at = at
        return job

    def _add_line(self, line: Line) -> None:
        message = line.message
        if message == "refused" and line.text("method") == "POST":
            job = self._job_named(line.text("request"), line.at)
            job.refusals.append((line.at, line.text("why"), int(line.number("status"))))
        elif message == "job accepted":
            job = self._job_named(line.text("job"), line.at)
            job.accepted = line.at if job.accepted is None else job.accepted
        elif message == "job ended":
            job = self._job_named(line.text("job"), line.at)
            job.ended = job.ended or line
            self._add_completed_runs(job, line)
        elif message == "job runs":
            self._add_completed_runs(self._job_named(line.text("job"), line.at), line)
        elif message == "step placed":
            step = line.text("step")
            self._job_named(step.partition(".")[0], line.at).placed.setdefault(step, line)
            self._add_placement(step, line)
        elif message == "run ended":
            run = self._runs.get((line.text("task"), line.number("run")))
            self._end_run(run, line.at, line.text("how"))
        for name in DROPPED_FIELDS:
            self.dropped[name] += int(line.number(name))

    def _add_placement(self, step: str, line: Line) -> None:
        """Add the runs of a step that were placed together."""
        for index, number, _vm in line.rows("runs", tuple[int, int, str]):
            self._run(f"{step}.{index}", number, line.at)

    def _run(self, task: str, number: int, began: float) -> Run:
        run = self._runs.get((task, number))
        if run is None:
            run = self._runs[(task, number)] = Run(task, began)
            self._job_named(task.partition(".")[0], began).runs.setdefault(task, []).append(run)
        return run

    @staticmethod
    def _end_run(run: Run | None, at: float, how: str) -> None:
        if run is not None and not run.outcome:
            run.ended = at
            run.outcome = how

    def _add_completed_runs(self, job: Job, line: Line) -> None:
        """Add the completed runs of a job, whose times count from when its leader learned of it."""
        known_at = line.at - line.number("known")
        for task, number, _vm, began, ended, how in line.rows("runs", RunLogRow):
            run = self._run(f"{job.name}.{task}", number, known_at + began)
            self._end_run(run, known_at + ended, how)


def _times(lines: list[Line], message: str) -> list[float]:
    return [line.at for line in lines if line.message == message]


def _lines_of_leaders(lines: list[Line]) -> list[Line]:
    """Return the lines that each leader wrote before the next one began to lead."""
    leader = ""
    found = []
    for line in lines:
        leader = line.machine if line.message == "leading" else leader
        if line.machine == leader:
            found.append(line)
    return found


def _spans_without_leader(lines: list[Line]) -> list[Span]:
    """Return the spans from the last activity of a leader to the start of the next one."""
    leader_messages = ("step placed", "job accepted", "job ended", "leadership ended")
    found = []
    last = 0.0
    for line in lines:
        if line.message == "leading" and line.at > last > 0.0:
            found.append(Span(last, line.at))
        if line.message in (*leader_messages, "leading"):
            last = line.at
    return found


def parse(text: str) -> Line | None:
    """Parse a printed line; return ``None`` if it is not a structured log line."""
    match = LINE.match(text)
    if match is None:
        return None
    fields = msgspec.json.decode(match[3], type=dict[str, object])
    return Line(float(match[1]), match[2], fields)


def read(path: Path) -> Day:
    """Read the printed lines of a simulated day."""
    with path.open(errors="replace") as file:
        lines = [line for text in file if (line := parse(text)) is not None]
    return Day(lines)
