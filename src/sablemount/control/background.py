"""Work that goes on beside its owner, who does not wait for it."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ["Background", "error_logger"]


class Background:
    """Holds tasks while they last, since an event loop does not.

    ``on_error`` takes what a task has raised.
    """

    def __init__(self, on_error: Callable[[BaseException], None]) -> None:
        self._on_error = on_error
        self._tasks: dict[asyncio.Task[None], None] = {}
        """In the order in which they began, so that they end in one order each time."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Begin some work and return its task."""
        task = asyncio.get_running_loop().create_task(work)
        self.keep(task)
        return task

    def keep(self, task: "asyncio.Task[None]") -> None:
        """Hold a task that was begun elsewhere."""
        self._tasks[task] = None
        task.add_done_callback(self._ended)

    def close(self) -> None:
        """Cancel all that still goes on."""
        for task in list(self._tasks):
            task.cancel()

    def _ended(self, task: "asyncio.Task[None]") -> None:
        self._tasks.pop(task, None)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._on_error(error)


def error_logger(logger: logging.Logger) -> Callable[[BaseException], None]:
    """Return what writes an error to a logger."""

    def write(error: BaseException) -> None:
        logger.error("internal error", exc_info=error)

    return write
