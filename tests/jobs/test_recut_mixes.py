"""Seeded fault mixes in which VMs are cut off soon after they are back under their ids."""

import pytest

from tests.emulator.loop import run
from tests.emulator.mixes import run_recut_mix
from tests.emulator.recut_faults import draw

SEEDS = (*range(5), 6)
RUN_TWICE = (8, 25)


def _play(seed: int) -> list[str]:
    return run(run_recut_mix(seed, draw(seed), advice=seed % 2 == 0))


@pytest.mark.parametrize("seed", SEEDS)
def test_mixes(seed: int) -> None:
    assert _play(seed) == []


@pytest.mark.parametrize("seed", RUN_TWICE)
def test_tasks_do_not_run_twice_under_the_longest_lease_of_a_restarted_vm(seed: int) -> None:
    """The task was started elsewhere while the VM, now cut off, still ran it."""
    assert _play(seed) == []
