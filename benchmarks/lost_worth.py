"""Which kinds of request end late in a played day, and what held them up.

    python -m benchmarks.lost_worth DAY.txt [DAY.txt ...]

A job that ends late, or is never accepted, counts as one; it is divided among the reasons by the
seconds that each held up its last chain of steps.
"""

from collections import Counter, defaultdict
from pathlib import Path
from statistics import median
from typing import Annotated

import typer

from benchmarks.lost_time import Span, overlap
from benchmarks.played_day import DONE, FAILED, Day, Job, Line, Run, read

NO_LEADER = "no leader"
STORE = "store down"
ROOM = "room"
CAP = "cap"
ADVICE = "advice"
SLOW = "slow or standing VM"
LOST = "lost run"
FAULT = "own fault"
ANSWER = "lost answer"
UNSETTLED = "VMs unheard"
USUAL_FACTOR = 2.0
"""A run longer than this many times its step's median counts as held up by its VM: works of one
step differ by a third or so."""


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
        capped = min(placed.number("capped"), placed.number("waited") - asked)
        self.delays[ADVICE] += asked
        self.delays[CAP] += capped
        self._held_by_others(Span(min(ready + asked + capped, first), first), ROOM)
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


def kind_of(ended: Line) -> str:
    """Return a name for a kind of request that holds over days: names of queues change."""
    kind = f"priority {int(ended.number('priority'))}"
    if ended.fields.get("gang"):
        kind += ", gang"
    if ended.number("accelerators"):
        kind += ", accelerators"
    return kind


class Table:
    """Late jobs by kind, or by organisation, and reason."""

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
        rows += [f"lines lost: {count} {name}" for name, count in sorted(self.dropped.items())]
        return "\n".join(rows)


def main(
    days: Annotated[list[Path], typer.Argument(help="Output of played days.")],
    organisations: Annotated[bool, typer.Option(help="By organisation, not by kind.")] = False,
) -> None:
    """Print which jobs were late and why, summed over some days."""
    table = Table(organisations)
    for path in days:
        table.add(read(path))
    typer.echo(table.render())


if __name__ == "__main__":
    typer.run(main)
