"""A job without a fault is served beside tasks that crash its VMs, and these tasks are failed."""

import pytest

from tests.emulator.loop import run
from tests.emulator.neighbours import run_neighbour_mix

SEEDS = (15, 25)
WITH_CHANGES_OF_LEADER = (1,)
FAILED_BESIDE_UNKNOWN_SUSPECTS = (107,)
FAILED_AFTER_CHANGES_OF_LEADER = (21, 23)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_job_beside_tasks_that_crash_its_vms_is_served(seed: int) -> None:
    """Four VMs crash under it, each by another neighbour; it was failed permanently for them."""
    assert run(run_neighbour_mix(seed)) == []


@pytest.mark.parametrize("seed", WITH_CHANGES_OF_LEADER)
def test_a_job_beside_tasks_that_crash_its_vms_is_served_by_later_leaders(seed: int) -> None:
    assert run(run_neighbour_mix(seed, kills=True)) == []


@pytest.mark.parametrize("seed", FAILED_BESIDE_UNKNOWN_SUSPECTS)
def test_a_job_whose_neighbours_are_all_at_their_first_crash_is_served(seed: int) -> None:
    assert run(run_neighbour_mix(seed)) == []


@pytest.mark.parametrize("seed", FAILED_AFTER_CHANGES_OF_LEADER)
def test_a_job_beside_tasks_that_crash_its_vms_is_served_after_changes_of_leader(seed: int) -> None:
    assert run(run_neighbour_mix(seed, kills=True)) == []
