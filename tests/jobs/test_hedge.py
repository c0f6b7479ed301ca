"""Hedged calls return soon after the end of an outage, and do not repeat a refused call."""

import asyncio

from sablemount.control.hedge import hedged
from tests.emulator.loop import run

INTERVAL_S = 0.3
TIMEOUT_S = 1.5


class _SilentService:
    """A service that answers no call made before it recovers."""

    def __init__(self, recovers_at: float) -> None:
        self.recovers_at = recovers_at
        self.calls = 0

    async def call(self) -> str | None:
        self.calls += 1
        if asyncio.get_running_loop().time() < self.recovers_at:
            await asyncio.sleep(TIMEOUT_S)
            return None
        return "answer"


def test_the_end_of_a_silence_is_seen_within_one_interval() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        service = _SilentService(loop.time() + 3.1)
        assert await hedged(service.call, INTERVAL_S, 10.0) == "answer"
        assert loop.time() - service.recovers_at < INTERVAL_S + 0.01

    run(scenario())


def test_a_slow_answer_to_the_first_attempt_counts() -> None:
    async def scenario() -> None:
        async def call_slowly() -> str | None:
            await asyncio.sleep(0.7)
            return "answer"

        loop = asyncio.get_running_loop()
        started_at = loop.time()
        assert await hedged(call_slowly, INTERVAL_S, 10.0) == "answer"
        assert loop.time() - started_at < 0.71

    run(scenario())


def test_a_refusal_is_left_to_the_caller() -> None:
    async def scenario() -> None:
        calls = 0

        async def refuse() -> str | None:
            nonlocal calls
            calls += 1
            return None

        assert await hedged(refuse, INTERVAL_S, 10.0) is None
        assert calls == 1

    run(scenario())


def test_nothing_goes_on_after_the_limit() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        service = _SilentService(loop.time() + 100.0)
        assert await hedged(service.call, INTERVAL_S, 2.0) is None
        calls = service.calls
        await asyncio.sleep(5.0)
        assert service.calls == calls
        assert len(asyncio.all_tasks()) == 1

    run(scenario())


def test_attempts_that_fail_at_once_beside_a_silent_one_do_not_follow_one_another() -> None:
    async def scenario() -> None:
        calls = 0

        async def call_with_silent_first() -> str | None:
            nonlocal calls
            calls += 1
            await asyncio.sleep(TIMEOUT_S if calls == 1 else 0.005)
            return None

        await hedged(call_with_silent_first, INTERVAL_S, 1.4)
        assert calls <= 6

    run(scenario())
