"""The stand-in delays, drops and defers writes to its store as configured."""

import asyncio
import random

from tests.emulator.loop import run
from tests.platform.crossing import CONNECTION_CLOSED, NO_RESPONSE, Crossing


class _Writer:
    def __init__(self, faults: Crossing) -> None:
        self._faults = faults
        self.order: list[int] = []

    async def write(self, number: int) -> int:
        def carry_out() -> tuple[int, object]:
            self.order.append(number)
            return 200, {}

        return (await self._faults.write(carry_out))[0]

    async def many(self) -> list[int]:
        """Send ten writes at once and return their statuses in the order of sending."""
        return list(await asyncio.gather(*(self.write(number) for number in range(10))))


def test_calm_writes_are_answered_in_order() -> None:
    writer = _Writer(Crossing(random.Random(1)))
    assert run(writer.many()) == [200] * 10
    assert writer.order == list(range(10))


def test_late_writes_overtake_one_another_and_are_all_answered() -> None:
    faults = Crossing(random.Random(1))
    faults.late = 0.5
    writer = _Writer(faults)
    assert run(writer.many()) == [200] * 10
    assert writer.order != list(range(10))
    assert sorted(writer.order) == list(range(10))


def test_dropped_writes_are_never_carried_out() -> None:
    faults = Crossing(random.Random(1))
    faults.dropped = 1.0
    writer = _Writer(faults)

    async def wait_for_all() -> list[int]:
        statuses = await writer.many()
        await asyncio.sleep(60.0)
        return statuses

    assert set(run(wait_for_all())) == {CONNECTION_CLOSED, NO_RESPONSE}
    assert writer.order == []


def test_deferred_writes_are_carried_out_once_without_an_answer() -> None:
    faults = Crossing(random.Random(1))
    faults.deferred = 1.0
    writer = _Writer(faults)

    async def wait_for_all() -> list[int]:
        statuses = await writer.many()
        assert writer.order == []
        await asyncio.sleep(60.0)
        return statuses

    assert set(run(wait_for_all())) == {CONNECTION_CLOSED, NO_RESPONSE}
    assert sorted(writer.order) == list(range(10))


def test_writes_are_in_time_again_once_it_is_calm() -> None:
    faults = Crossing(random.Random(1))
    faults.late = faults.dropped = faults.deferred = 1.0
    faults.calm()
    writer = _Writer(faults)
    assert run(writer.many()) == [200] * 10
    assert writer.order == list(range(10))
