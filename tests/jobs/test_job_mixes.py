"""Seeded mixes of faults with jobs of the whole job model, which are cancelled at any moment.

Jobs with times that had been cancelled were started at once, with an empty payload, and start
requests were sent again after the end of their job.
"""

import pytest

from tests.emulator.loop import run
from tests.emulator.mixes import run_job_mix
from tests.emulator.store_faults import draw

STARTED_AFTER_THE_END = (0, 1, 3, 7, 10, 15, 21, 25, 33, 45)
SENT_AGAIN_AFTER_THE_END = (56, 59, 77)


@pytest.mark.parametrize("advice", [False, True])
def test_jobs_with_times_without_faults(advice: bool) -> None:
    assert run(run_job_mix(1, [], advice)) == []


@pytest.mark.parametrize("seed", (*STARTED_AFTER_THE_END, *SENT_AGAIN_AFTER_THE_END))
def test_mixes_of_jobs_with_times(seed: int) -> None:
    assert run(run_job_mix(seed, draw(seed), advice=seed % 2 == 0)) == []
