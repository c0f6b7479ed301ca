"""An event loop whose clock jumps to the next timer instead of waiting for it.

What a member does runs in a context that names it, so that it can be suspended: its callbacks are
kept while time goes by for all others, and run once it is resumed.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVar

T = TypeVar("T")
H = TypeVar("H", bound=asyncio.Handle)

OWNER: ContextVar[str] = ContextVar("OWNER", default="")
"""Member that the running code is of; empty for the emulation itself."""


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
        self.held: dict[str, list[Callable[[], None]]] = {}
        """What suspended members would have run, by member."""
        self.errors: list[Exception] = []
        """What callbacks have raised: nobody waits for them."""

    def time(self) -> float:
        return self._jumping.now

    def spend(self, seconds: float) -> None:
        """Move the clock on while a callback runs."""
        self._jumping.now += seconds

    def call_soon(
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        context = context or copy_context()
        guarded = self._guarded(callback, context)
        return guarded.tied(super().call_soon(guarded, *args, context=context))

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        context = context or copy_context()
        guarded = self._guarded(callback, context)
        return guarded.tied(super().call_at(when, guarded, *args, context=context))

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Keep what a callback has raised, beside its log line."""
        error = context.get("exception")
        if isinstance(error, Exception) and "handle" in context:
            self.errors.append(error)
        super().call_exception_handler(context)

    def _guarded(self, callback: Callable[..., object], context: Context) -> "_Guarded":
        return _Guarded(self, callback, context)

    def again(self, guarded: "_Guarded", args: tuple[Any, ...]) -> None:
        """Run a callback that was kept."""
        super().call_soon(guarded, *args, context=guarded.context)


class _Guarded:
    """A callback that is kept while the member whose it is is suspended."""

    def __init__(self, loop: VirtualLoop, callback: Callable[..., object], context: Context):
        self._loop = loop
        self._callback = callback
        self.context = context
        self._owner = context.get(OWNER, "")
        self._handle: asyncio.Handle | None = None

    def tied(self, handle: H) -> H:
        """Take the handle by which it may be cancelled, also while it is kept."""
        self._handle = handle
        return handle

    def __call__(self, *args: Any) -> None:
        if self._handle is not None and self._handle.cancelled():
            return
        if self._owner in self._loop.held:
            self._loop.held[self._owner].append(lambda: self._loop.again(self, args))
        else:
            self._callback(*args)


def _loop() -> VirtualLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    return loop


def outside() -> Context:
    """Return a context of no member: what is on its way goes on whatever becomes of its sender."""
    context = copy_context()
    context.run(OWNER.set, "")
    return context


def suspend(owner: str) -> None:
    """Run nothing of a member from now on."""
    _loop().held.setdefault(owner, [])


def resume(owner: str) -> bool:
    """Go on with a member; tell whether it was suspended."""
    kept = _loop().held.pop(owner, None)
    for again in kept or ():
        again()
    return kept is not None


def spend(seconds: float) -> None:
    """Let the running code take some seconds, in which nothing else runs."""
    _loop().spend(seconds)


def run(work: Coroutine[object, object, T]) -> T:
    """Run a coroutine in virtual time; raises also what callbacks have raised meanwhile."""
    loop = VirtualLoop()
    try:
        result = loop.run_until_complete(work)
        if loop.errors:
            raise ExceptionGroup("raised by callbacks", loop.errors)
        return result
    finally:
        loop.held.clear()
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.01))
        loop.close()
