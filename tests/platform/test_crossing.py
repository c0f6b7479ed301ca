"""What the stand-in lets become of writes on their way to its store."""

import asyncio
import random

from tests.emulator.loop import run
from tests.platform.crossing import NO_ANSWER, SILENCE, Crossing


class _Written:
    def __init__(self, crossing: Crossing) -> None:
        self._crossing = crossing
        self.order: list[int] = []

    async def write(self, number: int) -> int:
        def carry_out() -> tuple[int, object]:
            self.order.append(number)
            return 200, {}

        return (await self._crossing.write(carry_out))[0]

    async def many(self) -> list[int]:
        """Write ten at once, and return the answers in the order of sending."""
        return list(await asyncio.gather(*(self.write(number) for number in range(10))))


def test_calm_writes_are_answered_in_order() -> None:
    written = _Written(Crossing(random.Random(1)))
    assert run(written.many()) == [200] * 10
    assert written.order == list(range(10))


def test_late_writes_overtake_one_another_and_are_all_answered() -> None:
    crossing = Crossing(random.Random(1))
    crossing.late = 0.5
    written = _Written(crossing)
    assert run(written.many()) == [200] * 10
    assert written.order != list(range(10))
    assert sorted(written.order) == list(range(10))


def test_dropped_writes_are_never_carried_out() -> None:
    crossing = Crossing(random.Random(1))
    crossing.dropped = 1.0
    written = _Written(crossing)

    async def wait_for_all() -> list[int]:
        answers = await written.many()
        await asyncio.sleep(60.0)
        return answers

    assert set(run(wait_for_all())) == {NO_ANSWER, SILENCE}
    assert written.order == []


def test_deferred_writes_are_carried_out_once_without_an_answer() -> None:
    crossing = Crossing(random.Random(1))
    crossing.deferred = 1.0
    written = _Written(crossing)

    async def wait_for_all() -> list[int]:
        answers = await written.many()
        assert written.order == []
        await asyncio.sleep(60.0)
        return answers

    assert set(run(wait_for_all())) == {NO_ANSWER, SILENCE}
    assert sorted(written.order) == list(range(10))


def test_writes_are_in_time_again_once_it_is_calm() -> None:
    crossing = Crossing(random.Random(1))
    crossing.late = crossing.dropped = crossing.deferred = 1.0
    crossing.calm()
    written = _Written(crossing)
    assert run(written.many()) == [200] * 10
    assert written.order == list(range(10))
