"""The job scheduler of one leader: events in, actions out.

It does no I/O, and its clock is passed in. Its runtime, or a test, has it read the clock before
each event and carries out the actions that it returns.
"""

import enum
from collections.abc import Iterable, Iterator, Sequence
from typing import Protocol

import msgspec

from sablemount.jobs.actions import Action, LaterIncarnation, PollVm, VmReport
from sablemount.jobs.journal import Batch, Journal
from sablemount.jobs.model import Configuration, JobSpec, Queue, Shape, SpecError, VmInfo
from sablemount.jobs.records import (
    CANCELLATION_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    VM_PREFIX,
    JobRecord,
    Progress,
    Record,
    decode_cancellation,
    decode_job,
    decode_progress,
    decode_vm,
)
from sablemount.jobs.run_row import RunState
from sablemount.jobs.settings import JobSettings
from sablemount.jobs.sizes import record_size_error
from sablemount.jobs.state import State
from sablemount.jobs.systems.acks import Acks
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.cancellations import Cancellations
from sablemount.jobs.systems.caps import Caps
from sablemount.jobs.systems.crashes import Crashes
from sablemount.jobs.systems.evacuation import Evacuation
from sablemount.jobs.systems.health import Health
from sablemount.jobs.systems.leases import Leases
from sablemount.jobs.systems.lifecycle import Lifecycle
from sablemount.jobs.systems.pacing import Throttling
from sablemount.jobs.systems.placement import Placement
from sablemount.jobs.systems.preemption import Preemption
from sablemount.jobs.systems.proofs import Probes
from sablemount.jobs.systems.reconcile import Reconcile
from sablemount.jobs.systems.reservation import GangReservations
from sablemount.jobs.systems.seals import Seals
from sablemount.jobs.systems.speeds import Speeds
from sablemount.jobs.systems.starts import Starts
from sablemount.jobs.systems.unserved import UnservedJobs, UnservedStep
from sablemount.jobs.systems.vms import Vms
from sablemount.jobs.tables import JobRow, JobState
from sablemount.jobs.vm_row import VmRow

__all__ = ["Clock", "JobScheduler", "StartRefusal", "Submission"]

UNHEALTHY_PAUSE_S = 1.5
"""Time without new work after a VM has reported that it is unhealthy."""
LATE_PAUSE_S = 0.2
"""Time without new work after a VM has refused a start as late, until it has been polled."""
FULL_PAUSE_S = 0.5
"""Time without new work after a VM has reported that it is full, until its next report."""
SLOW_SYSTEMS_INTERVAL_S = 0.5
"""Time between runs of the systems that need not run at each tick."""


RECORDS_PER_PART = 200
"""Records that are loaded at once, in some 10 ms."""


class Clock(Protocol):
    """The source of time."""

    def monotonic(self) -> float:
        """Return local monotonic seconds."""
        ...

    def wall_ms(self) -> float:
        """Return the time of day in ms since 1970."""
        ...


class Submission(enum.Enum):
    """Immediate result of a submission."""

    KNOWN = "known"
    """The job is in the store already."""
    CANCELLED = "cancelled"
    """Its cancelling was acknowledged before it came; it is not taken."""
    PENDING = "pending"
    """The job is accepted once the next batch is in the store."""


class StartRefusal(enum.Enum):
    """Why a VM did not start a run."""

    OLD = "old"
    """A run of the task with this number or a higher one was stopped or has ended there."""
    LATE = "late"
    """By the VM's clock, the start arrived after its validity."""
    CAPACITY = "room"
    """The run does not fit into the VM's free capacity."""
    TICKET = "ticket"
    """The ticket is missing or not valid."""
    UNHEALTHY = "unhealthy"
    """The VM answered that it is unhealthy."""
    REJECTED = "rejected"
    """Any other refusal."""


class JobScheduler:
    """Decides which task runs where while its process leads."""

    def __init__(self, settings: JobSettings, epoch: int, clock: Clock) -> None:
        self._clock = clock
        created_at = clock.monotonic()
        self.state = State(settings, epoch, created_at, clock.wall_ms())
        self.lifecycle = Lifecycle(self.state)
        self.acks = Acks(self.state)
        self.leases = Leases(self.state)
        self.vms = Vms(self.state, self.acks, self.leases)
        self.reconcile = Reconcile(self.state, self.lifecycle, self.acks, self.leases)
        self.advice = Advice(self.state)
        self.gang_reservations = GangReservations(self.state)
        self.caps = Caps(self.state)
        self.journal = Journal(self.state, self.lifecycle)
        self.cancellations = Cancellations(self.state, self.journal)
        self.seals = Seals(self.state, self.journal, self.leases)
        self.crashes = Crashes(self.state, self.lifecycle, self.journal.update_vm_record)
        self.vms.on_crash = self.crashes.vm_crashed
        self.vms.on_run_lost = self.reconcile.on_run_lost = self.crashes.run_lost
        self.vms.on_completions_unreliable = self.reconcile.on_completions_listed = (
            self.journal.update_vm_record
        )
        self.reconcile.on_completion_missing = self.vms.mark_unreliable
        self.starts = Starts(self.state, self.journal, self.vms, self.advice, self.leases)
        self.speeds = Speeds(self.state, self.journal.update_vm_record)
        self.reconcile.on_success = self.speeds.record_completion
        self.placement = Placement(
            self.state,
            self.vms,
            self.advice,
            self.gang_reservations,
            self.caps,
            self.starts,
            self.speeds,
        )
        self.probes = Probes(
            self.state, self.vms, self.placement, self.advice, self.caps, self.starts
        )
        self.preemption = Preemption(
            self.state, self.placement, self.advice, self.reconcile, self.caps
        )
        self.health = Health(self.state, self.reconcile)
        self.reconcile.on_completion = self.health.task_ended
        self.evacuation = Evacuation(self.state, self.reconcile)
        self.throttling = Throttling(self.state)
        self._unserved_jobs = UnservedJobs(self.state)
        self._vms_of_unnamed_pools: dict[str, VmInfo] = {}
        """VMs of pools that the configuration does not name; they are not used."""
        self._slow_systems_ran_at = created_at

    # -- Time --------------------------------------------------------------------------------

    def update_time(self) -> None:
        """Read the time from the clock."""
        self.state.now = max(self.state.now, self._clock.monotonic())
        self.state.wall_ms = self._clock.wall_ms()

    def tick(self, store_answers: bool = True, confirmed_at: float | None = None) -> list[Action]:
        """Run the systems and return the actions to carry out.

        ``store_answers`` says whether the store answers, so that completions can be recorded;
        ``confirmed_at`` is the local time up to which no other leader existed, by default the
        current time.
        """
        state = self.state
        if store_answers and not state.store_answers:
            # Starts that had to wait for the store are possible again.
            state.capacity_version += 1
        state.store_answers = store_answers
        state.leadership_confirmed_at = state.now if confirmed_at is None else confirmed_at
        self.lifecycle.open_due_repetitions()
        if state.now - self._slow_systems_ran_at >= SLOW_SYSTEMS_INTERVAL_S:
            self._slow_systems_ran_at = state.now
            self._run_slow_systems()
        if not state.previous_runs_settled and self.leases.are_previous_runs_settled():
            state.previous_runs_settled = True
            self.leases.log_settled()
        self.seals.update_held_tasks()
        self.health.run()
        self.speeds.run()
        self.crashes.run()
        self.seals.run()
        self.evacuation.run()
        self.starts.run()
        self.probes.run()
        self.reconcile.stop_broken_gangs()
        self.placement.run()
        self.preemption.run()
        self.throttling.run()
        self.advice.run()
        return state.take_actions()

    def _run_slow_systems(self) -> None:
        self.leases.log_silent()
        for row in self.vms.remove_expired():
            if row.recorded:
                self.journal.record_disuse(row)
        for row in self.vms.drained_or_expired():
            self.journal.record_disuse(row)
        for row in self.vms.unrecorded():
            self.journal.record_use(row)
        self.reconcile.stop_orphans()
        self.reconcile.find_partial_gangs()
        for job in self.lifecycle.remove_old():
            self.journal.forget_job(job.name)
        self.cancellations.remove_old()

    # -- Recovery ----------------------------------------------------------------------------

    def load(self, records: Iterable[Record]) -> None:
        """Load the records of previous leaders."""
        for _ in self.load_in_parts(records):
            pass

    def load_in_parts(self, records: Iterable[Record]) -> Iterator[None]:
        """Load the records of previous leaders, a few at each step of the iteration."""
        jobs: dict[str, JobRecord] = {}
        progress: dict[str, Progress] = {}
        for number, record in enumerate(records):
            if number % RECORDS_PER_PART == 0:
                yield
            try:
                self._load_record(record, jobs, progress)
            except msgspec.DecodeError as error:
                # The record is kept: a later version may be able to read it.
                extra = {"key": record.key, "error": str(error)}
                self.state.logger.error("undecodable record", extra=extra)
        accepted = sorted(jobs.items(), key=lambda item: item[1].accepted_ms)
        for number, (name, job) in enumerate(accepted):
            if number % RECORDS_PER_PART == 0:
                yield
            stored = progress.pop(name, None)
            row = self.lifecycle.restore(name, job, stored)
            if stored is not None:
                self.crashes.restore(row, stored)
        for number, (name, ended) in enumerate(progress.items()):
            if number % RECORDS_PER_PART == 0:
                yield
            if JobState(ended.state).is_final:
                self.lifecycle.restore_ended(name, ended)
        # An incarnation that another one has followed has crashed, which counts for the restored
        # jobs.
        self.vms.finish_loading()
        self.leases.previous_leader_may_extend()

    def _load_record(
        self, record: Record, jobs: dict[str, JobRecord], progress: dict[str, Progress]
    ) -> None:
        kind, name = record.key[:2], record.key[2:]
        if kind == JOB_PREFIX:
            jobs[name] = decode_job(record.value)
        elif kind == PROGRESS_PREFIX:
            progress[name] = decode_progress(record.value)
        elif kind == VM_PREFIX:
            self._load_vm(name, record.value)
        elif kind == CANCELLATION_PREFIX:
            self.cancellations.restore(name, decode_cancellation(record.value))

    def _load_vm(self, name: str, value: bytes) -> None:
        stored = decode_vm(value)
        info = VmInfo(
            name,
            stored.address,
            stored.pool,
            Shape(),
            machine=stored.machine,
            instance=stored.instance,
            born=stored.born,
        )
        row = self.vms.load(info)
        if stored.deaf:
            self.vms.mark_unverified(row, 0)
        if stored.leased:
            self.vms.lease_extended(name)
        row.recorded_speed = stored.speed
        self.speeds.restore(row)
        self.state.recorded_suspects[name] = stored.suspects
        self.seals.load(row, stored.sealed_epoch, stored.sealed_tasks)

    # -- Configuration and VMs ---------------------------------------------------------------

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Apply a configuration if it is newer than the one in force, and return whether it is."""
        state = self.state
        if configuration.version <= state.configuration.version:
            return False
        state.configuration = configuration
        changed = {
            queue.terms.name
            for queue in configuration.queues
            if state.terms.get(queue.terms.name, queue.terms) != queue.terms
        }
        for queue in configuration.queues:
            state.terms[queue.terms.name] = queue.terms
        for organisation in configuration.organisations:
            state.organisations[organisation.name] = organisation
        state.capacity_version += 1
        self.lifecycle.apply_terms(changed)
        # A queue may have been sent to VMs that no advice has been requested for.
        state.vms_version += 1
        for info in list(self._vms_of_unnamed_pools.values()):
            self.update_vm(info)
        state.logger.info(
            "configuration in force",
            extra={"version": configuration.version, "queues": len(configuration.queues)},
        )
        return True

    def update_vm_list(self, infos: Sequence[VmInfo]) -> list[VmRow]:
        """Handle the complete list of VMs; return the rows of the new ones."""
        entries = {info.entry_key for info in infos}
        for removed in self._vms_of_unnamed_pools.keys() - entries:
            del self._vms_of_unnamed_pools[removed]
        new = self.vms.apply_list([info for info in infos if self._has_named_pool(info)])
        self._record_use(new)
        return new

    def update_vm(self, info: VmInfo) -> VmRow | None:
        """Handle the entry of one VM; return its row if it is new."""
        if not self._has_named_pool(info):
            return None
        row = self.vms.apply_entry(info)
        if row is not None:
            self._record_use([row])
        return row

    def entries_read(self, asked_at: float) -> None:
        """Record that the VMs' entries were read by a request sent at a local time."""
        self.update_time()
        self.vms.entries_read(asked_at)

    def entry_removed(self, entry: str) -> None:
        """Handle a VM's entry that was removed or names no VM any more."""
        self._vms_of_unnamed_pools.pop(entry, None)
        self.vms.entry_removed(entry)

    def incarnation_replaced(
        self, row: VmRow, found: LaterIncarnation, acked: int, lease_extended: bool = False
    ) -> None:
        """Handle a call for a VM's incarnation that a later incarnation carried out.

        ``acked`` is the last completion of the earlier incarnation that the call acknowledged, 0 if
        none. ``lease_extended`` says whether it extended the lease of what runs there.
        """
        new = self.vms.other_incarnation_answered(row, found.vm, found.born)
        if new is not None:
            self._record_use([new])
        if lease_extended:
            self.vms.lease_extended(found.vm)
        if acked:
            self.vms.mark_unreliable(found.vm, acked)

    def _has_named_pool(self, info: VmInfo) -> bool:
        """Return whether a VM's pool is named; if not, keep the VM in case it is named later."""
        configuration = self.state.configuration
        any_pool = configuration.version >= 0 and not configuration.pools
        if any_pool or self.vms.is_up(info.entry_key) or info.pool in configuration.pools:
            self._vms_of_unnamed_pools.pop(info.entry_key, None)
            return True
        if info.entry_key not in self._vms_of_unnamed_pools and configuration.version >= 0:
            extra = {"vm": info.name, "pool": info.pool, "version": configuration.version}
            self.state.logger.info("VM of a pool that is not named", extra=extra)
        self._vms_of_unnamed_pools[info.entry_key] = info
        return False

    def _record_use(self, rows: list[VmRow]) -> None:
        for row in rows:
            if not row.recorded:
                self.journal.record_use(row)

    # -- Callers -----------------------------------------------------------------------------

    def submit(self, name: str, queue: Queue, spec: JobSpec, organisation: str = "") -> Submission:
        """Enter a job of an organisation, or find that it is known."""
        known = self.state.jobs.get(name)
        if known is not None:
            return Submission.KNOWN if known.durable else Submission.PENDING
        if self.cancellations.holds_for(name, organisation):
            return Submission.CANCELLED
        job = self.lifecycle.create(name, self._job_record(queue, spec, organisation))
        self.journal.add_acceptance(job)
        return Submission.PENDING

    def record_size_error(
        self, name: str, queue: Queue, spec: JobSpec, organisation: str
    ) -> SpecError | None:
        """Return which part of a job is too large to be recorded, now or as the job proceeds."""
        record = self._job_record(queue, spec, organisation)
        return record_size_error(name, record, self.state.settings.record_bytes)

    def refusal_for_memory(
        self, name: str, queue: Queue, spec: JobSpec, organisation: str
    ) -> float | None:
        """Return after how many seconds there will be memory for a job; ``None`` if there is."""
        record = self._job_record(queue, spec, organisation)
        return self.lifecycle.admission.retry_after_s(name, record)

    def find_unserved_step(self, queue: Queue, spec: JobSpec) -> UnservedStep | None:
        """Return a step of a new job that certainly no VM can run; ``None`` where in doubt."""
        return self._unserved_jobs.find(spec, queue.terms.pool)

    def _job_record(self, queue: Queue, spec: JobSpec, organisation: str) -> JobRecord:
        state = self.state
        return JobRecord(queue.terms, spec, state.wall_ms, state.epoch, organisation, queue.public)

    def withdraw(self, name: str) -> bool:
        """Withdraw a job whose acceptance has not been sent to the store."""
        if not self.journal.withdraw(name):
            return False
        job = self.state.jobs.pop(name)
        self.lifecycle.discard(job)
        return True

    def cancel(self, name: str) -> JobRow | None:
        """Cancel a job; return its row, or ``None`` if there is no such job."""
        job = self.state.jobs.get(name)
        if job is not None:
            self.lifecycle.end(job, JobState.CANCELLED)
            self.reconcile.stop_orphans()
        return job

    def count_waiting_jobs(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return sum(
            1
            for job in self.state.open_jobs.values()
            if job.queue == queue and job.durable and not job.begun
        )

    # -- VMs' answers ------------------------------------------------------------------------

    def vm_reported(self, report: VmReport) -> bool:
        """Handle a VM's report; return whether it lists new completions to be recorded."""
        return self.reconcile.process_report(report)

    def start_refused(
        self, vm: str, task: str, number: int, why: StartRefusal, certain: bool
    ) -> None:
        """Handle a VM's refusal of a start.

        ``certain`` says that no earlier request to start the run was left without an answer.
        """
        row = self.state.vms.get(vm)
        if row is None:
            return
        self.state.run_logger.info(
            "start refused",
            extra={
                "task": task,
                "run": number,
                "vm": vm,
                "why": why.value,
                "certain": certain,
            },
        )
        if why is StartRefusal.UNHEALTHY:
            row.avoid_until = self.state.now + UNHEALTHY_PAUSE_S
        elif why is StartRefusal.CAPACITY:
            row.avoid_until = self.state.now + FULL_PAUSE_S
        elif why is StartRefusal.LATE:
            # Its clock differs from the known one: its next incarnation may have answered.
            row.avoid_until = self.state.now + LATE_PAUSE_S
            self.state.emit(PollVm(vm))
        elif why is StartRefusal.TICKET:
            found = self.state.task(task)
            if found is not None:
                self.advice.ticket_refused(found.step, vm)
        if certain:
            self.reconcile.run_not_started(vm, task, number)

    def has_uncertain_start(self, vm: str) -> bool:
        """Return whether a VM has an unanswered start request that it may have carried out."""
        row = self.state.vms.get(vm)
        return row is not None and any(run.state is RunState.SENT for run in row.runs.values())

    # -- The store ---------------------------------------------------------------------------

    def next_batch(self) -> Batch:
        """Return the records to append next."""
        return self.journal.next_batch()

    def batch_stored(self, batch: Batch) -> None:
        """Handle a batch that is in the store."""
        self.journal.batch_stored(batch)
        for name in batch.accepted_jobs:
            job = self.state.jobs.get(name)
            if job is not None:
                for step in job.steps.values():
                    self.state.mark_for_placement(step)
