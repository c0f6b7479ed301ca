"""A concurrency limit that no holder can block for longer than a set time."""

import asyncio
from types import TracebackType

__all__ = ["MAX_SLOT_S", "TimedSemaphore"]

MAX_SLOT_S = 0.02
"""Time after which a call that opens a connection to a VM no longer delays others: a VM that
answers takes a few ms, and many VMs may be silent."""


class TimedSemaphore:
    """Semaphore with ``slots`` slots, each held for at most ``max_hold_s`` seconds.

    Work that outlasts its slot goes on, but no longer delays other work.
    """

    def __init__(self, slots: int, max_hold_s: float) -> None:
        self._semaphore = asyncio.Semaphore(slots)
        self._max_hold_s = max_hold_s

    def slot(self) -> "_Slot":
        """Return a context manager that waits for a slot as it is entered."""
        return _Slot(self._semaphore, self._max_hold_s)


class _Slot:
    """A slot that is released at the end of its block or after the maximum holding time."""

    __slots__ = ("_semaphore", "_max_hold_s", "_timer")

    def __init__(self, semaphore: asyncio.Semaphore, max_hold_s: float) -> None:
        self._semaphore = semaphore
        self._max_hold_s = max_hold_s
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        await self._semaphore.acquire()
        self._timer = asyncio.get_running_loop().call_later(self._max_hold_s, self._release)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._release()

    def _release(self) -> None:
        """Release the slot, unless that has already happened."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._semaphore.release()
