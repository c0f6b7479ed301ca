"""Seeded fault mixes of steps whose spread, label or pool binds, on VMs that are silent and return.

A start beyond any of them is a violation, and so is a job that has not ended.
"""

import pytest

from tests.emulator.loop import run
from tests.emulator.mixes import run_spread_mix
from tests.emulator.spread_faults import draw

SEEDS = range(4)
BEYOND_THE_SPREAD = (105, 108, 118, 157)


@pytest.mark.parametrize("seed", SEEDS)
def test_mixes(seed: int) -> None:
    assert run(run_spread_mix(seed, draw(seed), advice=seed % 2 == 0)) == []


@pytest.mark.parametrize("seed", BEYOND_THE_SPREAD)
def test_tasks_do_not_join_runs_of_their_step_that_are_being_stopped(seed: int) -> None:
    """Runs of tasks that had ended on VMs that were silent did not count towards the spread."""
    assert run(run_spread_mix(seed, draw(seed), advice=seed % 2 == 0)) == []
