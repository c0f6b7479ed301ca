"""While a machine is suspended its steady clock stands still, and the world goes on.

A leader that woke after some seconds took the store's last word for as fresh as before, and gave
orders though another one led. No clock that the product read counted suspended time.
"""

import asyncio
import re
import time
from pathlib import Path

import pytest

from sablemount import boottime
from sablemount.control.authority import AUTHORITY_VALIDITY_S, Authority
from sablemount.control.clock import monotonic

SOURCE = Path(__file__).parents[1] / "src" / "sablemount"
STANDS_STILL = re.compile(r"time\.monotonic|time\.perf_counter|CLOCK_MONOTONIC|asyncio\.run\(")
SUSPENDED = 4.0


class _Machine:
    """A machine's clocks, of which one counts the time for which it was suspended."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._real = time.clock_gettime
        self.suspended = 0.0
        monkeypatch.setattr(time, "clock_gettime", self._clock)

    def _clock(self, clock: int) -> float:
        counted = self.suspended if clock == time.CLOCK_BOOTTIME else 0.0
        return self._real(clock) + counted


def test_the_product_reads_no_clock_that_stands_still() -> None:
    found = [str(path) for path in SOURCE.rglob("*.py") if STANDS_STILL.search(path.read_text())]
    assert found == []


def test_suspended_time_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    machine = _Machine(monkeypatch)
    before = boottime.monotonic()
    machine.suspended = SUSPENDED
    assert boottime.monotonic() - before >= SUSPENDED


def test_a_time_out_counts_suspended_time(monkeypatch: pytest.MonkeyPatch) -> None:
    machine = _Machine(monkeypatch)

    async def scenario() -> bool:
        try:
            async with asyncio.timeout(SUSPENDED):
                machine.suspended = SUSPENDED
                # Any event wakes the loop; this one is a timer that is due soon.
                await asyncio.sleep(0.001)
                await asyncio.sleep(0.05)
        except TimeoutError:
            return True
        return False

    assert boottime.run(scenario())


def test_a_leader_whose_machine_was_suspended_gives_no_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    machine = _Machine(monkeypatch)

    async def scenario() -> tuple[bool, bool]:
        confirmed_at = monotonic()
        asked = []
        authority = Authority(lambda: confirmed_at, lambda: False, lambda: asked.append(1))
        before = authority.holds()
        machine.suspended = AUTHORITY_VALIDITY_S + 0.1
        after = authority.holds()
        assert asked
        return before, after

    assert boottime.run(scenario()) == (True, False)
