"""Checks of the replies that callers got about their jobs against what the VMs have run."""

from tests.emulator.job_model import task_names
from tests.emulator.late_starts import CANCEL_EFFECT_S, late_starts
from tests.emulator.vms import Cell

__all__ = ["ACCEPTED", "CANCEL_EFFECT_S", "GONE", "Verdicts"]

ACCEPTED = (200, 201, 202)
GONE = 410
CRASHES_UNTIL_FAILED = 2
"""Crashes of VMs under a task after which its job may be reported as failed."""
VISIBLE_AFTER_S = 3.0
"""Seconds after its acceptance from which every process has to know a job."""


class Verdicts:
    """The jobs by the replies about them, and the violations found in these replies."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self.accepted: dict[str, float] = {}
        """Accepted jobs, each with the time of the first acceptance."""
        self.refused: set[str] = set()
        """Jobs whose submission was refused in all attempts."""
        self.cancelled: set[str] = set()
        self.unserved: set[str] = set()
        """Jobs that the VMs can't run: none has their label, or they are too few for a gang."""
        self.told_unserved: set[str] = set()
        """Jobs whose callers were told that no VM can run them."""
        self._cancelled_at: dict[str, float] = {}
        """When the cancellation of a job was acknowledged before the job had ended."""
        self.violations: list[str] = []
        self._acceptance_expected: dict[str, bool] = {}
        """Jobs submitted with retries, and whether an acceptance is expected."""
        self._not_found: set[str] = set()
        """Accepted jobs that a process did not know."""

    def record_attempt(self, job: str, store_down: bool) -> None:
        """Record an attempt to submit a job by a caller that retries.

        An acceptance is expected unless the store was down at each attempt, when none is possible.
        """
        self._acceptance_expected[job] = self._acceptance_expected.get(job, False) or not store_down

    def check_accepted_share(self, min_share: float) -> list[str]:
        """Return a violation if fewer than a share of the jobs with retries were accepted.

        Only the jobs whose acceptance is expected count, which excludes those that no VM can run
        and whose callers were told so.
        """
        expected = {job for job, is_expected in self._acceptance_expected.items() if is_expected}
        expected -= self.told_unserved & self.unserved
        accepted = expected & self.accepted.keys()
        if len(accepted) >= min_share * len(expected):
            return []
        return [f"only {len(accepted)} of {len(expected)} jobs were accepted"]

    def record_acceptance(self, job: str, now: float) -> None:
        """Record that the acceptance of a job was reported to its caller."""
        self.accepted.setdefault(job, now)

    def record_told_unserved(self, job: str) -> None:
        """Record that a job was refused because no VM can run it, which has to be true."""
        if job not in self.unserved and job not in self.told_unserved:
            self.violations.append(f"{job} was refused as no VM can run it, and VMs can")
        if job in self.accepted:
            self.violations.append(f"{job} was refused as no VM can run it, once accepted")
        self.told_unserved.add(job)

    def record_cancellation(self, job: str, state: str, now: float) -> None:
        """Record the state of a job in the reply to its cancellation."""
        if state == "cancelled":
            self._cancelled_at.setdefault(job, now)

    def record_cancelled_unknown(self, job: str, now: float) -> None:
        """Record that the cancellation of a job was answered that there is none.

        A submission of it that was read late must not be taken afterwards.
        """
        if job not in self.accepted:
            self._cancelled_at.setdefault(job, now)

    def late_starts(self) -> list[str]:
        """Return the tasks that started too long after the cancellation of their job."""
        return late_starts(self._cell.starts, self._cancelled_at)

    def check_reply(self, job: str, code: int, state: str, asked_at: float, node: str) -> None:
        """Check a reply to a query of a job's state."""
        if code == GONE:
            self._check_not_found(job, asked_at, node)
        elif code in ACCEPTED and job in self.told_unserved and job not in self.accepted:
            self.violations.append(f"{node} reports {job}, which was refused")
        elif job in self.unserved and state in ("running", "succeeded"):
            self.violations.append(f"{node} reports {job} as {state}, which no VM can run")
        elif state == "succeeded" and job in self._cancelled_at:
            what = "as succeeded after its cancellation was acknowledged"
            self.violations.append(f"{node} reports {job} {what}")
        elif state == "succeeded":
            self._check_succeeded(job, node)
        elif state == "failed" and self._may_fail_for_crashes(job):
            return
        elif state == "failed" or (state == "cancelled" and job not in self.cancelled):
            self.violations.append(f"{node} reports {job} as {state} without a cause")

    def _check_not_found(self, job: str, asked_at: float, node: str) -> None:
        accepted_at = self.accepted.get(job)
        if accepted_at is None or job in self.cancelled:
            return
        after = asked_at - accepted_at
        if after > VISIBLE_AFTER_S and job not in self._not_found:
            self._not_found.add(job)
            self.violations.append(
                f"{node} does not know {job}, asked {after:.1f} s after acceptance"
            )

    def _check_succeeded(self, job: str, node: str) -> None:
        if job in self._cell.succeeded:
            return
        tasks = task_names(job, self._cell.jobs[job])
        missing = [task for task in tasks if task not in self._cell.done]
        if missing:
            self.violations.append(f"{node} reports {job} as succeeded without {missing}")
        self._cell.succeeded.add(job)

    def is_allowed_final_state(self, job: str, state: str) -> bool:
        """Return whether an accepted job's state is allowed once the system has settled."""
        if state == "failed":
            return self._may_fail_for_crashes(job)
        if job in self.unserved and job not in self.cancelled:
            return state == "pending"
        return state == "succeeded" or (state == "cancelled" and job in self.cancelled)

    def _may_fail_for_crashes(self, job: str) -> bool:
        """Return whether a job may fail because it crashes VMs, and enough of them have crashed."""
        under = self._cell.crashes_while_running
        found = [count for task, count in under.items() if task.startswith(f"{job}.")]
        return self._cell.crashes_vms(job) and max(found, default=0) >= CRASHES_UNTIL_FAILED
