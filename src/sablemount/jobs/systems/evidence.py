"""How strongly the crash of a VM points to the tasks that ran there.

A VM may crash because of what it runs or for a reason outside it. VMs on which no task of the same
job ran serve as the control group. A crash says less about a task

- the more of them crash at the same moment, beyond what their rate of crashes lets expect;
- the longer the task was on the VM, and the more often other VMs have crashed lately;
- the more another task on the VM explains it.

The weight of a crash is the logarithm of how improbable it is without the task. It takes part in a
verdict only once the other VMs have reported again. What later crashes show of the other tasks on
the VM revises it, also after the jobs of these tasks have failed.
"""

from math import exp, log

from sablemount.jobs.model import INCARNATION_SEPARATOR
from sablemount.jobs.state import State
from sablemount.jobs.systems.causes import (
    MIN_PRIOR,
    attribution,
    estimate_prior,
    has_likely_cause,
    prior_evidence,
)
from sablemount.jobs.systems.control_group import ControlGroup, entries_by_job
from sablemount.jobs.systems.vm_crash import CRASH_WINDOW_S, RATE_WINDOW_S, Crash, OtherVms
from sablemount.jobs.tables import MAX_CRASH_WEIGHT, TaskRow
from sablemount.jobs.times import NEVER
from sablemount.jobs.vm_row import VmRow

__all__ = [
    "ATTRIBUTION_THRESHOLD",
    "MAX_TASKS_PER_LINE",
    "MIN_ISOLATED_WEIGHT",
    "Evidence",
]

ATTRIBUTION_THRESHOLD = 6.0
"""Total weight of the crashes of a task for it to count as their cause, where few jobs crash VMs:
odds of 400 to 1."""
ISOLATED_ATTRIBUTION_THRESHOLD = 4.5
"""The same if the task was isolated on its VM at the last crash."""
MIN_ISOLATED_WEIGHT = 1.5
"""Weight that the crash of an isolated task needs for the isolation to count."""
CRASH_WINDOW_BEFORE_ELECTION_S = 5.0
"""Time before a leader's election in which a VM that never reported to it may have crashed."""
UNKNOWN_EXPOSURE_S = 1.0
"""Time before a VM's last report at which a run of unknown age counts as started."""
MAX_SILENCE_S = 3.0
"""Time after which a VM that has been silent since a crash counts as crashed at the same moment."""
CRASH_RETENTION_S = 60.0
"""Time for which a crash is kept: the tasks that ran there may crash further VMs meanwhile, which
shows more of this crash as well."""
REPEATED_CRASH_S = 15.0
"""Longest time between two crashes of one VM for the first to show that the VM is the cause."""
REVISION_INTERVAL_S = 1.0
"""Shortest time between two revisions of the weights."""
MIN_REVISION = 0.2
"""Smallest change of a weight that is applied by a revision."""
MAX_COMPARISONS = 100_000
"""Limit on VMs and crashes examined in a round, each counted once for every job on a VM whose crash
is weighed."""
MAX_TASKS_PER_LINE = 60
"""Most tasks in a log line about a crash."""
MAX_SILENT_RATIO = 0.2
"""Largest ratio of silent VMs to those up at which the other VMs are known well enough at once."""


class Evidence:
    """Keeps the recent crashes, weighs them, and revises their weights."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._crashes: dict[str, Crash] = {}
        self._is_revision_due = False
        """Whether a weight has changed since the last revision began."""
        self._revised_at = NEVER
        self._prior = MIN_PRIOR

    def threshold(self, isolated: bool) -> float:
        """Return the total weight at which crashes are attributed to a task.

        ``isolated`` is whether the task was isolated on its VM at the last crash.
        """
        base = ISOLATED_ATTRIBUTION_THRESHOLD if isolated else ATTRIBUTION_THRESHOLD
        return base - prior_evidence(self._prior)

    def crash(self, vm: str) -> Crash | None:
        """Return the crash of a VM's incarnation, or ``None`` if it is no longer kept."""
        return self._crashes.get(vm)

    def record_crash(self, row: VmRow, isolated_job: str) -> None:
        """Record that a VM has crashed; call it before its runs are removed."""
        now = self._state.now
        for other in self._crashes.values():
            if other.entry == row.info.entry_key:
                # Its weight may change with a further crash of the same VM.
                other.is_outdated = True
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
        crash.tasks[task.key] = task
        # The VM may have crashed before a start that was requested after its last report.
        crash.exposures[task.key] = crash.latest_at - min(since, crash.earliest_at)
        crash.others = None
        crash.is_outdated = True
        self._is_revision_due = True

    def restore(self, vm: str, task: TaskRow) -> None:
        """Restore a crash that a previous leader has counted for a task, with its weight."""
        entry = vm.partition(INCARNATION_SEPARATOR)[0]
        crash = self._crashes.get(vm)
        if crash is None:
            crash = self._crashes[vm] = Crash(vm, entry, NEVER, NEVER, self._state.now, "")
        crash.tasks[task.key] = task
        crash.recorded_weights[task.key] = task.crash_weight(vm)

    # -- Weighing ----------------------------------------------------------------------------

    def weigh(self) -> list[TaskRow]:
        """Weigh some crashes, for the first time or again; return the tasks that this affects.

        Where thousands of VMs crash at once, this takes several rounds.
        """
        self._evict_old()
        self._begin_revision()
        pending = [crash for crash in self._crashes.values() if crash.is_outdated]
        if not pending:
            return []
        pending.sort(key=lambda crash: crash.weighed_at)
        self._prior = estimate_prior(self._crashes.values())
        comparisons = len(self._state.vms) + len(self._crashes)
        unexplained = [crash for crash in self._crashes.values() if not has_likely_cause(crash)]
        entries = entries_by_job(unexplained)
        affected: dict[str, TaskRow] = {}
        remaining = MAX_COMPARISONS
        for crash in pending:
            crash.weighed_at = self._state.now
            for task in self._weigh(crash, unexplained, entries):
                affected[task.key] = task
            remaining -= comparisons * max(1, len(crash.jobs))
            if remaining < comparisons:
                break
        return list(affected.values())

    def _evict_old(self) -> None:
        cutoff = self._state.now - CRASH_RETENTION_S
        for crash in [each for each in self._crashes.values() if each.recorded_at < cutoff]:
            del self._crashes[crash.vm]
            if crash.weighed_at == NEVER:
                self._apply(crash, dict.fromkeys(crash.tasks, 0.0))

    def _begin_revision(self) -> None:
        """Have all crashes weighed again if a weight has changed, once in a while."""
        if not self._is_revision_due or self._state.now - self._revised_at < REVISION_INTERVAL_S:
            return
        self._is_revision_due = False
        self._revised_at = self._state.now
        for crash in self._crashes.values():
            crash.is_outdated = True

    def _weigh(
        self, crash: Crash, unexplained: list[Crash], entries: dict[str, set[str]]
    ) -> list[TaskRow]:
        if crash.recorded_weights:
            crash.is_outdated = False
            return self._apply(crash, _revised_weights(crash, self._prior), MIN_REVISION)
        is_revision = crash.is_final
        control = self._control_group(crash, unexplained, entries)
        crash.is_outdated = not crash.is_final
        weights = self._weights(crash, control)
        affected = self._apply(crash, weights, MIN_REVISION if is_revision else 0.0)
        if crash.is_final and affected:
            self._log(crash, control, affected)
        return affected

    def _control_group(
        self, crash: Crash, unexplained: list[Crash], entries: dict[str, set[str]]
    ) -> ControlGroup:
        others = crash.others or self._other_vms(crash)
        # The recorded crash of a silent VM replaces its silence as evidence.
        known = {other.entry for other in self._crashes.values() if crash.overlaps(other)}
        terminated = others.terminated - known
        concurrent = {other.entry for other in unexplained if crash.overlaps(other)} | terminated
        concurrent.discard(crash.entry)
        near = [other for other in unexplained if crash.is_near(other)]
        observed_s = RATE_WINDOW_S + min(RATE_WINDOW_S, self._state.now - crash.latest_at)
        return ControlGroup(others.up, terminated, concurrent, near, observed_s, entries)

    def _log(self, crash: Crash, control: ControlGroup, tasks: list[TaskRow]) -> None:
        """Log the new weights of a crash, with what they were computed from."""
        rows = [
            (task.key, task.crash_weight(crash.vm), round(crash.exposures[task.key], 3))
            for task in tasks
        ]
        extra = {
            "vm": crash.vm,
            "age": round(self._state.now - crash.recorded_at, 3),
            "window": round(crash.latest_at - crash.earliest_at, 3),
            "up": len(control.up),
            "silent": len(control.terminated),
            "concurrent": len(control.concurrent),
            "near": len(control.near),
            "observed": round(control.observed_s, 3),
            "prior": round(self._prior, 3),
            "weights": rows[:MAX_TASKS_PER_LINE],
        }
        self._state.logger.info("crash weighed", extra=extra)

    def _apply(
        self, crash: Crash, weights: dict[str, float], min_change: float = 0.0
    ) -> list[TaskRow]:
        """Apply the weights of a crash; return the tasks that it counts for.

        Weights that change by less than ``min_change`` stay, and their tasks are not returned.
        """
        affected = []
        for key, task in crash.tasks.items():
            change = abs(weights[key] - task.crash_weight(crash.vm))
            if crash.vm not in task.crashes or change < min_change:
                continue
            affected.append(task)
            if change:
                self._set_weight(task, crash.vm, weights[key])
        return affected

    def _set_weight(self, task: TaskRow, vm: str, weight: float) -> None:
        task.crash_weights[vm] = weight
        self._is_revision_due = True
        self._state.crashes_changed(task)

    def _other_vms(self, crash: Crash) -> OtherVms:
        """Return the other VMs around a crash, and keep them once enough is known of them."""
        up = set()
        silent = set()
        for row in self._state.vms.values():
            if row.terminated or row.info.entry_key == crash.entry:
                continue
            if row.last_report_at >= crash.latest_at:
                up.add(row.info.entry_key)
            elif row.last_report_at >= crash.earliest_at - CRASH_WINDOW_S:
                silent.add(row.info.entry_key)
        settled = self._state.now - crash.recorded_at > MAX_SILENCE_S
        others = OtherVms(up, silent if settled else set())
        if settled or len(silent) <= MAX_SILENT_RATIO * len(up):
            crash.others = others
        return others

    def _weights(self, crash: Crash, control: ControlGroup) -> dict[str, float]:
        """Return the weight of a crash for each task."""
        idle_crashes = self._idle_crashes(crash)
        causes = attribution(crash, self._prior)
        chances = {job: control.chance(crash, job) for job in causes}
        weights = {}
        for key, task in crash.tasks.items():
            job = task.step.job.name
            by_chance = chances[job].within(crash.exposures[key])
            by_chance = max(by_chance, idle_crashes / (idle_crashes + 1))
            by_others = sum(causes.values()) - causes[job]
            weights[key] = _weight(by_chance + by_others)
        return weights

    def _idle_crashes(self, crash: Crash) -> int:
        """Return how often the VM crashed around then with nothing on it that may be the cause."""
        return sum(
            1
            for other in self._crashes.values()
            if other.entry == crash.entry
            and not other.tasks
            and abs(other.recorded_at - crash.recorded_at) <= REPEATED_CRASH_S
        )


def _revised_weights(crash: Crash, prior: float) -> dict[str, float]:
    """Return recorded weights, less what this leader has learnt of the other tasks on the VM."""
    causes = attribution(crash, prior)
    if crash.recorded_causes is None:
        crash.recorded_causes = causes
    gains = {job: causes[job] - crash.recorded_causes.get(job, 0.0) for job in causes}
    weights = {}
    for key, task in crash.tasks.items():
        by_others = sum(gains.values()) - gains[task.step.job.name]
        recorded = crash.recorded_weights.get(key, MAX_CRASH_WEIGHT)
        weights[key] = _weight(exp(-recorded) + max(0.0, by_others))
    return weights


def _weight(probability: float) -> float:
    """Return the weight of a crash of some probability without a task; 0 if it is 1 or more."""
    return round(min(MAX_CRASH_WEIGHT, max(0.0, -log(min(1.0, probability)))), 1)
