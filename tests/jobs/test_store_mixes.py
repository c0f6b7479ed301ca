"""Seeded mixes of faults on the way to the store and at changes of leader.

In the mixes of ``FIRST_BATCH_LOST`` leaders sent a second batch before the first one was in the
store. The store took the second one as the start of the epoch and so never took the first, which
counted as done; callers got 410 for accepted jobs.
"""

import random

import pytest

from tests.emulator.loop import run
from tests.emulator.mixes import run_mix, run_organisation_mix, run_store_mix
from tests.emulator.store_faults import STORE_FAULTS, draw
from tests.jobs.running import fault_mix

FIRST_BATCH_LOST = (26, 198, 208, 220, 406, 918)
OF_ALL_KINDS = (31, 73)
"""Mixes of other kinds of faults with the same loss, although nothing noticed it later."""
START_AT_AN_EARLIER_INCARNATION = 1621
"""A start is requested for the third time just after its VM's incarnation is known to have ended,
and is refused."""
FAILS_BY_CHANCE = 5391
"""A task fails by chance on three VMs, its limit, and its job is shown as failed."""
CAP_UNKNOWN = 51736
"""A leader that had not read the configuration yet exceeded the caps of its organisations."""
PARTS = 3


@pytest.mark.parametrize("part", range(PARTS))
def test_all_faults_of_the_store(part: int) -> None:
    assert run(run_store_mix(part, STORE_FAULTS[part::PARTS])) == []


@pytest.mark.parametrize(
    "seed", (*FIRST_BATCH_LOST, START_AT_AN_EARLIER_INCARNATION, FAILS_BY_CHANCE)
)
def test_mixes_about_the_store(seed: int) -> None:
    assert run(run_store_mix(seed, draw(seed), advice=seed % 3 == 0)) == []


@pytest.mark.parametrize("seed", OF_ALL_KINDS)
def test_mixes_of_all_kinds(seed: int) -> None:
    assert run(run_mix(100 + seed, fault_mix(seed), advice=seed % 2 == 0)) == []


def test_caps_that_a_new_leader_does_not_know() -> None:
    rng = random.Random(CAP_UNKNOWN)
    chosen = [rng.choice(STORE_FAULTS) for _ in range(12)]
    assert run(run_organisation_mix(CAP_UNKNOWN, chosen)) == []
