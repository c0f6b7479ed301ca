"""The stand-in delays, drops and defers writes to its store as configured."""

import asyncio
import random

from tests.emulator.loop import run
from tests.platform.crossing import CONNECTION_CLOSED, NO_RESPONSE, WriteFaults


class _Writer:
    def __init__(self, faults: WriteFaults) -> None:
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
    writer = _Writer(WriteFaults(random.Random(1)))
    assert run(writer.many()) == [200] * 10
    assert writer.order == list(range(10))


def test_late_writes_overtake_one_another_and_are_all_answered() -> None:
    faults = WriteFaults(random.Random(1))
    faults.max_delay = 0.5
    writer = _Writer(faults)
    assert run(writer.many()) == [200] * 10
    assert writer.order != list(range(10))
    assert sorted(writer.order) == list(range(10))


def test_dropped_writes_are_never_carried_out() -> None:
    faults = WriteFaults(random.Random(1))
    faults.dropped_share = 1.0
    writer = _Writer(faults)

    async def wait_for_all() -> list[int]:
        statuses = await writer.many()
        await asyncio.sleep(60.0)
        return statuses

    assert set(run(wait_for_all())) == {CONNECTION_CLOSED, NO_RESPONSE}
    assert writer.order == []


def test_deferred_writes_are_carried_out_once_without_an_answer() -> None:
    faults = WriteFaults(random.Random(1))
    faults.deferred_share = 1.0
    writer = _Writer(faults)

    async def wait_for_all() -> list[int]:
        statuses = await writer.many()
        assert writer.order == []
        await asyncio.sleep(60.0)
        return statuses

    assert set(run(wait_for_all())) == {CONNECTION_CLOSED, NO_RESPONSE}
    assert sorted(writer.order) == list(range(10))


def test_writes_are_in_time_again_once_it_is_calm() -> None:
    faults = WriteFaults(random.Random(1))
    faults.max_delay = faults.dropped_share = faults.deferred_share = 1.0
    faults.clear()
    writer = _Writer(faults)
    assert run(writer.many()) == [200] * 10
    assert writer.order == list(range(10))
