"""Organisations with caps in the emulated system, while caps change and faults occur."""

import pytest

from tests.emulator import faults as kinds
from tests.emulator.loop import run
from tests.emulator.mixes import play_organisations
from tests.jobs.running import fault_mix


def test_calm() -> None:
    assert run(play_organisations(1, [])) == []


@pytest.mark.parametrize("fault", kinds.FAULTS, ids=lambda fault: fault.__name__)
def test_each_fault_twice(fault: kinds.Fault) -> None:
    assert run(play_organisations(3, [fault, fault])) == []


@pytest.mark.parametrize("seed", range(10))
def test_mixes(seed: int) -> None:
    assert run(play_organisations(100 + seed, fault_mix(seed), advice=seed % 2 == 0)) == []
