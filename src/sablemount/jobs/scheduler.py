"""The job scheduler of one leadership: events in, actions out.

It has no I/O, and its clock is handed in. Its runtime, or a test, lets it look at the clock before
each event and carries out the actions that it gives.
"""

import enum
from collections.abc import Iterable, Sequence
from typing import Protocol

import msgspec

from sablemount.jobs.actions import Action, Heard, LookAt, OtherLife
from sablemount.jobs.journal import Batch, Journal
from sablemount.jobs.model import Configuration, JobSpec, Queue, Shape, SpecError, VmInfo
from sablemount.jobs.records import (
    JOB_PREFIX,
    PROGRESS_PREFIX,
    VM_PREFIX,
    JobRecord,
    Progress,
    Record,
    decode_job,
    decode_progress,
    decode_vm,
)
from sablemount.jobs.settings import JobSettings
from sablemount.jobs.sizes import record_fault
from sablemount.jobs.state import State
from sablemount.jobs.systems.acks import Acks
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.caps import Caps
from sablemount.jobs.systems.crashes import Crashes
from sablemount.jobs.systems.evacuation import Evacuation
from sablemount.jobs.systems.health import Health
from sablemount.jobs.systems.lifecycle import Lifecycle
from sablemount.jobs.systems.pacing import Pacing
from sablemount.jobs.systems.placement import Placement
from sablemount.jobs.systems.preemption import Preemption
from sablemount.jobs.systems.proofs import Proofs
from sablemount.jobs.systems.reconcile import Reconcile
from sablemount.jobs.systems.reservation import Reservation
from sablemount.jobs.systems.speeds import Speeds
from sablemount.jobs.systems.starts import Starts
from sablemount.jobs.systems.vms import Vms
from sablemount.jobs.tables import JobRow, JobState, RunState, VmRow

__all__ = ["Clock", "JobScheduler", "StartRefusal", "Submission"]

UNHEALTHY_PAUSE = 1.5
"""Seconds without new work after a VM has said that it is not well."""
LATE_PAUSE = 0.2
"""Seconds without new work after a VM has refused a start as late: until it has been looked at."""
FULL_PAUSE = 0.5
"""Seconds without new work after a VM has said that it is full: until its next word is in."""
SLOW_SYSTEMS_INTERVAL = 0.5
"""Seconds between runs of the systems that need not run at each tick."""


class Clock(Protocol):
    """Where the time comes from."""

    def monotonic(self) -> float:
        """Return local monotonic seconds."""
        ...

    def wall_ms(self) -> float:
        """Return the time of day in ms since 1970."""
        ...


class Submission(enum.Enum):
    """What became of a submission at once."""

    KNOWN = "known"
    """The job is in the store already."""
    PENDING = "pending"
    """The job is accepted once the next batch is in the store."""


class StartRefusal(enum.Enum):
    """Why a VM did not start a run."""

    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    REJECTED = "rejected"


class JobScheduler:
    """Decides which task runs where, for as long as its process leads."""

    def __init__(self, settings: JobSettings, epoch: int, clock: Clock) -> None:
        self._clock = clock
        now = clock.monotonic()
        self.state = State(settings, epoch, now, clock.wall_ms())
        self.lifecycle = Lifecycle(self.state)
        self.acks = Acks(self.state)
        self.vms = Vms(self.state, self.acks)
        self.reconcile = Reconcile(self.state, self.lifecycle, self.acks)
        self.advice = Advice(self.state)
        self.reservation = Reservation(self.state)
        self.caps = Caps(self.state)
        self.journal = Journal(self.state, self.lifecycle)
        self.crashes = Crashes(self.state, self.lifecycle, self.journal.note_runs)
        self.vms.on_crash = self.crashes.crashed
        self.vms.on_left = self.reconcile.on_left = self.crashes.left
        self.vms.on_deaf = self.reconcile.on_hearing = self.journal.note_runs
        self.reconcile.on_unlisted = self.vms.deafened
        self.starts = Starts(self.state, self.journal, self.vms, self.advice)
        self.speeds = Speeds(self.state, self.journal.note_runs)
        self.reconcile.on_done = self.speeds.done
        self.placement = Placement(
            self.state,
            self.vms,
            self.advice,
            self.reservation,
            self.caps,
            self.starts,
            self.speeds,
        )
        self.proofs = Proofs(
            self.state, self.vms, self.placement, self.advice, self.caps, self.starts
        )
        self.preemption = Preemption(
            self.state, self.placement, self.advice, self.reconcile, self.caps
        )
        self.health = Health(self.state, self.reconcile)
        self.reconcile.on_end = self.health.ended
        self.evacuation = Evacuation(self.state, self.reconcile)
        self.pacing = Pacing(self.state)
        self._unnamed: dict[str, VmInfo] = {}
        """VMs of pools that the configuration does not name, which are not used."""
        self._slow_at = now

    # -- Time --------------------------------------------------------------------------------

    def now(self) -> None:
        """Take the time from the clock."""
        self.state.now = max(self.state.now, self._clock.monotonic())
        self.state.wall_ms = self._clock.wall_ms()

    def tick(self, noting: bool = True, confirmed_at: float | None = None) -> list[Action]:
        """Run the systems and return what is to be done.

        ``noting`` tells whether the store answers, so that ends can be noted; ``confirmed_at`` is
        the local time up to which nobody else led, this moment if not given.
        """
        state = self.state
        if noting and not state.noting:
            # What had to wait for the store may start.
            state.freed += 1
        state.noting = noting
        state.confirmed_at = state.now if confirmed_at is None else confirmed_at
        self.lifecycle.open_due()
        if state.now - self._slow_at >= SLOW_SYSTEMS_INTERVAL:
            self._slow_at = state.now
            self._run_slow()
        if not state.former_settled and self.vms.all_heard():
            state.former_settled = True
            state.settled_at = state.now
            state.freed += 1
            state.logger.info("former runs settled", extra={"vms": len(state.vms)})
        self.health.run()
        self.speeds.run()
        self.crashes.run()
        self.evacuation.run()
        self.starts.run()
        self.proofs.run()
        self.reconcile.stop_broken_gangs()
        self.placement.run()
        self.preemption.run()
        self.pacing.run()
        self.advice.run()
        return state.take_actions()

    def _run_slow(self) -> None:
        for row in self.vms.expire():
            if row.recorded:
                self.journal.unuse(row)
        for row in self.vms.idle():
            self.journal.unuse(row)
        for row in self.vms.unrecorded():
            self.journal.use(row)
        self.reconcile.stop_orphans()
        self.reconcile.find_partial_gangs()
        for job in self.lifecycle.forget_old():
            self.journal.forget(job.name)

    # -- Recovery ----------------------------------------------------------------------------

    def load(self, records: Iterable[Record]) -> None:
        """Take what former leaders have recorded."""
        jobs: dict[str, JobRecord] = {}
        progress: dict[str, Progress] = {}
        for record in records:
            try:
                self._load_record(record, jobs, progress)
            except msgspec.DecodeError as error:
                # Nothing is dropped for it: a later version may be able to read it.
                extra = {"key": record.key, "error": str(error)}
                self.state.logger.error("undecodable record", extra=extra)
        for name, job in sorted(jobs.items(), key=lambda item: item[1].accepted_ms):
            noted = progress.pop(name, None)
            row = self.lifecycle.restore(name, job, noted)
            if noted is not None:
                self.crashes.restore(row, noted)
        for name, ended in progress.items():
            if JobState(ended.state).final:
                self.lifecycle.restore_ended(name, ended)
        # A life that another has followed has crashed, which counts for the jobs restored.
        self.vms.loaded()
        self.vms.former_may_order()

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

    def _load_vm(self, name: str, value: bytes) -> None:
        noted = decode_vm(value)
        info = VmInfo(
            name,
            noted.address,
            noted.pool,
            Shape(),
            machine=noted.machine,
            instance=noted.instance,
            born=noted.born,
        )
        row = self.vms.load(info)
        if noted.deaf:
            self.vms.doubted(row, 0)
        row.noted_speed = noted.speed
        self.speeds.restore(row)
        self.state.doubts[name] = noted.suspects

    # -- Configuration and VMs ---------------------------------------------------------------

    def configured(self, configuration: Configuration) -> bool:
        """Take a configuration and tell whether it is newer than the one in force."""
        state = self.state
        if configuration.version <= state.configuration.version:
            return False
        state.configuration = configuration
        for queue in configuration.queues:
            state.terms[queue.terms.name] = queue.terms
        for organisation in configuration.organisations:
            state.organisations[organisation.name] = organisation
        state.freed += 1
        for info in list(self._unnamed.values()):
            self.told(info)
        state.logger.info(
            "configuration in force",
            extra={"version": configuration.version, "queues": len(configuration.queues)},
        )
        return True

    def listed(self, infos: Sequence[VmInfo]) -> list[VmRow]:
        """Take the whole list of VMs; return the new ones."""
        entries = {info.entry for info in infos}
        for gone in self._unnamed.keys() - entries:
            del self._unnamed[gone]
        new = self.vms.listed([info for info in infos if self._named(info)])
        self._use(new)
        return new

    def told(self, info: VmInfo) -> VmRow | None:
        """Take one VM's entry; return its row if it is new."""
        if not self._named(info):
            return None
        row = self.vms.told(info)
        if row is not None:
            self._use([row])
        return row

    def rooms_known(self, asked_at: float) -> None:
        """Take that the VMs' entries were read, by a question of some local time."""
        self.now()
        self.vms.rooms_known(asked_at)

    def left_list(self, entry: str) -> None:
        """Take that a VM's entry is gone, or names no VM any more."""
        self._unnamed.pop(entry, None)
        self.vms.left_list(entry)

    def other_life(self, row: VmRow, found: OtherLife, acked: int) -> None:
        """Take that a call for a VM's life was carried out by a later one.

        ``acked`` is the end of the former life that the call has acknowledged, 0 if none.
        """
        new = self.vms.another_life(row, found.vm, found.born)
        if new is not None:
            self._use([new])
        if acked:
            self.vms.deafened(found.vm, acked)

    def _named(self, info: VmInfo) -> bool:
        """Tell whether a VM's pool is named, and keep one that is not until it may be."""
        configuration = self.state.configuration
        any_pool = configuration.version >= 0 and not configuration.pools
        if any_pool or self.vms.known(info.entry) or info.pool in configuration.pools:
            self._unnamed.pop(info.entry, None)
            return True
        if info.entry not in self._unnamed and configuration.version >= 0:
            extra = {"vm": info.name, "pool": info.pool, "version": configuration.version}
            self.state.logger.info("VM of a pool that is not named", extra=extra)
        self._unnamed[info.entry] = info
        return False

    def _use(self, rows: list[VmRow]) -> None:
        for row in rows:
            if not row.recorded:
                self.journal.use(row)

    # -- Callers -----------------------------------------------------------------------------

    def submit(self, name: str, queue: Queue, spec: JobSpec, organisation: str = "") -> Submission:
        """Take a job of an organisation, or find that it is known."""
        known = self.state.jobs.get(name)
        if known is not None:
            return Submission.KNOWN if known.durable else Submission.PENDING
        job = self.lifecycle.create(name, self._record(queue, spec, organisation))
        self.journal.accept(job)
        return Submission.PENDING

    def record_fault(
        self, name: str, queue: Queue, spec: JobSpec, organisation: str
    ) -> SpecError | None:
        """Return what of a job is too large to be recorded, now or as it goes on."""
        record = self._record(queue, spec, organisation)
        return record_fault(name, record, self.state.settings.record_bytes)

    def _record(self, queue: Queue, spec: JobSpec, organisation: str) -> JobRecord:
        state = self.state
        return JobRecord(queue.terms, spec, state.wall_ms, state.epoch, organisation, queue.public)

    def withdraw(self, name: str) -> bool:
        """Take back a job whose acceptance has not been sent to the store."""
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

    def waiting(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return sum(
            1
            for job in self.state.live.values()
            if job.record.terms.name == queue and job.durable and not job.begun
        )

    # -- VMs' answers ------------------------------------------------------------------------

    def heard(self, heard: Heard) -> bool:
        """Take a VM's word; tell whether ends are to be noted."""
        return self.reconcile.heard(heard)

    def start_refused(
        self, vm: str, task: str, number: int, why: StartRefusal, certain: bool
    ) -> None:
        """Take that a VM refused a start.

        ``certain`` tells whether no earlier order for the run went without an answer.
        """
        row = self.state.vms.get(vm)
        if row is None:
            return
        self.state.run_logger.info(
            "start refused",
            extra={"task": task, "run": number, "vm": vm, "why": why.value},
        )
        if why is StartRefusal.UNHEALTHY:
            row.avoid_until = self.state.now + UNHEALTHY_PAUSE
        elif why is StartRefusal.ROOM:
            row.avoid_until = self.state.now + FULL_PAUSE
        elif why is StartRefusal.LATE:
            # Its clock is not the one that was known: its next life may have answered.
            row.avoid_until = self.state.now + LATE_PAUSE
            self.state.emit(LookAt(vm))
        elif why is StartRefusal.TICKET:
            found = self.state.task(task)
            if found is not None:
                self.advice.refused(found.step, vm)
        if certain:
            self.reconcile.not_started(vm, task, number)

    def uncertain_on(self, vm: str) -> bool:
        """Tell whether a start on a VM is not known to have come to pass."""
        row = self.state.vms.get(vm)
        return row is not None and any(run.state is RunState.SENT for run in row.runs.values())

    # -- The store ---------------------------------------------------------------------------

    def next_batch(self) -> Batch:
        """Return what is to be appended next."""
        return self.journal.next_batch()

    def durable(self, batch: Batch) -> None:
        """Take that a batch is in the store."""
        self.journal.durable(batch)
        for name in batch.accepted:
            job = self.state.jobs.get(name)
            if job is not None:
                for step in job.steps.values():
                    self.state.touch(step)
