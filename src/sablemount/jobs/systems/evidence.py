"""How strongly the crash of a VM points to the tasks that ran there.

A VM may crash because of what it runs or for a reason outside it. VMs on which no task of the same
job ran serve as the control group: the more of them crash at the same moment, the less a crash says
about the task, and likewise the more another task on the VM explains it. The weight of a crash is
the logarithm of how improbable it is without the task. It is final only once the other VMs have
reported again.
"""

from dataclasses import dataclass, field
from math import exp, log

from sablemount.jobs.state import State
from sablemount.jobs.tables import MAX_CRASH_WEIGHT, NEVER, TaskRow, VmRow

__all__ = [
    "ATTRIBUTION_THRESHOLD",
    "ISOLATED_ATTRIBUTION_THRESHOLD",
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
MAX_SILENCE_S = 3.0
"""Time after which a VM that has been silent since a crash counts as crashed at the same moment."""
CRASH_RETENTION_S = 15.0
"""Time for which a crash is kept: by then the VM's next incarnation is found, with whatever arrived
there."""
MAX_COMPARISONS = 100_000
"""Limit on VMs and crashes examined in a round, each counted once for every crash weighed."""
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
    is_final: bool = False
    """Whether enough is known of the other VMs for its weights to be final."""
    weighed_at: float = NEVER

    def overlaps(self, other: "Crash") -> bool:
        """Return whether another VM may have crashed at the same moment."""
        return self.earliest_at <= other.latest_at and other.earliest_at <= self.latest_at


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

    def attribute(self, vm: str, task: TaskRow) -> None:
        """Record that a crash may count for a task, with full weight until it is weighed."""
        crash = self._crashes.get(vm)
        if crash is None:
            return
        crash.tasks[task.key] = task.step.job.name
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
        for crash in pending[: max(1, MAX_COMPARISONS // comparisons)]:
            crash.weighed_at = self._state.now
            for task in self._weigh(crash, unexplained, entries_by_job):
                affected[task.key] = task
        return list(affected.values())

    def _evict_old(self) -> None:
        cutoff = self._state.now - CRASH_RETENTION_S
        for crash in [each for each in self._crashes.values() if each.recorded_at < cutoff]:
            del self._crashes[crash.vm]
            if crash.weighed_at == NEVER:
                self._apply(crash, dict.fromkeys(crash.tasks.values(), 0.0))

    def _weigh(
        self, crash: Crash, unexplained: list[Crash], entries_by_job: dict[str, set[str]]
    ) -> list[TaskRow]:
        up, silent = self._other_vms(crash)
        settled = self._state.now - crash.recorded_at > MAX_SILENCE_S
        crash.is_final = settled or len(silent) <= MAX_SILENT_RATIO * len(up)
        terminated = silent if settled else set()
        concurrent = terminated | {other.entry for other in unexplained if crash.overlaps(other)}
        concurrent.discard(crash.entry)
        return self._apply(crash, self._weights(crash, up, terminated, concurrent, entries_by_job))

    def _apply(self, crash: Crash, weights: dict[str, float]) -> list[TaskRow]:
        """Apply the weight of a crash for each job; return the tasks that it counts for."""
        affected = []
        for key, job in crash.tasks.items():
            task = self._state.task(key)
            if task is None or crash.vm not in task.crashes:
                continue
            if weights[job] != task.crash_weight(crash.vm):
                task.crash_weights[crash.vm] = weights[job]
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

    def _weights(
        self,
        crash: Crash,
        up: set[str],
        terminated: set[str],
        concurrent: set[str],
        entries_by_job: dict[str, set[str]],
    ) -> dict[str, float]:
        """Return the weight of a crash for each job, given the VMs up, terminated and crashed."""
        idle_crashes = self._idle_crashes(crash)
        attribution = self._attribution(crash)
        total = len(up | concurrent) + 1
        weights = {}
        for job in attribution:
            # VMs on which the job itself ran are not part of the control group.
            own_entries = (entries_by_job.get(job, set()) & concurrent) - terminated
            by_chance = (len(concurrent - own_entries) + PSEUDO_COUNT) / (
                total - len(own_entries - up)
            )
            by_chance = max(by_chance, idle_crashes / (idle_crashes + 1))
            by_others = sum(attribution.values()) - attribution[job]
            weights[job] = round(min(MAX_CRASH_WEIGHT, -log(min(1.0, by_chance + by_others))), 1)
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


def _probability_of_cause(evidence: float) -> float:
    """Return the probability that a task crashes VMs, given the weight of its other crashes."""
    return PRIOR / (PRIOR + (1.0 - PRIOR) * exp(-evidence))
