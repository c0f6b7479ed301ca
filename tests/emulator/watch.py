"""Invariants between leaders and the store, checked at each step.

The late effects of a violation (a task that runs twice, a lost job) only show under a later leader
and by chance; a promise of the leader that the store does not back is found here as it is made.
"""

import random
from collections.abc import Callable

import msgspec

from sablemount.control.leader import Leader
from sablemount.control.store import AppendResult, Producer, Topic
from sablemount.jobs.actions import CompletionReport
from sablemount.jobs.records import (
    JOB_PREFIX,
    PROGRESS_PREFIX,
    VM_PREFIX,
    Progress,
    Record,
    decode_progress,
    decode_vm,
)
from sablemount.jobs.tables import JobState
from sablemount.platform.lives import incarnation_name
from tests.emulator.store import StoreState
from tests.emulator.vm import Vm
from tests.emulator.vms import loop_time

__all__ = ["InvariantChecker", "CheckedStoreState"]


CLOCK_TOLERANCE_S = 0.003
"""Seconds by which a time on a VM's clock may differ, since it counts whole milliseconds."""


class InvariantChecker:
    """Compares what leaders treat as durable, and report to others, with the store's contents.

    Each violation names the fault, the epoch and, if there is one, the sequence number.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.newest: dict[str, bytes] = {}
        """The newest value of each key of the jobs topic."""
        self._epoch = -1
        self._highest_claim = -1
        self._newest_at_start: dict[int, dict[str, bytes]] = {}
        """The newest values when an epoch was set: no earlier epoch can write after that."""
        self._batches_by_epoch: dict[int, dict[int, list[Record]]] = {}
        """Batches that the store has appended, by epoch and sequence number."""
        self._appended_batches: set[tuple[int, tuple[Record, ...]]] = set()
        self._finished_jobs: set[str] = set()
        """Jobs whose final state has been in the store; its record may have been dropped since."""
        self._reported_final: dict[str, int] = {}
        """Lowest epoch in which a job was reported to a caller in a final state, by job."""

    # -- Events of the store -------------------------------------------------------------------

    def on_new_epoch(self, epoch: int) -> None:
        """Record that the store has received a new epoch."""
        self._epoch = epoch
        self._newest_at_start[epoch] = dict(self.newest)
        self._batches_by_epoch[epoch] = {}

    def on_batch_appended(self, epoch: int, sequence: int, records: list[Record]) -> None:
        """Record that the store has appended a batch."""
        batches = self._batches_by_epoch[epoch]
        if sequence != len(batches):
            self._add_violation(f"the store wanted batch {len(batches)} next", epoch, sequence)
        batches[sequence] = list(records)
        self._appended_batches.add((epoch, tuple(records)))
        for record in records:
            self._apply(record)

    def _apply(self, record: Record) -> None:
        if not record.value:
            self.newest.pop(record.key, None)
            return
        self.newest[record.key] = record.value
        if record.key.startswith(PROGRESS_PREFIX):
            progress = decode_progress(record.value)
            if JobState(progress.state).is_final:
                self._finished_jobs.add(record.key.removeprefix(PROGRESS_PREFIX))

    def on_claim(self, epoch: int) -> None:
        """Record that the store has appended a claim."""
        if epoch <= self._highest_claim:
            self._add_violation(f"claimed after epoch {self._highest_claim}", epoch)
        self._highest_claim = max(self._highest_claim, epoch)

    # -- Checks of leaders ---------------------------------------------------------------------

    def check_append(self, epoch: int, sequence: int, records: list[Record]) -> None:
        """Check a batch whose append has returned: it and all before it are in the store."""
        batches = self._batches_by_epoch.get(epoch, {})
        if batches.get(sequence) != records:
            keys = [record.key for record in records[:3]]
            self._add_violation(f"appended, but not in the store: {keys}", epoch, sequence)
        missing = [number for number in range(sequence) if number not in batches]
        if missing:
            self._add_violation(f"appended before batches {missing[:3]}", epoch, sequence)

    def check_durable(self, epoch: int, records: list[Record]) -> None:
        """Check a batch that the journal treats as durable."""
        if records and (epoch, tuple(records)) not in self._appended_batches:
            keys = [record.key for record in records[:3]]
            self._add_violation(f"counted as durable, but not in the store: {keys}", epoch)

    def check_load(self, epoch: int, records: list[Record]) -> None:
        """Check what a leader has loaded against the records at the time its epoch was set.

        While it leads nobody else writes. After a later epoch is set its promises have no effect,
        and what it loads may include records of the later leader; it is not checked any more.
        """
        expected = self._newest_at_start.get(epoch)
        if expected is None:
            self._add_violation("loaded before the epoch was set", epoch)
        elif self._epoch == epoch:
            self._compare_load(epoch, records, expected)

    def _compare_load(self, epoch: int, records: list[Record], expected: dict[str, bytes]) -> None:
        found = {record.key: record.value for record in records}
        wrong = sorted(
            key for key in found.keys() | expected.keys() if found.get(key) != expected.get(key)
        )
        if wrong:
            self._add_violation(f"loaded other records than the store's: {wrong[:3]}", epoch)
        if len(found) < len(records):
            self._add_violation("loaded two records of one key", epoch)

    def check_acknowledgement(self, epoch: int, vm: str, end: CompletionReport) -> None:
        """Check the acknowledgement of a completion: the stored progress of its job covers it."""
        if not self._is_covered(end):
            fault = (
                f"completion {end.number} of {vm} acknowledged, but not in the store: {end.task}"
            )
            self._add_violation(f"{fault}, run {end.run}, {end.outcome}", epoch)

    def _is_covered(self, end: CompletionReport) -> bool:
        """Return whether the store holds a completion, or a record that makes it irrelevant.

        Outcomes other than ``done`` and ``failed`` change no record.
        """
        job, repetition, step, index = end.task.split(".")
        if end.outcome not in ("done", "failed") or job in self._finished_jobs:
            return True
        value = self.newest.get(PROGRESS_PREFIX + job)
        progress = Progress(0) if value is None else decode_progress(value)
        if int(progress.completed or "0", 16) >> int(repetition) & 1:
            return True
        step_progress = progress.steps.get(f"{repetition}.{step}")
        if step_progress is None:
            return False
        done = int(step_progress.done or "0", 16) >> int(index) & 1
        failed = end.run in step_progress.failures.get(int(index), ())
        return bool(done) or (end.outcome == "failed" and failed)

    def check_start_request(self, epoch: int, vm: str, task: str, up: bool = True) -> None:
        """Check a start request: the store holds the task's job, and that the VM is in use.

        The VM is not checked if it has ended: nothing can start there, and a repeated request may
        not have noticed the end.
        """
        job = task.partition(".")[0]
        if JOB_PREFIX + job not in self.newest and job not in self._finished_jobs:
            self._add_violation(f"start requested, but its job is not in the store: {task}", epoch)
        if up and VM_PREFIX + vm not in self.newest:
            self._add_violation(
                f"start requested on {vm}, whose use is not in the store: {task}", epoch
            )
        if up and VM_PREFIX + vm in self.newest:
            record = decode_vm(self.newest[VM_PREFIX + vm])
            # No leader counts a seal that was set by any but its own predecessor.
            if record.sealed_epoch >= max(1, epoch - 1) and task not in record.sealed_tasks:
                self._add_violation(f"start requested on {vm}, which is sealed: {task}", epoch)
        if self._reported_final.get(job, epoch + 1) <= epoch:
            self._add_violation(
                f"start requested after its job was reported as ended: {task}", epoch
            )

    def check_lease(self, leader: Leader, vm: Vm) -> None:
        """Check that a leader expects the lease of a VM with runs to last as long as it does."""
        name = incarnation_name(vm.info.name, vm.started_at_ms)
        row = leader.scheduler.state.vms.get(name)
        if not vm.up or not vm.runs or not leader.leading or row is None or row.terminated:
            return
        if row.first_report_at < 0 and not row.earlier_runs_possible:
            # It was not in use as this leader was elected, and has got no work from it.
            return
        short_s = vm.lease_end(loop_time()) - leader.scheduler.leases.end(row)
        if short_s > CLOCK_TOLERANCE_S:
            fault = f"lease of {name} counted as {short_s:.3f} s shorter than it is"
            self._add_violation(fault, leader.epoch)

    def check_acceptance(self, epoch: int, name: str) -> None:
        """Check that a job reported to its caller as accepted is in the store."""
        if JOB_PREFIX + name not in self.newest and name not in self._finished_jobs:
            self._add_violation(f"reported as accepted, but not in the store: {name}", epoch)

    def check_reported_state(self, epoch: int, name: str, state: str) -> None:
        """Check that a final state reported to a caller is in the store."""
        if not JobState[state.upper()].is_final:
            return
        if name not in self._finished_jobs:
            self._add_violation(f"reported in state {state}, but not in the store: {name}", epoch)
        self._reported_final[name] = min(epoch, self._reported_final.get(name, epoch))

    def _add_violation(self, fault: str, epoch: int, sequence: int | None = None) -> None:
        position = f"epoch {epoch}" if sequence is None else f"epoch {epoch}, sequence {sequence}"
        self.violations.append(f"{position}: {fault}")


class CheckedStoreState(StoreState):
    """The emulated store, which reports its appends to the checker."""

    def __init__(self, rng: random.Random, checker: InvariantChecker) -> None:
        super().__init__(rng)
        self._checker = checker
        self.on_records_written: Callable[[], None] = lambda: None
        """Called with each append of job records, once it is stored."""

    def append(
        self, topic: Topic, records: list[Record], producer: Producer | None, at: int | None
    ) -> AppendResult:
        stored = self.topics[topic]
        epoch, end = stored.epoch, stored.end
        result = super().append(topic, records, producer, at)
        if topic is Topic.JOBS and producer is not None:
            if stored.epoch > epoch:
                self._checker.on_new_epoch(stored.epoch)
            if stored.end > end:
                self._checker.on_batch_appended(producer.epoch, producer.sequence, records)
                self.on_records_written()
        elif topic is Topic.LEADER and stored.end > end:
            for record in records:
                self._checker.on_claim(msgspec.msgpack.decode(record.value)["epoch"])
        return result
