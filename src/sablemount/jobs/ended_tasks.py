"""Tasks of ended jobs, of which a run may still be there until it is stopped.

A later leader finds such a run by its name alone, and makes its task from what was recorded of the
job: the crashes under it. A task is kept for as long as a run or a crash refers to it.
"""

from weakref import WeakValueDictionary

from sablemount.jobs.model import Shape, StepSpec
from sablemount.jobs.tables import JobRow, JobState, StepRow, TaskRow, TaskState

__all__ = ["EndedTasks"]


class EndedTasks:
    """The tasks of ended jobs that something refers to, by key."""

    def __init__(self) -> None:
        self._tasks: WeakValueDictionary[str, TaskRow] = WeakValueDictionary()

    def keep(self, task: TaskRow) -> None:
        """Keep the task of a job that is about to end, for runs of it that are found later."""
        self._tasks[task.key] = task

    def find(self, job: JobRow, key: str) -> TaskRow | None:
        """Return a task of an ended job; ``None`` if its key names none."""
        kept = self._tasks.get(key)
        if kept is not None and kept.step.job is job:
            return kept
        try:
            repetition, step, index = map(int, key.split(".")[1:])
        except ValueError:
            return None
        # What it was to run is no longer recorded, nor needed.
        row = StepRow(job, repetition, step, StepSpec(0, Shape()), "")
        task = TaskRow(key, row, index)
        if job.state is JobState.SUCCEEDED:
            task.state = TaskState.DONE
        job.ended_crashes.restore(task)
        self._tasks[key] = task
        return task
