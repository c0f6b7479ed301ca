"""Background tasks that their owner does not wait for."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ["Background", "error_logger"]


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


def error_logger(logger: logging.Logger) -> Callable[[BaseException], None]:
    """Return a function that logs an exception with a logger."""

    def log_error(error: BaseException) -> None:
        logger.error("internal error", exc_info=error)

    return log_error
