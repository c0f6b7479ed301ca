"""How probable the crash of a VM is without a job, by what happened to the other VMs around it."""

from dataclasses import dataclass
from itertools import pairwise
from math import exp

from sablemount.jobs.systems.vm_crash import CRASH_WINDOW_S, Crash
from sablemount.jobs.times import NEVER

__all__ = ["Chance", "ControlGroup", "entries_by_job"]

PSEUDO_COUNT = 0.1
"""Pseudo-count added to the crashes of other VMs, since few of them may have been observed."""
SAME_MOMENT_S = 0.3
"""Longest time between two crashes of VMs that something has struck together."""


@dataclass(slots=True, frozen=True)
class Chance:
    """How probable the crash of a VM is without a job."""

    coincidence: float
    """Probability that what has struck other VMs at the same moment struck this one too."""
    rate: float
    """Crashes of a VM per second."""

    def within(self, seconds: float) -> float:
        """Return the probability of a crash within some seconds; it may exceed 1."""
        return self.coincidence + 1.0 - exp(-self.rate * seconds)


@dataclass(slots=True, frozen=True)
class ControlGroup:
    """What is known of the other VMs around a crash, by their entries."""

    up: set[str]
    """VMs that have outlived the crash."""
    terminated: set[str]
    """VMs that have been silent since, and whose crash is not known."""
    concurrent: set[str]
    """VMs that may have crashed at the same moment, the terminated ones included."""
    near: list[Crash]
    """Crashes around the same time without a likely cause."""
    observed_s: float
    """Seconds around the crash that are over by now."""
    entries_by_job: dict[str, set[str]]
    """VMs that crashed without a likely cause while a job ran there, by job."""

    def chance(self, crash: Crash, job: str) -> Chance:
        """Return how probable the crash is without a job.

        VMs on which the job itself ran are not part of the control group.
        """
        own = (self.entries_by_job.get(job, set()) & self.concurrent) - self.terminated
        vms = len(self.up | self.concurrent) + 1 - len(own - self.up)
        near = [
            other for other in self.near if other.entry != crash.entry and job not in other.jobs
        ]
        excess = self._excess(crash, near, self.concurrent - own)
        return Chance((excess + PSEUDO_COUNT) / vms, len(near) / (vms * self.observed_s))

    def _excess(self, crash: Crash, near: list[Crash], concurrent: set[str]) -> float:
        """Return how many more VMs have crashed at the same moment than the rate lets expect."""
        moments = _count_moments([other for other in near if other.entry not in concurrent])
        window_s = CRASH_WINDOW_S + crash.latest_at - crash.earliest_at
        return max(0.0, len(concurrent) - moments * window_s / self.observed_s)


def entries_by_job(crashes: list[Crash]) -> dict[str, set[str]]:
    """Return, for each job, the VMs that crashed with one of its tasks on them."""
    entries: dict[str, set[str]] = {}
    for crash in crashes:
        for job in crash.jobs:
            entries.setdefault(job, set()).add(crash.entry)
    return entries


def _count_moments(crashes: list[Crash]) -> int:
    """Return at how many moments some VMs have crashed: several crash together at one moment."""
    times = sorted(crash.latest_at for crash in crashes)
    return sum(1 for before, at in pairwise([NEVER, *times]) if at - before > SAME_MOMENT_S)
