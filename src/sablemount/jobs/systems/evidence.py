"""How strongly the crash of a VM points to the tasks that ran there.

A VM may crash because of what it runs or for a reason outside it. VMs on which no task of the same
job ran serve as the control group. A crash says less about a task

- the more of them crash at the same moment, beyond what their rate of crashes lets expect;
- the longer the task was on the VM, and the more often other VMs have crashed lately;
- the more another task on the VM explains it.

The weight of a crash is the logarithm of how improbable it is without the task. It is final only
once the other VMs have reported again.
"""

from dataclasses import dataclass, field
from itertools import pairwise
from math import exp, log

from sablemount.jobs.state import State
from sablemount.jobs.tables import MAX_CRASH_WEIGHT, NEVER, TaskRow, VmRow

__all__ = [
    "ATTRIBUTION_THRESHOLD",
    "ISOLATED_ATTRIBUTION_THRESHOLD",
    "MAX_TASKS_PER_LINE",
    "MIN_ISOLATED_WEIGHT",
    "Crash",
    "Evidence",
]

ATTRIBUTION_THRESHOLD = 6.0
"""Total weight of the crashes of a task for it to count as their cause: odds of 400 to 1."""
ISOLATED_ATTRIBUTION_THRESHOLD = 4.5
"""The same if the task was isolated on its VM at the last crash."""
MIN_ISOLATED_WEIGHT = 1.5
"""Weight that the crash of an isolated task needs for the isolation to count."""
PRIOR = 0.01
"""Prior probability that a job on a crashed VM is one that crashes VMs."""
LIKELY_CAUSE_WEIGHT = 1.5
"""Weight of a task's earlier crashes at which it is the likely cause of the next one."""
PSEUDO_COUNT = 0.1
"""Pseudo-count added to the crashes of other VMs, since few of them may have been observed."""
CRASH_WINDOW_S = 1.3
"""Time from a VM's last report within which it has crashed: a poll takes 1.05 s at most."""
CRASH_WINDOW_BEFORE_ELECTION_S = 5.0
"""Time before a leader's election in which a VM that never reported to it may have crashed."""
SAME_MOMENT_S = 0.3
"""Longest time between two crashes of VMs that something has struck together."""
UNKNOWN_EXPOSURE_S = 1.0
"""Time before a VM's last report at which a run of unknown age counts as started."""
MAX_SILENCE_S = 3.0
"""Time after which a VM that has been silent since a crash counts as crashed at the same moment."""
RATE_WINDOW_S = 5.0
"""Time before and after a crash in which the crashes of other VMs show how often VMs crash."""
CRASH_RETENTION_S = 15.0
"""Time for which a crash is kept: by then the VM's next incarnation is found, with whatever arrived
there."""
MAX_COMPARISONS = 100_000
"""Limit on VMs and crashes examined in a round, each counted once for every job on a VM whose crash
is weighed."""
MAX_TASKS_PER_LINE = 60
"""Most tasks in a log line about a crash."""
MAX_SILENT_RATIO = 0.2
"""Largest ratio of silent VMs to those up at which the weight of a crash is final at once."""


@dataclass(slots=True)
class Crash:
    """Unplanned end of a VM's incarnation, between its last report and its certain end."""

    vm: str
    entry: str
    earliest_at: float
    latest_at: float
    recorded_at: float
    isolated_job: str
    """Job whose task was isolated there, with no other likely cause beside it."""
    tasks: dict[str, str] = field(default_factory=dict)
    """Tasks that the crash may count for, with the job of each."""
    exposures: dict[str, float] = field(default_factory=dict)
    """Seconds for which each of these tasks may have been on the VM."""
    is_final: bool = False
    """Whether enough is known of the other VMs for its weights to be final."""
    weighed_at: float = NEVER

    def overlaps(self, other: "Crash") -> bool:
        """Return whether another VM may have crashed at the same moment."""
        return self.earliest_at <= other.latest_at and other.earliest_at <= self.latest_at

    def is_near(self, other: "Crash") -> bool:
        """Return whether another VM crashed so near in time that it shows the rate of crashes."""
        return abs(self.latest_at - other.latest_at) <= RATE_WINDOW_S


@dataclass(slots=True, frozen=True)
class _Chance:
    """How probable the crash of a VM is without a job."""

    coincidence: float
    """Probability that what has struck other VMs at the same moment struck this one too."""
    rate: float
    """Crashes of a VM per second."""

    def within(self, seconds: float) -> float:
        """Return the probability of a crash within some seconds; it may exceed 1."""
        return self.coincidence + 1.0 - exp(-self.rate * seconds)


@dataclass(slots=True, frozen=True)
class _Control:
    """What is known of the other VMs around a crash, by their entries."""

    up: set[str]
    """VMs that have outlived the crash."""
    terminated: set[str]
    """VMs that have been silent since for so long that they count as crashed with it."""
    concurrent: set[str]
    """VMs that may have crashed at the same moment, the terminated ones included."""
    near: list[Crash]
    """Crashes around the same time without a likely cause."""
    observed_s: float
    """Seconds around the crash that are over by now."""
    entries_by_job: dict[str, set[str]]
    """VMs that crashed without a likely cause while a job ran there, by job."""

    def chance(self, crash: Crash, job: str) -> _Chance:
        """Return how probable the crash is without a job.

        VMs on which the job itself ran are not part of the control group.
        """
        own = (self.entries_by_job.get(job, set()) & self.concurrent) - self.terminated
        vms = len(self.up | self.concurrent) + 1 - len(own - self.up)
        near = [
            other
            for other in self.near
            if other.entry != crash.entry and job not in other.tasks.values()
        ]
        excess = self._excess(crash, near, self.concurrent - own)
        return _Chance((excess + PSEUDO_COUNT) / vms, len(near) / (vms * self.observed_s))

    def _excess(self, crash: Crash, near: list[Crash], concurrent: set[str]) -> float:
        """Return how many more VMs have crashed at the same moment than the rate lets expect."""
        moments = _count_moments([other for other in near if other.entry not in concurrent])
        window_s = CRASH_WINDOW_S + crash.latest_at - crash.earliest_at
        return max(0.0, len(concurrent) - moments * window_s / self.observed_s)


class Evidence:
    """Keeps the recent crashes and weighs them."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._crashes: dict[str, Crash] = {}

    def crash(self, vm: str) -> Crash | None:
        """Return the crash of a VM's incarnation, or ``None`` if it is no longer kept."""
        return self._crashes.get(vm)

    def record_crash(self, row: VmRow, isolated_job: str) -> None:
        """Record that a VM has crashed; call it before its runs are removed."""
        now = self._state.now
        for other in self._crashes.values():
            if other.entry == row.info.entry_key:
                # Its weight may change with a further crash of the same VM.
                other.is_final = False
        earliest_at = (
            row.last_report_at
            if row.last_report_at > 0
            else self._state.elected_at - CRASH_WINDOW_BEFORE_ELECTION_S
        )
        latest_at = min(now, earliest_at + CRASH_WINDOW_S) if row.last_report_at > 0 else now
        if row.connections_refused_since > row.last_report_at:
            latest_at = min(latest_at, row.connections_refused_since)
        self._crashes[row.name] = Crash(
            row.name,
            row.info.entry_key,
            earliest_at,
            max(earliest_at, latest_at),
            now,
            isolated_job,
        )

    def attribute(self, vm: str, task: TaskRow, sent_at: float | None) -> None:
        """Record that a crash may count for a task, with full weight until it is weighed.

        ``sent_at`` is when the start of the task's run was requested, ``None`` if a previous leader
        requested it.
        """
        crash = self._crashes.get(vm)
        if crash is None:
            return
        since = crash.earliest_at - UNKNOWN_EXPOSURE_S if sent_at is None else sent_at
        crash.tasks[task.key] = task.step.job.name
        # The VM may have crashed before a start that was requested after its last report.
        crash.exposures[task.key] = crash.latest_at - min(since, crash.earliest_at)
        crash.is_final = False

    # -- Weighing ----------------------------------------------------------------------------

    def weigh(self) -> list[TaskRow]:
        """Weigh some crashes that are not final; return the tasks whose evidence may have changed.

        Where thousands of VMs crash at once, this takes several rounds.
        """
        self._evict_old()
        pending = [crash for crash in self._crashes.values() if not crash.is_final]
        if not pending:
            return []
        pending.sort(key=lambda crash: crash.weighed_at)
        comparisons = len(self._state.vms) + len(self._crashes)
        unexplained = [
            crash for crash in self._crashes.values() if not self._has_likely_cause(crash)
        ]
        entries_by_job = _entries_by_job(unexplained)
        affected: dict[str, TaskRow] = {}
        remaining = MAX_COMPARISONS
        for crash in pending:
            crash.weighed_at = self._state.now
            for task in self._weigh(crash, unexplained, entries_by_job):
                affected[task.key] = task
            remaining -= comparisons * max(1, len(set(crash.tasks.values())))
            if remaining < comparisons:
                break
        return list(affected.values())

    def _evict_old(self) -> None:
        cutoff = self._state.now - CRASH_RETENTION_S
        for crash in [each for each in self._crashes.values() if each.recorded_at < cutoff]:
            del self._crashes[crash.vm]
            if crash.weighed_at == NEVER:
                self._apply(crash, dict.fromkeys(crash.tasks, 0.0))

    def _weigh(
        self, crash: Crash, unexplained: list[Crash], entries_by_job: dict[str, set[str]]
    ) -> list[TaskRow]:
        up, silent = self._other_vms(crash)
        settled = self._state.now - crash.recorded_at > MAX_SILENCE_S
        crash.is_final = settled or len(silent) <= MAX_SILENT_RATIO * len(up)
        terminated = silent if settled else set()
        concurrent = terminated | {other.entry for other in unexplained if crash.overlaps(other)}
        concurrent.discard(crash.entry)
        near = [other for other in unexplained if crash.is_near(other)]
        observed_s = RATE_WINDOW_S + min(RATE_WINDOW_S, self._state.now - crash.latest_at)
        control = _Control(up, terminated, concurrent, near, observed_s, entries_by_job)
        weights = self._weights(crash, control)
        if crash.is_final and weights:
            self._log(crash, control, weights)
        return self._apply(crash, weights)

    def _log(self, crash: Crash, control: _Control, weights: dict[str, float]) -> None:
        """Log the final weights of a crash, with what they were computed from."""
        rows = [(key, weight, round(crash.exposures[key], 3)) for key, weight in weights.items()]
        extra = {
            "vm": crash.vm,
            "window": round(crash.latest_at - crash.earliest_at, 3),
            "up": len(control.up),
            "silent": len(control.terminated),
            "concurrent": len(control.concurrent),
            "near": len(control.near),
            "observed": round(control.observed_s, 3),
            "weights": rows[:MAX_TASKS_PER_LINE],
        }
        self._state.logger.info("crash weighed", extra=extra)

    def _apply(self, crash: Crash, weights: dict[str, float]) -> list[TaskRow]:
        """Apply the weight of a crash for each task; return the tasks that it counts for."""
        affected = []
        for key in crash.tasks:
            task = self._state.task(key)
            if task is None or crash.vm not in task.crashes:
                continue
            if weights[key] != task.crash_weight(crash.vm):
                task.crash_weights[crash.vm] = weights[key]
                self._state.mark_dirty(task.step.job)
            affected.append(task)
        return affected

    def _other_vms(self, crash: Crash) -> tuple[set[str], set[str]]:
        """Return the other VMs that have outlived a crash, and those silent since."""
        up = set()
        silent = set()
        for row in self._state.vms.values():
            if row.terminated or row.info.entry_key == crash.entry:
                continue
            if row.last_report_at >= crash.latest_at:
                up.add(row.info.entry_key)
            elif row.last_report_at >= crash.earliest_at - CRASH_WINDOW_S:
                silent.add(row.info.entry_key)
        return up, silent

    def _weights(self, crash: Crash, control: _Control) -> dict[str, float]:
        """Return the weight of a crash for each task."""
        idle_crashes = self._idle_crashes(crash)
        attribution = self._attribution(crash)
        chances = {job: control.chance(crash, job) for job in attribution}
        weights = {}
        for key, job in crash.tasks.items():
            by_chance = chances[job].within(crash.exposures[key])
            by_chance = max(by_chance, idle_crashes / (idle_crashes + 1))
            by_others = sum(attribution.values()) - attribution[job]
            weights[key] = round(min(MAX_CRASH_WEIGHT, -log(min(1.0, by_chance + by_others))), 1)
        return weights

    def _idle_crashes(self, crash: Crash) -> int:
        """Return how often a VM has recently crashed with nothing on it that may have caused it."""
        others = (other for other in self._crashes.values() if other.entry == crash.entry)
        return sum(1 for other in others if not other.tasks)

    def _attribution(self, crash: Crash) -> dict[str, float]:
        """Return, for each job that ran on the VM, the probability that it caused the crash."""
        attribution = dict.fromkeys(crash.tasks.values(), 0.0)
        for key, job in crash.tasks.items():
            task = self._state.task(key)
            if task is not None:
                attribution[job] = max(
                    attribution[job], _probability_of_cause(task.evidence(crash.vm))
                )
        return attribution

    def _has_likely_cause(self, crash: Crash) -> bool:
        """Return whether a crash has a likely cause in what ran there."""
        tasks = (self._state.task(key) for key in crash.tasks)
        return any(
            task.evidence(crash.vm) >= LIKELY_CAUSE_WEIGHT for task in tasks if task is not None
        )


def _entries_by_job(crashes: list[Crash]) -> dict[str, set[str]]:
    """Return, for each job, the VMs that crashed with one of its tasks on them."""
    entries: dict[str, set[str]] = {}
    for crash in crashes:
        for job in crash.tasks.values():
            entries.setdefault(job, set()).add(crash.entry)
    return entries


def _count_moments(crashes: list[Crash]) -> int:
    """Return at how many moments some VMs have crashed: several crash together at one moment."""
    times = sorted(crash.latest_at for crash in crashes)
    return sum(1 for before, at in pairwise([NEVER, *times]) if at - before > SAME_MOMENT_S)


def _probability_of_cause(evidence: float) -> float:
    """Return the probability that a task crashes VMs, given the weight of its other crashes."""
    return PRIOR / (PRIOR + (1.0 - PRIOR) * exp(-evidence))
