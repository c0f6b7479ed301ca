"""How probable it is that a job on a crashed VM is the one that crashed it."""

from math import exp

from sablemount.jobs.systems.vm_crash import Crash
from sablemount.jobs.tables import TaskRow, TaskState

__all__ = ["attribution", "has_likely_cause"]

PRIOR = 0.01
"""Prior probability that a job on a crashed VM is one that crashes VMs."""
LIKELY_CAUSE_WEIGHT = 1.5
"""Weight of a task's earlier crashes at which it is the likely cause of the next one."""


def attribution(crash: Crash) -> dict[str, float]:
    """Return, for each job that ran on a crashed VM, the probability that it caused the crash."""
    found = dict.fromkeys(sorted(crash.jobs), 0.0)
    for task in crash.tasks.values():
        job = task.step.job.name
        found[job] = max(found[job], _probability_of_cause(task, crash.vm))
    return found


def has_likely_cause(crash: Crash) -> bool:
    """Return whether a crash has a likely cause in what ran there."""
    return any(_evidence(task, crash.vm) >= LIKELY_CAUSE_WEIGHT for task in crash.tasks.values())


def _probability_of_cause(task: TaskRow, vm: str) -> float:
    """Return the probability that a task crashes VMs, given the weights of its other crashes."""
    if task.state is TaskState.DONE:
        return 0.0
    return PRIOR / (PRIOR + (1.0 - PRIOR) * exp(-_evidence(task, vm)))


def _evidence(task: TaskRow, excluded_vm: str) -> float:
    """Return the evidence against a task; one that has completed does not crash VMs."""
    return 0.0 if task.state is TaskState.DONE else task.evidence(excluded_vm)
