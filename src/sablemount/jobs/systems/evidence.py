"""How much the crash of a VM tells of the tasks that ran there.

A VM crashes by what it runs, or by what befalls it. VMs on which nothing of a task's job ran tell
the two apart: as far as they crash in the same moment, a crash tells nothing of the task; nor does
it as far as another task on the VM explains it. What a crash tells is the logarithm of how
improbable it is without the task. It is sure only once the other VMs are heard again.
"""

from dataclasses import dataclass, field
from math import exp, log

from sablemount.jobs.state import State
from sablemount.jobs.tables import CLEAR, NEVER, TaskRow, VmRow

__all__ = ["CONVICTING", "CONVICTING_ALONE", "TELLING", "Crash", "Evidence"]

CONVICTING = 6.0
"""What all crashes under a task have to tell for it to be their cause: odds of 400 to 1."""
CONVICTING_ALONE = 4.5
"""The same once it was alone on its VM at the last of them."""
TELLING = 1.5
"""What the crash at a trial has to tell for that to count as one."""
RARE = 0.01
"""Share of the jobs on crashed VMs that crash VMs, as long as nothing more is known."""
EXPLAINED = 1.5
"""What earlier crashes tell of a task that is the likely cause of the next one."""
LEAST = 0.1
"""Crashes that are added to those of other VMs, since few of them may have been seen."""
GONE_WITHIN = 1.3
"""Seconds after its last word by which a VM has crashed: a look takes 1.05 s at most."""
BEFORE_ELECTED = 5.0
"""Seconds before a leader's election in which a VM may have crashed that it never heard."""
OPEN_FOR = 3.0
"""Seconds after which a VM that is silent since a crash counts as gone in the same moment."""
KEPT_FOR = 15.0
"""Seconds for which a crash is known: a VM's next life is found by then, with what came there."""
MOST_LOOKS = 100_000
"""VMs and crashes looked at in a round, each as often as a crash is weighed."""
UNKNOWN = 0.2
"""Share of the other VMs that may be silent as a crash is weighed for good."""


@dataclass(slots=True)
class Crash:
    """The unplanned end of a VM's life, between its last word and when it was gone for certain."""

    vm: str
    entry: str
    began: float
    ended: float
    noted_at: float
    trial: str
    """Job whose task was on trial there with nothing beside it that is a likely cause."""
    under: dict[str, str] = field(default_factory=dict)
    """Tasks that it may count for, with the job of each."""
    sure: bool = False
    """Whether enough is known of the other VMs."""
    weighed_at: float = NEVER

    def overlaps(self, other: "Crash") -> bool:
        """Tell whether another VM may have crashed in the same moment."""
        return self.began <= other.ended and other.began <= self.ended


class Evidence:
    """Knows the crashes of late, and weighs them."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._crashes: dict[str, Crash] = {}

    def crash(self, vm: str) -> Crash | None:
        """Return the crash of a VM's life; ``None`` if it is too long ago."""
        return self._crashes.get(vm)

    def note(self, row: VmRow, trial: str) -> None:
        """Take that a VM has crashed; call it before its runs are taken out."""
        now = self._state.now
        for other in self._crashes.values():
            if other.entry == row.info.entry:
                # What it tells may change by a crash of the same VM.
                other.sure = False
        began = row.heard_at if row.heard_at > 0 else self._state.elected_at - BEFORE_ELECTED
        ended = min(now, began + GONE_WITHIN) if row.heard_at > 0 else now
        if row.refused_since > row.heard_at:
            ended = min(ended, row.refused_since)
        self._crashes[row.name] = Crash(
            row.name, row.info.entry, began, max(began, ended), now, trial
        )

    def blame(self, vm: str, task: TaskRow) -> None:
        """Take that a crash may count for a task; it does in full unless it is weighed."""
        crash = self._crashes.get(vm)
        if crash is None:
            return
        crash.under[task.key] = task.step.job.name
        crash.sure = False

    # -- Weighing ----------------------------------------------------------------------------

    def weigh(self) -> list[TaskRow]:
        """Weigh some of what is not sure yet; return the tasks of which more may be known.

        Where thousands of VMs crash at once, that takes several rounds.
        """
        self._forget()
        unsure = [crash for crash in self._crashes.values() if not crash.sure]
        if not unsure:
            return []
        unsure.sort(key=lambda crash: crash.weighed_at)
        looks = len(self._state.vms) + len(self._crashes)
        unexplained = [crash for crash in self._crashes.values() if not self._explained(crash)]
        beside = _entries_by_job(unexplained)
        found: dict[str, TaskRow] = {}
        for crash in unsure[: max(1, MOST_LOOKS // looks)]:
            crash.weighed_at = self._state.now
            for task in self._weigh(crash, unexplained, beside):
                found[task.key] = task
        return list(found.values())

    def _forget(self) -> None:
        before = self._state.now - KEPT_FOR
        for crash in [each for each in self._crashes.values() if each.noted_at < before]:
            del self._crashes[crash.vm]
            if crash.weighed_at == NEVER:
                self._take(crash, dict.fromkeys(crash.under.values(), 0.0))

    def _weigh(
        self, crash: Crash, unexplained: list[Crash], beside: dict[str, set[str]]
    ) -> list[TaskRow]:
        up, silent = self._others(crash)
        over = self._state.now - crash.noted_at > OPEN_FOR
        crash.sure = over or len(silent) <= UNKNOWN * len(up)
        gone = silent if over else set()
        together = gone | {other.entry for other in unexplained if crash.overlaps(other)}
        together.discard(crash.entry)
        return self._take(crash, self._weights(crash, up, gone, together, beside))

    def _take(self, crash: Crash, weights: dict[str, float]) -> list[TaskRow]:
        """Take what a crash tells of each job; return the tasks that it counts for."""
        found = []
        for key, job in crash.under.items():
            task = self._state.task(key)
            if task is None or crash.vm not in task.crashes:
                continue
            if weights[job] != task.weight(crash.vm):
                task.weights[crash.vm] = weights[job]
                self._state.mark(task.step.job)
            found.append(task)
        return found

    def _others(self, crash: Crash) -> tuple[set[str], set[str]]:
        """Return the other VMs that have outlived a crash, and those that are silent since."""
        up = set()
        silent = set()
        for row in self._state.vms.values():
            if row.gone or row.info.entry == crash.entry:
                continue
            if row.heard_at >= crash.ended:
                up.add(row.info.entry)
            elif row.heard_at >= crash.began - GONE_WITHIN:
                silent.add(row.info.entry)
        return up, silent

    def _weights(
        self,
        crash: Crash,
        up: set[str],
        gone: set[str],
        together: set[str],
        beside: dict[str, set[str]],
    ) -> dict[str, float]:
        """Return what a crash tells of each job, beside VMs that were up, gone, or crashed too."""
        idle = self._crashed_idle(crash)
        guilt = self._guilt(crash)
        every = len(up | together) + 1
        weights = {}
        for job in guilt:
            # Where the job itself ran is no control.
            own = (beside.get(job, set()) & together) - gone
            by_chance = (len(together - own) + LEAST) / (every - len(own - up))
            by_chance = max(by_chance, idle / (idle + 1))
            by_others = sum(guilt.values()) - guilt[job]
            weights[job] = round(min(CLEAR, -log(min(1.0, by_chance + by_others))), 1)
        return weights

    def _crashed_idle(self, crash: Crash) -> int:
        """Return how often a VM has crashed of late with nothing on it that may have caused it."""
        others = (other for other in self._crashes.values() if other.entry == crash.entry)
        return sum(1 for other in others if not other.under)

    def _guilt(self, crash: Crash) -> dict[str, float]:
        """Return how probable it is of each job on a VM that it has crashed that."""
        guilt = dict.fromkeys(crash.under.values(), 0.0)
        for key, job in crash.under.items():
            task = self._state.task(key)
            if task is not None:
                guilt[job] = max(guilt[job], _guilt_by(task.evidence(crash.vm)))
        return guilt

    def _explained(self, crash: Crash) -> bool:
        """Tell whether a crash has a likely cause in what ran there."""
        tasks = (self._state.task(key) for key in crash.under)
        return any(task.evidence(crash.vm) >= EXPLAINED for task in tasks if task is not None)


def _entries_by_job(crashes: list[Crash]) -> dict[str, set[str]]:
    """Return the VMs that have crashed with something of each job on them."""
    found: dict[str, set[str]] = {}
    for crash in crashes:
        for job in crash.under.values():
            found.setdefault(job, set()).add(crash.entry)
    return found


def _guilt_by(evidence: float) -> float:
    """Return how probable it is that a task crashes VMs, by what other crashes tell."""
    return RARE / (RARE + (1.0 - RARE) * exp(-evidence))
