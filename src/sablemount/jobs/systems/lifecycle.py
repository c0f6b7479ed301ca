"""Life cycle of a job: accepted, steps opened in order, ended, removed."""

from collections.abc import Collection

from sablemount.jobs.model import JobSpec, QueueTerms
from sablemount.jobs.records import JobRecord, Progress, StepProgress
from sablemount.jobs.schedule import Schedule
from sablemount.jobs.state import State
from sablemount.jobs.systems.admission import Admission
from sablemount.jobs.systems.openings import Openings
from sablemount.jobs.tables import (
    AdviceRow,
    CrashTable,
    JobRow,
    JobState,
    StepRow,
    TaskRow,
    TaskState,
)
from sablemount.jobs.times import NEVER

__all__ = ["Lifecycle", "critical_paths"]

MS_PER_S = 1000.0
UNLIMITED_ATTEMPTS = 1_000_000_000
JOB_CLOSED = "its job has ended"
"""Why the runs of an ended job are stopped, as it is logged."""


def critical_paths(spec: JobSpec) -> list[float]:
    """Return the expected seconds from each step's start to the end of its job.

    Steps are listed after those that they depend on.
    """
    after = [0.0] * len(spec.steps)
    longest = [0.0] * len(spec.steps)
    for number in reversed(range(len(spec.steps))):
        step = spec.steps[number]
        longest[number] = after[number] + step.expected_ms / MS_PER_S
        for earlier in step.after:
            after[earlier] = max(after[earlier], longest[number])
    return longest


class Lifecycle:
    """Creates, advances and ends jobs."""

    def __init__(self, state: State) -> None:
        self._state = state
        self.admission = Admission(state)
        self.openings = Openings(state, self._open_next)
        state.open_repetition = self._open_if_due

    # -- Creation ----------------------------------------------------------------------------

    def create(self, name: str, record: JobRecord) -> JobRow:
        """Create the row of a job whose acceptance is about to be recorded."""
        state = self._state
        critical_path = max(critical_paths(record.spec), default=0.0)
        job = JobRow(name, record, state.now, schedule=Schedule(record.spec))
        # The objective is that of the acceptance, and so the same for each next leader.
        terms = record.terms
        job.objective_at = (
            state.now + terms.stretch * critical_path + terms.target_latency_ms / MS_PER_S
        )
        state.jobs[name] = job
        state.open_jobs[name] = job
        self.admission.opened(job)
        state.terms.setdefault(terms.name, terms)
        if record.spec.times:
            self.openings.add(job)
        else:
            self._open_next(job)
        return job

    def restore(self, name: str, record: JobRecord, progress: Progress | None) -> JobRow:
        """Create the row of a job accepted by a previous leader, with its recorded progress."""
        if progress is not None and JobState(progress.state).is_final:
            return self.restore_ended(name, progress, record)
        state = self._state
        job = self.create(name, record)
        job.durable = True
        job.from_previous_leader = True
        age = max(0.0, (state.wall_ms - record.accepted_ms) / MS_PER_S)
        job.objective_at -= min(age, job.objective_at - state.now)
        if progress is not None:
            self._apply_progress(job, progress)
        return job

    def restore_ended(
        self, name: str, progress: Progress, record: JobRecord | None = None
    ) -> JobRow:
        """Create the row of a job that has ended; its acceptance is usually no longer recorded."""
        record = record or JobRecord(
            QueueTerms("", ""), JobSpec("", ()), 0.0, 0, progress.organisation, progress.public
        )
        job = JobRow(name, record, self._state.now, durable=True)
        job.drop_payload()
        job.state = job.visible_state = JobState(progress.state)
        job.ended_ms = progress.ended_ms
        job.ended_crashes = CrashTable(progress.crashes, progress.weights)
        self._state.jobs[name] = job
        self.admission.ended(job)
        return job

    def _apply_progress(self, job: JobRow, progress: Progress) -> None:
        job.state = JobState(progress.state)
        job.begun = job.state is not JobState.PENDING
        job.completed = int(progress.completed or "0", 16)
        if job.schedule is not None:
            job.schedule.mark_opened(job.completed)
        for key, recorded in progress.steps.items():
            repetition, _, number = key.partition(".")
            # There is none once the steps so far have completed the job.
            if job.schedule is not None:
                step = self._step(job, job.schedule, int(repetition), int(number))
                if step is not None:
                    self._apply_step_progress(step, recorded)
        self._end_if_done(job)

    def _apply_step_progress(self, step: StepRow, recorded: StepProgress) -> None:
        tasks = step.tasks
        done = tasks.restore_done(int(recorded.done or "0", 16))
        for index in recorded.failures.keys() | recorded.saved.keys():
            if index < len(tasks) and not tasks.done >> index & 1:
                tasks[index].failed_runs = set(recorded.failures.get(index, ()))
                tasks[index].saved = recorded.saved.get(index, "")
        step.waiting -= done
        step.open_tasks -= done
        if done:
            self._state.mark_dirty(step.job)
        if done and not step.open_tasks:
            self._step_done(step)

    def _step(
        self, job: JobRow, schedule: Schedule, repetition: int, number: int
    ) -> StepRow | None:
        """Return a step's row, opening its repetition if necessary; ``None`` if it is complete."""
        if (repetition, 0) not in job.steps and not job.completed >> repetition & 1:
            self._open_repetition(job, schedule, repetition)
        return job.steps.get((repetition, number))

    # -- Opening -----------------------------------------------------------------------------

    def open_due_repetitions(self) -> None:
        """Open the repetitions that are due, as far as there is room for them."""
        self.openings.run()

    def _open_next(self, job: JobRow) -> None:
        if job.schedule is not None:
            self._open_repetition(job, job.schedule, job.schedule.next_repetition)

    def _open_if_due(self, job: JobRow, repetition: int) -> None:
        """Open a repetition that is due, whether it is the next one or not."""
        schedule = job.schedule
        if schedule is not None and schedule.may_open(repetition, self._state.wall_ms):
            self._open_repetition(job, schedule, repetition)

    def _open_repetition(self, job: JobRow, schedule: Schedule, repetition: int) -> None:
        schedule.mark_opened(1 << repetition)
        spec = schedule.spec
        if spec.times:
            self._log_opening(job, repetition, spec)
        rows = []
        remaining = critical_paths(spec)
        for number, step in enumerate(spec.steps):
            row = StepRow(job, repetition, number, step, spec.payload, remaining[number])
            if self._state.terms_of(job).advice is not None:
                row.advice = AdviceRow()
            job.steps[(repetition, number)] = row
            rows.append(row)
        job.open_steps += len(rows)
        for row in rows:
            self._open_if_ready(row)

    def _log_opening(self, job: JobRow, repetition: int, spec: JobSpec) -> None:
        late_ms = self._state.wall_ms - spec.due_ms(repetition)
        extra = {
            "job": job.name,
            "repetition": repetition,
            "of": spec.times,
            "late_ms": round(late_ms),
        }
        self._state.logger.info("repetition opened", extra=extra)

    def _open_if_ready(self, step: StepRow) -> None:
        if step.opened_at > 0 or not step.open_tasks:
            return
        steps = step.job.steps
        predecessors = {number: steps[(step.repetition, number)] for number in step.spec.after}
        if any(earlier.open_tasks for earlier in predecessors.values()):
            return
        step.opened_at = self._state.now
        step.opened_here = any(earlier.ended_unseen for earlier in predecessors.values())
        self._state.open_step(step)

    def followers(self, step: StepRow) -> list[StepRow]:
        """Return the steps of the same repetition that depend on a step."""
        steps = step.job.steps
        numbers = range(step.number + 1, len(step.job.record.spec.steps))
        rows = [steps.get((step.repetition, number)) for number in numbers]
        return [row for row in rows if row is not None and step.number in row.spec.after]

    # -- Terms -------------------------------------------------------------------------------

    def apply_terms(self, changed: Collection[str]) -> None:
        """Let the terms in force of some queues decide for the jobs that are open.

        Whether starts need advice and how often a task may fail are matters of the next start, not
        of the acceptance.
        """
        jobs = [job for job in self._state.open_jobs.values() if job.queue in changed]
        for job in jobs:
            for step in job.steps.values():
                self._apply_advice(step)
            self._apply_max_attempts(job)

    def _apply_advice(self, step: StepRow) -> None:
        needs_advice = self._state.terms_of(step.job).advice is not None
        step.paused_until = NEVER
        step.refused_tickets = 0
        if needs_advice is (step.advice is not None):
            return
        step.advice = AdviceRow() if needs_advice else None
        self._state.release_ticket_reservations(step)
        if step.key in self._state.open_steps:
            self._state.mark_for_placement(step)

    def _apply_max_attempts(self, job: JobRow) -> None:
        """Fail a job of which a task has failed as often as the terms in force allow."""
        for step in list(job.steps.values()):
            most = self.max_attempts(step)
            for task in step.tasks.rows():
                if task.state is not TaskState.DONE and len(task.failed_runs) >= most:
                    extra = {"job": job.name, "task": task.key, "max_attempts": most}
                    extra["why"] = "attempts used up by the terms in force"
                    self._state.logger.info("job failed", extra=extra)
                    self.end(job, JobState.FAILED)
                    return

    # -- Completion --------------------------------------------------------------------------

    def task_done(self, task: TaskRow) -> None:
        """Record that a task is done, and so are its step and job if it was their last."""
        if task.state is TaskState.DONE:
            return
        step = task.step
        if task.state is TaskState.WAITING:
            step.waiting -= 1
        task.state = TaskState.DONE
        step.ended_unseen = step.ended_unseen or task.ended_unseen
        step.tasks.mark_done(task)
        step.open_tasks -= 1
        self._state.mark_dirty(step.job)
        if not step.open_tasks:
            self._step_done(step)
            self._end_if_done(step.job)

    def _step_done(self, step: StepRow) -> None:
        job = step.job
        self._state.close_step(step)
        job.open_steps -= 1
        for follower in self.followers(step):
            self._open_if_ready(follower)
        self._drop_if_complete(job, step.repetition)

    def _drop_if_complete(self, job: JobRow, repetition: int) -> None:
        """Drop the steps of a repetition once all of them are done."""
        keys = [(repetition, number) for number in range(len(job.record.spec.steps))]
        if not job.record.spec.times or any(job.steps[key].open_tasks for key in keys):
            return
        job.completed |= 1 << repetition
        for key in keys:
            del job.steps[key]

    def _end_if_done(self, job: JobRow) -> None:
        schedule = job.schedule
        if schedule is not None and schedule.is_complete and not job.open_steps:
            self.end(job, JobState.SUCCEEDED)

    def end(self, job: JobRow, final: JobState) -> None:
        """End a job; its runs are to be stopped."""
        if job.state.is_final:
            return
        job.state = final
        job.ended_ms = self._state.wall_ms
        self._state.mark_dirty(job)
        self._close(job)
        self.admission.ended(job)

    def discard(self, job: JobRow) -> None:
        """Remove a job that was never accepted."""
        self._close(job)
        self.admission.removed(job)
        self._state.dirty_jobs.pop(job.name, None)

    def _close(self, job: JobRow) -> None:
        """Take from a job all that could open work, and orphan its runs."""
        state = self._state
        _add_crashes(job, job.ended_crashes)
        state.open_jobs.pop(job.name, None)
        for step in job.close():
            state.close_step(step)
            for task in step.tasks.rows():
                if task.runs:
                    state.ended_tasks.keep(task)
                for run in list(task.runs):
                    state.orphan_run(run, JOB_CLOSED)
                task.runs.clear()

    def max_attempts(self, step: StepRow) -> int:
        """Return how often a task of a step may fail, by the terms in force."""
        if step.spec.lasting:
            return UNLIMITED_ATTEMPTS
        return max(1, self._state.terms_of(step.job).max_attempts)

    # -- Progress ----------------------------------------------------------------------------

    def progress(self, job: JobRow) -> Progress:
        """Return what is to be recorded of a job."""
        if job.state.is_final:
            progress = Progress(int(job.state), {}, job.ended_ms, job.organisation, job.public)
            return _with_crashes(progress, job.ended_crashes)
        steps = {}
        for (repetition, number), step in job.steps.items():
            recorded = _step_progress(step)
            if recorded is not None:
                steps[f"{repetition}.{number}"] = recorded
        crashes = CrashTable()
        _add_crashes(job, crashes)
        completed = f"{job.completed:x}" if job.completed else ""
        return _with_crashes(Progress(int(job.state), steps, completed=completed), crashes)

    def remove_old(self) -> list[JobRow]:
        """Remove the ended jobs whose state no longer has to be available, and return them."""
        old = [job for job in self.admission.take_old() if self._state.jobs.get(job.name) is job]
        for job in old:
            del self._state.jobs[job.name]
            self._state.dirty_jobs.pop(job.name, None)
            self.admission.removed(job)
        return old


def _add_crashes(job: JobRow, crashes: CrashTable) -> None:
    """Add the VMs that have crashed under a job's open tasks."""
    if not job.has_crashes:
        return
    for step in job.steps.values():
        for task in step.tasks.rows():
            crashes.add(task)


def _with_crashes(progress: Progress, crashes: CrashTable) -> Progress:
    progress.crashes = crashes.vms
    progress.weights = crashes.weights
    return progress


def _step_progress(step: StepRow) -> StepProgress | None:
    mask = step.tasks.done
    failures: dict[int, tuple[int, ...]] = {}
    saved: dict[int, str] = {}
    for task in step.tasks.rows():
        if task.state is TaskState.DONE:
            continue
        if task.failed_runs:
            failures[task.index] = tuple(sorted(task.failed_runs))
        if task.saved:
            saved[task.index] = task.saved
    if not mask and not failures and not saved:
        return None
    return StepProgress(f"{mask:x}", failures, saved)
