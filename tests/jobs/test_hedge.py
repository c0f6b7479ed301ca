"""An answer is there soon after the outage's end, and a refusal is not asked for again at once."""

import asyncio

from sablemount.control.hedge import hedged
from tests.emulator.loop import run

INTERVAL = 0.3
TIMEOUT = 1.5


class _Silent:
    """Answers nothing to what is asked before it is back."""

    def __init__(self, back_at: float) -> None:
        self.back_at = back_at
        self.calls = 0

    async def ask(self) -> str | None:
        self.calls += 1
        if asyncio.get_running_loop().time() < self.back_at:
            await asyncio.sleep(TIMEOUT)
            return None
        return "answer"


def test_the_end_of_a_silence_is_seen_within_one_interval() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        silent = _Silent(loop.time() + 3.1)
        assert await hedged(silent.ask, INTERVAL, 10.0) == "answer"
        assert loop.time() - silent.back_at < INTERVAL + 0.01

    run(scenario())


def test_a_slow_answer_to_the_first_attempt_counts() -> None:
    async def scenario() -> None:
        async def slow() -> str | None:
            await asyncio.sleep(0.7)
            return "answer"

        loop = asyncio.get_running_loop()
        began = loop.time()
        assert await hedged(slow, INTERVAL, 10.0) == "answer"
        assert loop.time() - began < 0.71

    run(scenario())


def test_a_refusal_is_left_to_the_caller() -> None:
    async def scenario() -> None:
        calls = 0

        async def refused() -> str | None:
            nonlocal calls
            calls += 1
            return None

        assert await hedged(refused, INTERVAL, 10.0) is None
        assert calls == 1

    run(scenario())


def test_nothing_goes_on_after_the_limit() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        silent = _Silent(loop.time() + 100.0)
        assert await hedged(silent.ask, INTERVAL, 2.0) is None
        calls = silent.calls
        await asyncio.sleep(5.0)
        assert silent.calls == calls
        assert len(asyncio.all_tasks()) == 1

    run(scenario())


def test_attempts_that_fail_at_once_beside_a_silent_one_do_not_follow_one_another() -> None:
    async def scenario() -> None:
        calls = 0

        async def first_is_silent() -> str | None:
            nonlocal calls
            calls += 1
            await asyncio.sleep(TIMEOUT if calls == 1 else 0.005)
            return None

        await hedged(first_is_silent, INTERVAL, 1.4)
        assert calls <= 6

    run(scenario())
