"""An event loop in virtual time: its clock jumps to the next timer instead of waiting for it.

The code of a member runs in a context that names the member, so that the member can be suspended:
its callbacks are held while time passes for all others, and run once it is resumed.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVar

T = TypeVar("T")
H = TypeVar("H", bound=asyncio.Handle)

OWNER: ContextVar[str] = ContextVar("OWNER", default="")
"""Name of the member whose code is running; empty for the emulation itself."""


class _VirtualSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0

    def select(self, timeout: float | None = None) -> list[object]:
        if timeout is None:
            raise RuntimeError("deadlock: nothing is scheduled")
        if timeout > 0:
            self.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that runs deterministically in virtual time."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)
        self.held_callbacks: dict[str, list[Callable[[], None]]] = {}
        """Held callbacks of suspended members, by member."""
        self.callback_errors: list[Exception] = []
        """Exceptions raised in callbacks, which no caller awaits."""

    def time(self) -> float:
        return self._virtual_selector.now

    def advance_clock(self, seconds: float) -> None:
        """Advance the clock while a callback runs."""
        self._virtual_selector.now += seconds

    def call_soon(
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        context = context or copy_context()
        owned = self._guard(callback, context)
        return owned.bind_handle(super().call_soon(owned, *args, context=context))

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        context = context or copy_context()
        owned = self._guard(callback, context)
        return owned.bind_handle(super().call_at(when, owned, *args, context=context))

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Remember an exception of a callback, in addition to logging it."""
        error = context.get("exception")
        if isinstance(error, Exception) and "handle" in context:
            self.callback_errors.append(error)
        super().call_exception_handler(context)

    def _guard(self, callback: Callable[..., object], context: Context) -> "_OwnedCallback":
        return _OwnedCallback(self, callback, context)

    def reschedule(self, owned: "_OwnedCallback", args: tuple[Any, ...]) -> None:
        """Schedule a held callback again."""
        super().call_soon(owned, *args, context=owned.context)


class _OwnedCallback:
    """A callback that is held while the member that owns it is suspended."""

    def __init__(self, loop: VirtualLoop, callback: Callable[..., object], context: Context):
        self._loop = loop
        self._callback = callback
        self.context = context
        self._owner = context.get(OWNER, "")
        self._handle: asyncio.Handle | None = None

    def bind_handle(self, handle: H) -> H:
        """Remember the handle, by which the callback may be cancelled while it is held."""
        self._handle = handle
        return handle

    def __call__(self, *args: Any) -> None:
        if self._handle is not None and self._handle.cancelled():
            return
        if self._owner in self._loop.held_callbacks:
            self._loop.held_callbacks[self._owner].append(lambda: self._loop.reschedule(self, args))
        else:
            self._callback(*args)


def _loop() -> VirtualLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    return loop


def detached_context() -> Context:
    """Return a context that belongs to no member, for work that outlives its sender."""
    context = copy_context()
    context.run(OWNER.set, "")
    return context


def suspend(owner: str) -> None:
    """Hold all callbacks of a member from now on."""
    _loop().held_callbacks.setdefault(owner, [])


def resume(owner: str) -> bool:
    """Resume a member; return whether it was suspended."""
    held = _loop().held_callbacks.pop(owner, None)
    for reschedule in held or ():
        reschedule()
    return held is not None


def block_loop(seconds: float) -> None:
    """Simulate running code that blocks the loop for some seconds."""
    _loop().advance_clock(seconds)


def run(work: Coroutine[object, object, T]) -> T:
    """Run a coroutine in virtual time, and raise the exceptions of callbacks as well."""
    loop = VirtualLoop()
    try:
        result = loop.run_until_complete(work)
        if loop.callback_errors:
            raise ExceptionGroup("exceptions raised in callbacks", loop.callback_errors)
        return result
    finally:
        loop.held_callbacks.clear()
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.01))
        loop.close()
