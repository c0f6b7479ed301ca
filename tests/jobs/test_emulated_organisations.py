"""Organisations with caps in the emulated system, while caps change and faults occur."""

import pytest

from tests.emulator import faults as kinds
from tests.emulator.loop import run
from tests.emulator.mixes import run_organisation_mix
from tests.jobs.running import fault_mix


def test_calm() -> None:
    assert run(run_organisation_mix(1, [])) == []


@pytest.mark.parametrize("fault", kinds.FAULTS, ids=lambda fault: fault.__name__)
def test_each_fault_twice(fault: kinds.Fault) -> None:
    assert run(run_organisation_mix(3, [fault, fault])) == []


@pytest.mark.parametrize("seed", range(10))
def test_mixes(seed: int) -> None:
    assert run(run_organisation_mix(100 + seed, fault_mix(seed), advice=seed % 2 == 0)) == []
