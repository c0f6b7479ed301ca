"""Work of which a few pieces are under way at a time, so that all else goes on between them."""

import asyncio
from types import TracebackType

__all__ = ["Turns"]


class Turns:
    """Lets so many pieces of work begin at once, and others as these end or have taken long.

    Each piece keeps others back for ``longest`` seconds at most.
    """

    def __init__(self, at_once: int, longest: float) -> None:
        self._free = asyncio.Semaphore(at_once)
        self._longest = longest

    def turn(self) -> "_Turn":
        """Return one turn, which is waited for as it is entered."""
        return _Turn(self._free, self._longest)


class _Turn:
    """A turn that ends with its piece of work, or before."""

    __slots__ = ("_free", "_longest", "_timer")

    def __init__(self, free: asyncio.Semaphore, longest: float) -> None:
        self._free = free
        self._longest = longest
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        await self._free.acquire()
        self._timer = asyncio.get_running_loop().call_later(self._longest, self._end)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._end()

    def _end(self) -> None:
        """Let another piece of work begin, once."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._free.release()
