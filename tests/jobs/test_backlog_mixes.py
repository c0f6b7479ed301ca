"""Mixes of large jobs and of changing terms, beside faults of the store and changes of leader."""

import pytest

from tests.emulator.backlog_mix import run_backlog_mix, run_terms_mix
from tests.emulator.loop import run
from tests.emulator.store_faults import draw

SEEDS = range(6)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_repetitions_that_fall_due_together_run_once(seed: int) -> None:
    """Leaders opened all of them at once, one leader after the other."""
    assert run(run_backlog_mix(seed, draw(seed), advice=seed % 2 == 0)) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_jobs_are_served_while_their_queue_is_given_advice_and_loses_it(seed: int) -> None:
    """Open jobs went by the terms of their acceptance, and never started."""
    assert run(run_terms_mix(seed, draw(seed), advice=seed % 2 == 0)) == []
