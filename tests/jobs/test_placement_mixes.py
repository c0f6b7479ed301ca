"""Seeded fault mixes in which spread, label, pool and capacity bind together.

Queues of two priorities are sent from pool to pool while their steps run and wait; machines drain,
shrink and return as another kind or in another pool, beside VMs that are silent and changes of
leader. A start beyond any bound is a violation, and so is a job that has not ended.
"""

import pytest

from tests.emulator.loop import run
from tests.emulator.placement_faults import draw
from tests.emulator.placement_mix import run_placement_mix

SEEDS = (1, 4)
BEYOND_THE_SPREAD = (3,)
MOVED_BESIDE_ADVICE = (0,)


@pytest.mark.parametrize("seed", SEEDS)
def test_mixes(seed: int) -> None:
    assert run(run_placement_mix(seed, draw(seed), advice=seed % 2 == 0)) == []


@pytest.mark.parametrize("seed", BEYOND_THE_SPREAD)
def test_tasks_do_not_join_runs_of_their_step_on_vms_that_return(seed: int) -> None:
    """Runs of tasks that had ended on VMs that were silent did not count towards the spread."""
    assert run(run_placement_mix(seed, draw(seed), advice=seed % 2 == 0)) == []


@pytest.mark.parametrize("seed", MOVED_BESIDE_ADVICE)
def test_steps_of_a_queue_that_moves_start_in_the_next_pool(seed: int) -> None:
    """No advice was requested for the VMs of the pool that a queue was sent to."""
    assert run(run_placement_mix(seed, draw(seed), advice=seed % 2 == 0)) == []
