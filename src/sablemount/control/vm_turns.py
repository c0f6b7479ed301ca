"""Limits how many calls a leader has at a VM at once, and in which order further ones follow.

A call takes a connection of its own. A VM takes a limited number of connections, and those of a
machine that is lost silently may stay open there for good, so that a leader opens only a small
share of them.
"""

import asyncio
import enum
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from math import inf
from types import TracebackType

import msgspec

from sablemount.control.clock import monotonic

__all__ = ["CallKind", "Resets", "Turn", "TurnExpired", "VmTurns", "connection_limit"]

MAX_CONNECTIONS = 3
"""Maximum number of calls at a VM at once: a poll that waits, and two others, so that one without
an answer does not hold up the next."""
CONNECTION_SHARE = 8
"""Part of the connections that a VM takes which one leader may open."""
RESET_RETRY_S = 2.0
"""Seconds from a connection that was reset as it opened until the next attempt to open one."""
MAX_RESET_RETRY_S = 16.0
"""Longest such interval; it doubles with each further reset."""


class CallKind(enum.IntEnum):
    """Kinds of calls, in the order in which they get a turn."""

    POLL = 0
    STOP = 1
    THROTTLE = 2
    START = 3


def connection_limit(accepted: int) -> int:
    """Return how many connections a leader may open at a VM that takes ``accepted``; 0: unknown."""
    if accepted <= 0:
        return MAX_CONNECTIONS
    return max(1, min(MAX_CONNECTIONS, accepted // CONNECTION_SHARE))


class Resets(msgspec.Struct, frozen=True):
    """The connections to a VM that resets new ones: how many are open, and how many it has reset
    since it last took one."""

    open: int
    count: int


def _ignore_wait(kind: CallKind, seconds: float) -> None:
    """Ignore a wait."""


def _ignore_address(address: str) -> None:
    """Ignore an address."""


class _Waiter:
    """A call that waits for its turn, ordered by kind and then by arrival."""

    __slots__ = ("kind", "number", "future")

    def __init__(self, kind: CallKind, number: int, future: "asyncio.Future[None]") -> None:
        self.kind = kind
        self.number = number
        self.future = future

    def __lt__(self, other: "_Waiter") -> bool:
        return (self.kind, self.number) < (other.kind, other.number)


class _Lane:
    """The calls at one address."""

    def __init__(self) -> None:
        self.in_use = 0
        self.starts_in_use = 0
        self.waiters: list[_Waiter] = []
        self.limit = MAX_CONNECTIONS
        self.open_at_reset = 0
        """How many connections were open as the VM reset a further one."""
        self.retry_at = 0.0
        self.retry_interval = RESET_RETRY_S
        self.resets = 0

    def capacity(self, now: float) -> int:
        """Return how many calls may be in flight at once."""
        if not self.resets:
            return self.limit
        attempts = 0 if now < self.retry_at else 1
        return min(self.limit, max(1, self.open_at_reset + attempts))

    def goes_ahead(self, kind: CallKind, now: float) -> bool:
        """Return whether a call need not wait for others."""
        is_next = not self.waiters or kind < self.waiters[0].kind
        return is_next and self.admits(kind, now)

    def admits(self, kind: CallKind, now: float) -> bool:
        """Return whether a call may be sent now."""
        capacity = self.capacity(now)
        if self.in_use >= capacity:
            return False
        # One connection is left to polls and stops if there are several.
        return kind is not CallKind.START or self.starts_in_use < max(1, capacity - 1)

    def enter(self, kind: CallKind) -> None:
        """Count a call in flight."""
        self.in_use += 1
        self.starts_in_use += kind is CallKind.START

    def leave(self, kind: CallKind) -> None:
        """Count a call in flight no longer."""
        self.in_use -= 1
        self.starts_in_use -= kind is CallKind.START

    def admit_waiters(self, now: float) -> None:
        """Let waiting calls go ahead as far as the limits allow."""
        while self.waiters and self.admits(self.waiters[0].kind, now):
            waiter = heappop(self.waiters)
            self.enter(waiter.kind)
            waiter.future.set_result(None)

    def reset_on_open(self, now: float) -> Resets:
        """Handle a call in flight whose connection was reset as it was opened."""
        if self.resets:
            self.retry_interval = min(MAX_RESET_RETRY_S, 2.0 * self.retry_interval)
        self.resets += 1
        # Idle connections are reused before one is opened: all others are in use.
        self.open_at_reset = self.in_use - 1
        self.retry_at = now + self.retry_interval
        return Resets(self.open_at_reset, self.resets)

    def answered(self, now: float) -> bool:
        """Handle the answer to a call in flight; return whether it ends a series of resets."""
        if not self.resets or self.in_use <= self.open_at_reset:
            return False
        self.resets = 0
        self.retry_interval = RESET_RETRY_S
        self.admit_waiters(now)
        return True

    def discard(self, waiter: _Waiter) -> None:
        """Remove a call that waits no longer."""
        self.waiters.remove(waiter)
        heapify(self.waiters)


class TurnExpired(Exception):
    """A call has waited for its turn for as long as it may."""


class VmTurns:
    """Gives calls to VMs their turns.

    ``on_waited`` is called with the kind of a call that had to wait, and for how many seconds;
    ``on_unused`` is called with an address once no call is in flight or waits there.
    """

    def __init__(
        self,
        on_waited: Callable[[CallKind, float], None] = _ignore_wait,
        on_unused: Callable[[str], None] = _ignore_address,
    ) -> None:
        self._on_waited = on_waited
        self._on_unused = on_unused
        self._lanes: dict[str, _Lane] = {}
        self._last_number = 0

    def turn(self, address: str, limit: int, kind: CallKind, patience: float = inf) -> "Turn":
        """Return a context manager that waits for a turn at an address as it is entered.

        It raises ``TurnExpired`` after ``patience`` seconds.
        """
        return Turn(self, address, limit, kind, patience)

    def is_single(self, address: str, limit: int) -> bool:
        """Return whether only one call at a time may be sent to an address."""
        lane = self._lanes.get(address)
        return limit == 1 or (lane is not None and lane.capacity(monotonic()) == 1)

    def has_waiting(self, address: str) -> bool:
        """Return whether a call waits for its turn at an address."""
        lane = self._lanes.get(address)
        return lane is not None and bool(lane.waiters)

    async def _enter(self, turn: "Turn") -> _Lane:
        lane = self._lanes.setdefault(turn.address, _Lane())
        lane.limit = turn.limit
        if lane.goes_ahead(turn.kind, monotonic()):
            lane.enter(turn.kind)
        else:
            await self._wait(lane, turn)
        return lane

    async def _wait(self, lane: _Lane, turn: "Turn") -> None:
        began = monotonic()
        self._last_number += 1
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(turn.kind, self._last_number, future)
        heappush(lane.waiters, waiter)
        try:
            await asyncio.wait([future], timeout=None if turn.patience == inf else turn.patience)
        except asyncio.CancelledError:
            self._withdraw(turn, lane, waiter)
            raise
        if not future.done():
            self._withdraw(turn, lane, waiter)
            raise TurnExpired()
        self._on_waited(turn.kind, monotonic() - began)

    def _withdraw(self, turn: "Turn", lane: _Lane, waiter: _Waiter) -> None:
        """Give up a turn that was waited for, or that was given at this very moment."""
        if waiter.future.done():
            self._leave(turn, lane)
            return
        lane.discard(waiter)
        self._forget_unused(turn.address, lane)

    def _leave(self, turn: "Turn", lane: _Lane) -> None:
        lane.leave(turn.kind)
        lane.admit_waiters(monotonic())
        if not lane.in_use:
            self._on_unused(turn.address)
        self._forget_unused(turn.address, lane)

    def _forget_unused(self, address: str, lane: _Lane) -> None:
        if not lane.in_use and not lane.waiters and not lane.resets:
            self._lanes.pop(address, None)


class Turn:
    """The turn of one call."""

    __slots__ = ("_turns", "_lane", "address", "limit", "kind", "patience")

    def __init__(
        self, turns: VmTurns, address: str, limit: int, kind: CallKind, patience: float
    ) -> None:
        self._turns = turns
        self.address = address
        self.limit = limit
        self.kind = kind
        self.patience = patience
        self._lane: _Lane

    async def __aenter__(self) -> "Turn":
        self._lane = await self._turns._enter(self)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._turns._leave(self, self._lane)

    def reset_on_open(self) -> Resets:
        """Handle that the VM has reset the connection of this call as it was opened."""
        return self._lane.reset_on_open(monotonic())

    def answered(self) -> bool:
        """Handle an answer to this call; return whether the VM takes new connections again."""
        return self._lane.answered(monotonic())
