"""Seeded mixes of faults on the way to the store and at changes of leader.

``FIRST_BATCH_LOST`` broke promises with leaders that sent a second batch before the first was in
the store. In each of these mixes the store took the second one as the epoch's beginning, so that it
never took the first, which counted as done; callers had 410 for jobs that were accepted.
"""

import random

import pytest

from tests.emulator.loop import run
from tests.emulator.mixes import play, play_organisations, play_store
from tests.emulator.store_faults import STORE_FAULTS, draw
from tests.jobs.running import mix

FIRST_BATCH_LOST = (26, 198, 208, 220, 406, 918)
OF_ALL_KINDS = (31, 73)
"""Mixes of other kinds of faults that broke the same promise, though nobody noticed it later."""
ORDER_TO_A_FORMER_LIFE = 1621
"""A start is tried for the third time just after its VM is known to have ended, and refused."""
FAILS_BY_CHANCE = 5391
"""A task fails by chance on three VMs, as often as it may, and its job is shown as failed."""
CAP_UNKNOWN = 51736
"""A leader that had read no configuration yet started more than its organisations' caps let it."""
PARTS = 3


@pytest.mark.parametrize("part", range(PARTS))
def test_all_faults_of_the_store(part: int) -> None:
    assert run(play_store(part, STORE_FAULTS[part::PARTS])) == []


@pytest.mark.parametrize("seed", (*FIRST_BATCH_LOST, ORDER_TO_A_FORMER_LIFE, FAILS_BY_CHANCE))
def test_mixes_about_the_store(seed: int) -> None:
    assert run(play_store(seed, draw(seed), advice=seed % 3 == 0)) == []


@pytest.mark.parametrize("seed", OF_ALL_KINDS)
def test_mixes_of_all_kinds(seed: int) -> None:
    assert run(play(100 + seed, mix(seed), advice=seed % 2 == 0)) == []


def test_caps_that_a_new_leader_does_not_know() -> None:
    rng = random.Random(CAP_UNKNOWN)
    chosen = [rng.choice(STORE_FAULTS) for _ in range(12)]
    assert run(play_organisations(CAP_UNKNOWN, chosen)) == []
