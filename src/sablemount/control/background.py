"""Background tasks that their owner does not wait for."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from sablemount.control.clock import monotonic

__all__ = ["Background", "error_logger"]

RESTART_PAUSE_S = 0.1
"""Seconds from an unexpected error of a task that is kept running until it is started again: a
member that has lost its link to the leader does not suspect the leader so soon."""
MAX_RESTART_PAUSE_S = 2.0
"""Longest such pause: it doubles with each further error of a task that has run for less time."""


class Background:
    """Holds references to tasks until they are done, since an event loop holds only weak ones.

    ``on_error`` receives the exceptions that tasks raise.
    """

    def __init__(self, on_error: Callable[[BaseException], None]) -> None:
        self._on_error = on_error
        self._tasks: dict[asyncio.Task[None], None] = {}
        """In order of their start, so that they are cancelled in a deterministic order."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Start a coroutine as a task and return the task."""
        task = asyncio.get_running_loop().create_task(work)
        self.track(task)
        return task

    def keep(self, work: Callable[[], Coroutine[Any, Any, None]]) -> "asyncio.Task[None]":
        """Run a coroutine as a task, and anew after each unexpected error, until cancelled."""
        return self.spawn(self._run_again(work))

    async def _run_again(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        pause = RESTART_PAUSE_S
        while True:
            began = monotonic()
            try:
                await work()
                return
            except asyncio.CancelledError as error:
                if _is_being_cancelled():
                    raise
                # Something that it waited for was cancelled.
                self._on_error(error)
            except Exception as error:
                self._on_error(error)
            if monotonic() - began > MAX_RESTART_PAUSE_S:
                pause = RESTART_PAUSE_S
            await asyncio.sleep(pause)
            pause = min(MAX_RESTART_PAUSE_S, 2 * pause)

    def track(self, task: "asyncio.Task[None]") -> None:
        """Track a task that was started elsewhere."""
        self._tasks[task] = None
        task.add_done_callback(self._on_done)

    def close(self) -> None:
        """Cancel all tasks that are still running."""
        for task in list(self._tasks):
            task.cancel()

    def _on_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.pop(task, None)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._on_error(error)


def _is_being_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def error_logger(logger: logging.Logger) -> Callable[[BaseException], None]:
    """Return a function that logs an exception with a logger."""

    def log_error(error: BaseException) -> None:
        logger.error("internal error", exc_info=error)

    return log_error
