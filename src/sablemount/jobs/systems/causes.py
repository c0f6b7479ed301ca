"""How probable it is that a job on a crashed VM is the one that crashed it."""

from collections.abc import Iterable
from math import exp, log

from sablemount.jobs.systems.vm_crash import Crash
from sablemount.jobs.tables import TaskRow, TaskState
from sablemount.jobs.times import NEVER

__all__ = ["MIN_PRIOR", "attribution", "estimate_prior", "has_likely_cause", "prior_evidence"]

MIN_PRIOR = 0.01
"""Prior probability that a job on a crashed VM is one that crashes VMs, where none is known."""
MIN_PRIOR_JOBS = 50
"""Number of jobs on crashed VMs that ``MIN_PRIOR`` counts as in the estimate of the prior."""
MAX_PRIOR = 0.1
"""Highest prior: where most jobs on crashed VMs crash them, each of them still has to show it."""
CAUSE_EVIDENCE = 4.6
"""Evidence at which a job is more likely than not one that crashes VMs, given ``MIN_PRIOR``."""
LIKELY_CAUSE_WEIGHT = 1.5
"""Weight of a task's earlier crashes at which it is the likely cause of the next one."""


def estimate_prior(crashes: Iterable[Crash]) -> float:
    """Return the probability that a job on a crashed VM crashes VMs, by the recent crashes.

    Tasks with a crash that was never weighed count as not crashing VMs: its full weight for all of
    them would count many VMs that restart at once as many jobs that crash VMs.
    """
    crashes = list(crashes)
    unweighed = {key for crash in crashes if crash.weighed_at == NEVER for key in crash.tasks}
    evidence: dict[str, float] = {}
    for crash in crashes:
        for key, task in crash.tasks.items():
            job = task.step.job.name
            known = 0.0 if key in unweighed else _evidence(task)
            evidence[job] = max(evidence.get(job, 0.0), known)
    causes = sum(1 for each in evidence.values() if each >= CAUSE_EVIDENCE)
    prior = (causes + MIN_PRIOR * MIN_PRIOR_JOBS) / (len(evidence) + MIN_PRIOR_JOBS)
    return min(MAX_PRIOR, max(MIN_PRIOR, prior))


def prior_evidence(prior: float) -> float:
    """Return the evidence that a job needs less than with ``MIN_PRIOR`` for the same odds."""
    return log(prior / MIN_PRIOR)


def attribution(crash: Crash, prior: float) -> dict[str, float]:
    """Return, for each job that ran on a crashed VM, the probability that it caused the crash."""
    found = dict.fromkeys(sorted(crash.jobs), 0.0)
    for task in crash.tasks.values():
        job = task.step.job.name
        found[job] = max(found[job], _probability_of_cause(task, crash.vm, prior))
    return found


def has_likely_cause(crash: Crash) -> bool:
    """Return whether a crash has a likely cause in what ran there."""
    return any(_evidence(task, crash.vm) >= LIKELY_CAUSE_WEIGHT for task in crash.tasks.values())


def _probability_of_cause(task: TaskRow, vm: str, prior: float) -> float:
    """Return the probability that a task crashes VMs, given the weights of its other crashes."""
    if task.state is TaskState.DONE:
        return 0.0
    return prior / (prior + (1.0 - prior) * exp(-_evidence(task, vm)))


def _evidence(task: TaskRow, excluded_vm: str = "") -> float:
    """Return the evidence against a task; one that has completed does not crash VMs."""
    return 0.0 if task.state is TaskState.DONE else task.evidence(excluded_vm)
