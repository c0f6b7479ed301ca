"""Seeded fault mixes in which VMs that run on cannot be reached while their leases run."""

import pytest

from tests.emulator.faults import Fault
from tests.emulator.lease_faults import LEASE_FAULTS, draw
from tests.emulator.loop import run
from tests.emulator.mixes import run_lease_mix

SEEDS = range(12)
STARTED_TWICE = (13, 17, 26, 31)


@pytest.mark.parametrize("fault", LEASE_FAULTS, ids=lambda fault: fault.__name__)
def test_each_fault_twice(fault: Fault) -> None:
    assert run(run_lease_mix(3, [fault, fault], advice=True)) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_mixes(seed: int) -> None:
    assert run(run_lease_mix(seed, draw(seed), advice=seed % 2 == 0)) == []


@pytest.mark.parametrize("seed", STARTED_TWICE)
def test_tasks_of_vms_that_run_on_behind_a_cut_are_not_started_twice(seed: int) -> None:
    """A task ran on two VMs, since one that could not be reached was taken as gone."""
    assert run(run_lease_mix(seed, draw(seed), advice=seed % 2 == 0)) == []
