"""Ages and deadlines include the time for which a machine was suspended.

The usual monotonic clock stops during a suspension. A leader on such a clock took the store's last
confirmation for as recent as before its suspension of some seconds, and sent orders to VMs although
another member had become leader.
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
SUSPENDABLE_CLOCKS = re.compile(
    r"time\.monotonic|time\.perf_counter|CLOCK_MONOTONIC|asyncio\.run\("
)
SUSPENSION_S = 4.0


class _FakeClocks:
    """Simulates a suspension of ``suspended_s`` seconds, which only the boot-time clock counts."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._real_clock_gettime = time.clock_gettime
        self.suspended_s = 0.0
        monkeypatch.setattr(time, "clock_gettime", self._clock_gettime)

    def _clock_gettime(self, clock_id: int) -> float:
        offset = self.suspended_s if clock_id == time.CLOCK_BOOTTIME else 0.0
        return self._real_clock_gettime(clock_id) + offset


def test_the_product_reads_no_clock_that_stands_still() -> None:
    files = [
        str(path) for path in SOURCE.rglob("*.py") if SUSPENDABLE_CLOCKS.search(path.read_text())
    ]
    assert files == []


def test_suspended_time_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    clocks = _FakeClocks(monkeypatch)
    before = boottime.monotonic()
    clocks.suspended_s = SUSPENSION_S
    assert boottime.monotonic() - before >= SUSPENSION_S


def test_a_time_out_counts_suspended_time(monkeypatch: pytest.MonkeyPatch) -> None:
    clocks = _FakeClocks(monkeypatch)

    async def scenario() -> bool:
        try:
            async with asyncio.timeout(SUSPENSION_S):
                clocks.suspended_s = SUSPENSION_S
                # The loop checks its timers on any event; here a timer that expires soon.
                await asyncio.sleep(0.001)
                await asyncio.sleep(0.05)
        except TimeoutError:
            return True
        return False

    assert boottime.run(scenario())


def test_a_leader_whose_machine_was_suspended_gives_no_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clocks = _FakeClocks(monkeypatch)

    async def scenario() -> tuple[bool, bool]:
        confirmed_at = monotonic()
        store_queries = []
        authority = Authority(lambda: confirmed_at, lambda: False, lambda: store_queries.append(1))
        before = authority.holds()
        clocks.suspended_s = AUTHORITY_VALIDITY_S + 0.1
        after = authority.holds()
        assert store_queries
        return before, after

    assert boottime.run(scenario()) == (True, False)
