"""Seeded fault mixes in which members stand still between two steps, beside VMs that are cut off.

The VMs keep their own leases, and report each task that runs on two of them at once.
"""

import pytest

from tests.emulator.faults import Fault
from tests.emulator.loop import run
from tests.emulator.mixes import run_lease_mix
from tests.emulator.step_faults import STEP_FAULTS, draw

SEEDS = range(10)


@pytest.mark.parametrize("fault", STEP_FAULTS, ids=lambda fault: fault.__name__)
def test_each_fault_twice(fault: Fault) -> None:
    assert run(run_lease_mix(3, [fault, fault], advice=True)) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_mixes(seed: int) -> None:
    assert run(run_lease_mix(seed, draw(seed), advice=seed % 2 == 0)) == []
