"""Entries of emulated VMs live by the writes of their VMs."""

import asyncio
import random
from collections.abc import Callable

import pytest

from sablemount.control.store import Topic
from sablemount.jobs.model import Shape
from tests.emulator.directory import directory_entry
from tests.emulator.entries import ENTRY_KEPT_S, HEARTBEAT_S, Entries
from tests.emulator.loop import run
from tests.emulator.store import StoreState
from tests.emulator.vms import Cell

SLACK_S = 0.3


class _Rig:
    """A VM that has written its entry."""

    def __init__(self) -> None:
        self.store = StoreState(random.Random(1))
        cell = Cell(random.Random(2))
        self.vm = cell.add("w0", "r0", Shape(16_000, 64_000), "10.0.0.1:8240")
        self.entries = Entries(self.store, directory_entry, lambda vm: not vm.unreachable)
        self.entries.write(self.vm)
        self.entries.start()

    def is_listed(self) -> bool:
        return self.vm.info.name in self.store.topics[Topic.VMS].newest


def _end(rig: _Rig) -> None:
    rig.vm.up = False


def _cut(rig: _Rig) -> None:
    rig.vm.unreachable = True


def _outage(rig: _Rig) -> None:
    rig.store.down = True


@pytest.mark.parametrize("stop", [_end, _cut, _outage])
def test_an_entry_goes_three_heartbeats_after_the_last_write(stop: Callable[[_Rig], None]) -> None:
    async def scenario() -> None:
        rig = _Rig()
        await asyncio.sleep(20.0)
        assert rig.is_listed()
        stop(rig)
        await asyncio.sleep(ENTRY_KEPT_S - HEARTBEAT_S - SLACK_S)
        assert rig.is_listed()
        await asyncio.sleep(HEARTBEAT_S + 2 * SLACK_S)
        assert not rig.is_listed()

    run(scenario())


@pytest.mark.parametrize("stop", [_cut, _outage])
def test_an_entry_is_back_a_heartbeat_after_its_vm_reaches_the_store(
    stop: Callable[[_Rig], None],
) -> None:
    async def scenario() -> None:
        rig = _Rig()
        stop(rig)
        await asyncio.sleep(10.0)
        rig.vm.unreachable = rig.store.down = False
        await asyncio.sleep(HEARTBEAT_S + SLACK_S)
        assert rig.is_listed()

    run(scenario())


def test_a_withdrawn_entry_stays_away_though_its_vm_serves_on() -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.entries.withdraw(rig.vm)
        await asyncio.sleep(10.0)
        assert not rig.is_listed()

    run(scenario())
