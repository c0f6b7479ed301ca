"""Starts of tasks whose job was cancelled before."""

from collections.abc import Mapping, Sequence

__all__ = ["CANCEL_EFFECT_S", "late_starts"]

CANCEL_EFFECT_S = 3.0
"""Seconds after the reply to a cancellation from which no task of the job may start."""


def late_starts(
    starts: Mapping[str, Sequence[float]], cancelled_at: Mapping[str, float]
) -> list[str]:
    """Return the tasks that started too long after the cancellation of their job.

    ``starts`` has the times of the starts by task, ``cancelled_at`` the times of the replies to the
    cancellations by job.
    """
    found = []
    for task, times in starts.items():
        after = max(times) - cancelled_at.get(task.partition(".")[0], max(times))
        if after > CANCEL_EFFECT_S:
            found.append(f"{task} started {after:.1f} s after its job was cancelled")
    return found
