"""Few calls are at a VM at once, and further ones follow in the order of their urgency.

A leader opened a connection for each start request, up to 24 at each VM. Leaders that were lost one
after another left theirs behind, until the VMs took no connection of any later leader.
"""

import asyncio
from collections.abc import Callable

import pytest

from sablemount.control.vm_turns import (
    RESET_RETRY_S,
    CallKind,
    TurnExpired,
    VmTurns,
    connection_limit,
)
from tests.emulator.loop import run

ADDRESS = "10.0.0.1:8240"
LIMIT = 3


class _Calls:
    """Calls at one VM that last until they are ended."""

    def __init__(self, limit: int = LIMIT) -> None:
        self.turns = VmTurns(lambda kind, seconds: self.waits.append(kind))
        self.limit = limit
        self.waits: list[CallKind] = []
        self.sent: list[str] = []
        self._ends: dict[str, asyncio.Event] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.on_sent: Callable[[str], None] = lambda name: None

    async def add(self, name: str, kind: CallKind, patience: float = float("inf")) -> None:
        self._ends[name] = asyncio.Event()
        self._tasks[name] = asyncio.create_task(self._call(name, kind, patience))
        await asyncio.sleep(0.001)

    async def _call(self, name: str, kind: CallKind, patience: float) -> None:
        async with self.turns.turn(ADDRESS, self.limit, kind, patience):
            self.sent.append(name)
            await self._ends[name].wait()

    async def end(self, name: str) -> None:
        self._ends[name].set()
        await asyncio.sleep(0.001)

    async def cancel(self, name: str) -> None:
        self._tasks[name].cancel()
        await asyncio.sleep(0.001)

    def error(self, name: str) -> BaseException | None:
        return self._tasks[name].exception()


@pytest.mark.parametrize(
    ("accepted", "limit"), [(0, 3), (1, 1), (8, 1), (16, 2), (24, 3), (64, 3), (1000, 3)]
)
def test_the_limit_is_a_share_of_what_a_vm_takes(accepted: int, limit: int) -> None:
    assert connection_limit(accepted) == limit


def test_a_burst_of_starts_leaves_a_connection_to_polls_and_stops() -> None:
    async def scenario() -> None:
        calls = _Calls()
        for number in range(8):
            await calls.add(f"start{number}", CallKind.START)
        await calls.add("poll", CallKind.POLL)
        assert calls.sent == ["start0", "start1", "poll"]
        await calls.add("stop", CallKind.STOP)
        await calls.end("start0")
        assert calls.sent[3:] == ["stop"]
        await calls.end("stop")
        await calls.end("start1")
        assert calls.sent[4:] == ["start2", "start3"]

    run(scenario())


def test_urgent_calls_go_before_starts_that_wait_for_longer() -> None:
    async def scenario() -> None:
        calls = _Calls(limit=1)
        await calls.add("first", CallKind.START)
        for name, kind in (
            ("start", CallKind.START),
            ("throttle", CallKind.THROTTLE),
            ("stop", CallKind.STOP),
            ("poll", CallKind.POLL),
            ("second poll", CallKind.POLL),
        ):
            await calls.add(name, kind)
        for name in ("first", "poll", "second poll", "stop", "throttle"):
            await calls.end(name)
        assert calls.sent == ["first", "poll", "second poll", "stop", "throttle", "start"]
        assert calls.waits == [CallKind.POLL] * 2 + [
            CallKind.STOP,
            CallKind.THROTTLE,
            CallKind.START,
        ]

    run(scenario())


def test_a_call_that_waits_too_long_or_is_cancelled_takes_no_turn() -> None:
    async def scenario() -> None:
        calls = _Calls(limit=1)
        await calls.add("first", CallKind.POLL)
        await calls.add("impatient", CallKind.START, patience=0.5)
        await calls.add("cancelled", CallKind.START)
        await calls.add("last", CallKind.START)
        await asyncio.sleep(1.0)
        assert isinstance(calls.error("impatient"), TurnExpired)
        await calls.cancel("cancelled")
        await calls.end("first")
        assert calls.sent == ["first", "last"]

    run(scenario())


def test_a_turn_given_to_a_call_that_is_cancelled_goes_to_the_next() -> None:
    async def scenario() -> None:
        calls = _Calls(limit=1)
        await calls.add("first", CallKind.POLL)
        await calls.add("cancelled", CallKind.START)
        await calls.add("last", CallKind.START)
        calls._ends["first"].set()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        calls._tasks["cancelled"].cancel()
        await asyncio.sleep(0.001)
        assert calls.sent[-1] == "last"

    run(scenario())


def test_a_vm_that_resets_new_connections_is_used_over_the_open_ones() -> None:
    """Calls that opened a connection failed again and again, though one was open."""

    async def scenario() -> None:
        turns = VmTurns()
        async with turns.turn(ADDRESS, LIMIT, CallKind.POLL):
            async with turns.turn(ADDRESS, LIMIT, CallKind.START) as turn:
                resets = turn.reset_on_open()
                assert (resets.open, resets.count) == (1, 1)
            assert turns.is_single(ADDRESS, LIMIT)
            with pytest.raises(TurnExpired):
                async with turns.turn(ADDRESS, LIMIT, CallKind.START, patience=0.5):
                    pass
            await asyncio.sleep(RESET_RETRY_S)
            # Now one further connection is tried.
            async with turns.turn(ADDRESS, LIMIT, CallKind.START) as turn:
                with pytest.raises(TurnExpired):
                    async with turns.turn(ADDRESS, LIMIT, CallKind.STOP, patience=0.5):
                        pass
                assert turn.answered()
            assert not turns.is_single(ADDRESS, LIMIT)

    run(scenario())


def test_connections_to_a_vm_that_resets_them_are_tried_more_and_more_rarely() -> None:
    async def scenario() -> None:
        turns = VmTurns()
        attempts = 0
        async with turns.turn(ADDRESS, LIMIT, CallKind.POLL):
            end = asyncio.get_running_loop().time() + 60.0
            while asyncio.get_running_loop().time() < end:
                try:
                    async with turns.turn(ADDRESS, LIMIT, CallKind.START, patience=0.1) as turn:
                        turn.reset_on_open()
                        attempts += 1
                except TurnExpired:
                    pass
        assert 3 <= attempts <= 7

    run(scenario())


def test_a_vm_without_any_connection_is_tried_over_one() -> None:
    async def scenario() -> None:
        turns = VmTurns()
        async with turns.turn(ADDRESS, LIMIT, CallKind.POLL) as turn:
            assert turn.reset_on_open().open == 0
        async with turns.turn(ADDRESS, LIMIT, CallKind.POLL) as turn:
            assert turn.answered()
        assert not turns.is_single(ADDRESS, LIMIT)

    run(scenario())
