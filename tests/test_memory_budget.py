"""What the budget of requests' memory grants, and whose memory it takes back."""

import asyncio
from collections.abc import Callable

import pytest

from sablemount.control import memory_budget
from sablemount.control.memory_budget import Grant, MemoryBudget


class _Owners:
    """Requests that hold memory, and which of them it was taken from."""

    def __init__(self, capacity: int) -> None:
        self.budget = MemoryBudget(capacity)
        self.revoked: list[str] = []

    def open(self, name: str, size: int) -> Grant | None:
        grant = self.budget.open(lambda: self.revoked.append(name))
        return grant if grant.extend_to(size) else None


def _run(scenario: Callable[[], None]) -> None:
    async def run() -> None:
        scenario()

    asyncio.run(run())


def test_a_small_request_takes_the_memory_of_the_largest() -> None:
    def scenario() -> None:
        owners = _Owners(100)
        assert owners.open("a", 30)
        assert owners.open("b", 60)
        assert owners.open("small", 20)
        assert owners.revoked == ["b"]
        assert owners.budget.used == 50

    _run(scenario)


def test_requests_of_one_size_do_not_take_each_others_memory() -> None:
    def scenario() -> None:
        owners = _Owners(100)
        assert owners.open("a", 50)
        assert owners.open("b", 50)
        assert owners.open("c", 50) is None
        assert owners.revoked == []
        assert owners.budget.used == 100

    _run(scenario)


def test_a_stalled_request_gives_its_memory_to_a_larger_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(memory_budget, "STALLED_S", 0.0)

    def scenario() -> None:
        owners = _Owners(100)
        assert owners.open("stalled", 50)
        assert owners.open("large", 100)
        assert owners.revoked == ["stalled"]

    _run(scenario)


def test_a_complete_request_keeps_its_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(memory_budget, "STALLED_S", 0.0)

    def scenario() -> None:
        owners = _Owners(100)
        complete = owners.open("complete", 100)
        assert complete is not None
        complete.is_revocable = False
        assert owners.open("small", 10) is None
        complete.close()
        assert owners.open("small", 10)

    _run(scenario)


def test_what_can_never_be_granted_takes_nobodys_memory() -> None:
    def scenario() -> None:
        owners = _Owners(100)
        assert owners.open("a", 100)
        assert owners.open("huge", 101) is None
        assert owners.revoked == []

    _run(scenario)


def test_a_request_that_is_revoked_while_it_grows_does_not_count() -> None:
    def scenario() -> None:
        owners = _Owners(100)
        growing = owners.open("growing", 60)
        assert growing is not None
        assert owners.open("small", 50)
        assert owners.revoked == ["growing"]
        growing.close()
        assert owners.budget.used == 50

    _run(scenario)


def test_the_budget_of_a_machine_is_a_share_of_its_memory() -> None:
    assert MemoryBudget.of_machine(160.0).capacity == 20 * 1024 * 1024
    assert MemoryBudget.of_machine(0.0).capacity == 64 * 1024 * 1024
    assert MemoryBudget.of_machine(8.0, at_least=16).capacity == 1024 * 1024
    assert MemoryBudget.of_machine(8.0, at_least=2 * 1024 * 1024).capacity == 2 * 1024 * 1024
