"""Log lines that summarise what was done for a step or a job.

One line per run would be hundreds a second in a large cell; instead there is one line per decision,
with its runs as rows.
"""

import logging
from collections import Counter
from collections.abc import Iterable

from sablemount.jobs.model import step_key_of
from sablemount.jobs.run_row import RunCompletion, RunRow, RunState
from sablemount.jobs.tables import JobRow, StepRow, TaskRow
from sablemount.jobs.vm_row import VmRow

__all__ = [
    "RunLogRow",
    "log_beyond_spread",
    "log_job_end",
    "log_lost_runs",
    "log_placement",
    "log_run_not_wanted",
    "step_counts",
]

MS_PER_S = 1000.0
MAX_RUNS_PER_LINE = 60
"""Largest number of runs in one line. With some 60 bytes each, a line stays below 4 KB, which log
readers commonly accept without splitting it."""
MAX_RUN_BYTES_PER_LINE = 3_600
"""Largest number of bytes of runs in a line about a job's end; its other fields take 400."""

RunLogRow = tuple[str, int, str, float, float, str]
"""Task within the job, run number, VM, start, end and outcome of a run.

Start and end are in seconds since this leader learnt of the job, as is the field ``known``.
"""


def log_placement(
    logger: logging.Logger, step: StepRow, chosen: list[tuple[TaskRow, VmRow]], now: float
) -> None:
    """Log which tasks of a step are started where; to be called once their runs are entered."""
    rows = [(task.index, task.last_run, row.name) for task, row in chosen]
    for first in range(0, len(rows), MAX_RUNS_PER_LINE):
        logger.info(
            "step placed",
            extra={
                "step": step.key,
                "tasks": len(chosen),
                "of": step.open_tasks,
                "waited": round(now - step.ready_at, 3),
                "capped": round(step.total_capped_s(now), 3),
                "noted_first": sum(task.must_record_first for task, _ in chosen),
                "asked_for": round(
                    0.0 if step.advice is None else step.advice.total_wait_s(now), 3
                ),
                "runs": rows[first : first + MAX_RUNS_PER_LINE],
            },
        )


def log_run_not_wanted(logger: logging.Logger, run: RunRow, why: str) -> None:
    """Log a run that is to be stopped and stays charged until then."""
    extra = {
        "task": run.task,
        "run": run.number,
        "vm": run.vm,
        "was": run.state.value,
        "why": why,
    }
    logger.info("run not wanted", extra=extra)


def step_counts(vm: VmRow, step: str) -> Counter[str]:
    """Return how many runs of a step may be on a VM, by what is known of them."""
    return Counter(_standing(run) for run in vm.runs.values() if step_key_of(run.task) == step)


def _standing(run: RunRow) -> str:
    if run.state is RunState.STOPPING:
        return "stopping"
    if run.found:
        return "found"
    return "running" if run.state is RunState.RUNNING else "unconfirmed"


def log_beyond_spread(
    logger: logging.Logger, run: RunRow, vm: VmRow, spread: int, counts: Counter[str]
) -> None:
    """Log that more runs of a step may be on a VM than the step allows, by what is known of them.

    ``counts`` includes the latest run, which was started there, or found in a report.
    """
    extra = {
        "task": run.task,
        "run": run.number,
        "vm": vm.name,
        "spread": spread,
        "cause": "found" if run.found else "started",
        **counts,
    }
    logger.warning("more runs of a step than its spread", extra=extra)


def log_lost_runs(logger: logging.Logger, vm: VmRow, lost: Iterable[RunRow], now: float) -> None:
    """Log the runs lost with a VM, the latest start first.

    A run that was started just before the VM's last report is the most likely cause of the crash.
    """
    runs = sorted(lost, key=lambda run: -run.sent_at)
    rows = [_lost_run_row(run, vm.last_report_at) for run in runs]
    for first in range(0, len(rows), MAX_RUNS_PER_LINE):
        extra = {
            "vm": vm.name,
            "heard_ago": vm.report_age(now),
            "runs": len(rows),
            "lost": rows[first : first + MAX_RUNS_PER_LINE],
        }
        logger.info("runs lost with VM", extra=extra)


def _lost_run_row(run: RunRow, last_report_at: float) -> tuple[str, int, float, str]:
    """Return task, run, seconds from its request to the last report (below 0: after), state."""
    return (run.task, run.number, round(last_report_at - run.sent_at, 3), run.state.value)


def log_job_end(logger: logging.Logger, job: JobRow, now: float, wall_ms: float) -> None:
    """Log that the end of a job is now visible to callers, with all runs of the job."""
    terms = job.record.terms
    steps = job.record.spec.steps
    known = round(now - job.accepted_at, 3)
    rows = [_run_row(completion, job.accepted_at) for completion in job.run_completions]
    first, *others = _split_rows(rows)
    for part in others:
        logger.info("job runs", extra={"job": job.name, "known": known, "runs": part})
    logger.info(
        "job ended",
        extra={
            "job": job.name,
            "organisation": job.organisation,
            "state": job.visible_state.name.lower(),
            "seconds": round((wall_ms - job.record.accepted_ms) / MS_PER_S, 3),
            "known": known,
            "priority": terms.priority,
            "stretch": terms.stretch,
            "target_ms": terms.target_latency_ms,
            "gang": any(step.gang for step in steps),
            "lasting": job.record.spec.is_long_running(),
            "accelerators": max((step.shape.accelerators for step in steps), default=0),
            "after": [list(step.after) for step in steps],
            "runs": first,
            "more_runs": job.omitted_runs,
        },
    )


def _split_rows(rows: list[RunLogRow]) -> list[list[RunLogRow]]:
    """Divide rows over lines; return at least one line."""
    parts: list[list[RunLogRow]] = [[]]
    size = 0
    for row in rows:
        length = len(str(row))
        if len(parts[-1]) >= MAX_RUNS_PER_LINE or size + length > MAX_RUN_BYTES_PER_LINE:
            parts.append([])
            size = 0
        parts[-1].append(row)
        size += length
    return parts


def _run_row(completion: RunCompletion, since: float) -> RunLogRow:
    task = completion.task.partition(".")[2]
    start_s, end_s = round(completion.started_at - since, 3), round(completion.ended_at - since, 3)
    return (task, completion.number, completion.vm, start_s, end_s, completion.outcome)
