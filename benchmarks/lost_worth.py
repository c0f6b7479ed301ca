"""Report which kinds of request end late in a simulated day, and what delayed them.

    python -m benchmarks.lost_worth DAY.txt [DAY.txt ...]

A job that ends late, or is never accepted, counts as 1. This is divided among the reasons in
proportion to the seconds by which each of them delayed the job's last chain of steps.
"""

from collections import Counter, defaultdict
from pathlib import Path
from statistics import median
from typing import Annotated

import typer

from benchmarks.lost_time import Span, overlap
from benchmarks.played_day import DONE, FAILED, Day, Job, Line, Run, read

NO_LEADER = "no leader"
STORE_DOWN = "store down"
NO_CAPACITY = "room"
ORGANISATION_CAP = "cap"
ADVICE = "advice"
SLOW_VM = "slow or standing VM"
LOST_RUN = "lost run"
OWN_FAILURE = "own fault"
LOST_REPLY = "lost answer"
VMS_UNREPORTED = "VMs unheard"
SLOW_RUN_FACTOR = 2.0
"""A run longer than this multiple of its step's median counts as delayed by its VM; the durations
of the tasks of one step differ by about a third."""


class Lateness:
    """Determines whether a job was late, and divides its delay among the reasons."""

    def __init__(self, day: Day, job: Job) -> None:
        self._day = day
        self._job = job
        self._median_seconds = self._median_seconds_by_step()
        self.delays: Counter[str] = Counter()

    def _median_seconds_by_step(self) -> dict[str, float]:
        times: dict[str, list[float]] = defaultdict(list)
        for task, runs in self._job.runs.items():
            times[task.rpartition(".")[0]] += [
                run.ended - run.started_at for run in runs if run.outcome == DONE
            ]
        return {step: median(values) for step, values in times.items() if values}

    def _critical_path(self) -> float:
        """Return the length of the critical path, computed from the successful runs."""
        longest: dict[str, float] = {}
        for task, runs in self._job.runs.items():
            step = task.rpartition(".")[0]
            median_seconds = self._median_seconds.get(step, 0.0)
            for run in runs:
                if run.outcome == DONE:
                    duration = min(run.ended - run.started_at, SLOW_RUN_FACTOR * median_seconds)
                    longest[step] = max(longest.get(step, 0.0), duration)
        assert self._job.ended is not None
        after = self._job.ended.fields.get("after")
        ends: list[float] = []
        for number, earlier in enumerate(after if isinstance(after, list) else []):
            own = longest.get(f"{self._job.name}.0.{number}", 0.0)
            ends.append(own + max((ends[before] for before in earlier), default=0.0))
        return max(ends, default=0.0)

    def is_late(self) -> bool:
        """Return whether the job ended later than its objective allows."""
        ended = self._job.ended
        if ended is None or self._job.first_seen_at is None:
            return False
        allowed = (
            ended.number("stretch") * self._critical_path() + ended.number("target_ms") / 1000.0
        )
        return ended.at - self._job.first_seen_at > allowed

    def attribute_delays(self) -> None:
        """Follow the last chain of runs back from the end of the job, and sum up its delays."""
        job = self._job
        assert job.ended is not None
        assert job.first_seen_at is not None
        at = job.ended.at
        chain = self._last_run(at)
        if chain is not None:
            self._add_outage_delays(Span(chain.ended, at), STORE_DOWN)
        while chain is not None:
            at = self._add_task_delays(chain)
            chain = self._last_run(at - 1e-3)
        if job.accepted is not None:
            self._add_outage_delays(Span(job.accepted, at), NO_CAPACITY)
            self._add_outage_delays(Span(job.first_seen_at, job.accepted), LOST_REPLY)

    def _last_run(self, before: float) -> Run | None:
        done = [
            run
            for runs in self._job.runs.values()
            for run in runs
            if run.outcome == DONE and run.ended <= before
        ]
        return max(done, key=lambda run: run.ended, default=None)

    def _add_task_delays(self, last: Run) -> float:
        """Add the delays of one task's runs; return the time at which the task became ready."""
        step = last.task.rpartition(".")[0]
        median_seconds = self._median_seconds.get(step, 0.0)
        runs = [run for run in self._job.runs[last.task] if run.started_at <= last.started_at]
        for run in runs[:-1]:
            end = run.ended if run.outcome else last.started_at
            self.delays[OWN_FAILURE if run.outcome == FAILED else LOST_RUN] += end - run.started_at
        duration = last.ended - last.started_at
        self.delays[SLOW_VM] += max(0.0, duration - SLOW_RUN_FACTOR * median_seconds)
        first = runs[0].started_at
        placed = self._job.placed.get(step)
        if placed is None:
            return first
        ready = placed.at - placed.number("waited")
        advice_wait = min(placed.number("asked_for"), placed.number("waited"))
        cap_wait = min(placed.number("capped"), placed.number("waited") - advice_wait)
        self.delays[ADVICE] += advice_wait
        self.delays[ORGANISATION_CAP] += cap_wait
        self._add_outage_delays(
            Span(min(ready + advice_wait + cap_wait, first), first), NO_CAPACITY
        )
        return ready

    def _add_outage_delays(self, span: Span, fallback: str) -> None:
        left = span.seconds
        for reason, periods in (
            (NO_LEADER, self._day.no_leader),
            (VMS_UNREPORTED, self._day.unsettled),
            (STORE_DOWN, self._day.store_down),
        ):
            explained = min(left, overlap(span, periods))
            self.delays[reason] += explained
            left -= explained
        self.delays[fallback] += left


def kind_of(ended: Line) -> str:
    """Return a name for the kind of a request that is stable over days, unlike queue names."""
    kind = f"priority {int(ended.number('priority'))}"
    if ended.fields.get("gang"):
        kind += ", gang"
    if ended.number("accelerators"):
        kind += ", accelerators"
    return kind


class Table:
    """Late jobs by reason, and by kind or organisation."""

    def __init__(self, by_organisation: bool = False) -> None:
        self._by_organisation = by_organisation
        self.jobs: Counter[str] = Counter()
        self.late: Counter[str] = Counter()
        self.shares: dict[str, Counter[str]] = defaultdict(Counter)
        self.dropped: Counter[str] = Counter()

    def add(self, day: Day) -> None:
        """Add the jobs of one day."""
        self.dropped += day.dropped
        for job in day.jobs.values():
            if job.ended is not None and not job.ended.fields.get("lasting"):
                self._add_ended(day, job)
            elif job.accepted is None and job.refusals:
                _, why, status = job.refusals[-1]
                self._count("never accepted", f"{status} {why}")

    def _add_ended(self, day: Day, job: Job) -> None:
        assert job.ended is not None
        kind = kind_of(job.ended)
        if self._by_organisation:
            kind = job.ended.text("organisation")
        self.jobs[kind] += 1
        lateness = Lateness(day, job)
        if job.ended.text("state") != "succeeded" or not lateness.is_late():
            return
        self.late[kind] += 1
        lateness.attribute_delays()
        total_delay = sum(lateness.delays.values())
        for reason, seconds in lateness.delays.items():
            if seconds > 0:
                self.shares[kind][reason] += seconds / total_delay

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
        rows += [f"lines lost: {count} {name}" for name, count in sorted(self.dropped.items())]
        return "\n".join(rows)


def main(
    days: Annotated[list[Path], typer.Argument(help="Output of simulated days.")],
    organisations: Annotated[bool, typer.Option(help="By organisation, not by kind.")] = False,
) -> None:
    """Print which jobs were late and why, summed over several days."""
    table = Table(organisations)
    for path in days:
        table.add(read(path))
    typer.echo(table.render())


if __name__ == "__main__":
    typer.run(main)
