"""An event loop whose clock jumps to the next timer instead of waiting for it."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import TypeVar

T = TypeVar("T")


class _JumpingSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0

    def select(self, timeout: float | None = None) -> list[object]:
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        if timeout > 0:
            self.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs in virtual time, the same way each time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run(work: Coroutine[object, object, T]) -> T:
    """Run a coroutine in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.01))
        loop.close()
