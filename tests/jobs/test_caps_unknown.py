"""Tests that a new leader assumes no caps before it has read the configuration.

A process that had just restarted became leader while the answers to its reads of the configuration
were late, and it started 69,500 cores of an organisation whose highest cap in force was 60,000.
"""

from sablemount.control.clock import LoopClock
from sablemount.jobs.model import JobSpec, QueueTerms, Shape, StepSpec
from sablemount.jobs.records import JobRecord, Record, encode
from sablemount.jobs.scheduler import JobScheduler
from sablemount.jobs.settings import JobSettings
from tests.emulator.loop import run


async def _places() -> int:
    """Return how many tasks of a loaded job a leader without a configuration may start."""
    spec = JobSpec("payload", (StepSpec(count=2, shape=Shape(cores=1_000), expected_ms=1000.0),))
    job = JobRecord(QueueTerms("work", "pool"), spec, 0.0, 1, "rueda")
    scheduler = JobScheduler(JobSettings(), 2, LoopClock())
    scheduler.load([Record("j/a", encode(job))])
    scheduler.caps.begin_round()
    return scheduler.caps.places(scheduler.state.jobs["a"].steps[(0, 0)])


def test_an_organisations_tasks_wait_until_its_cap_is_known() -> None:
    assert run(_places()) == 0
