"""The cost of organisations: the check of a call's key, and a placement round.

python -m benchmarks.organisations
"""

import time
from collections.abc import Callable

import typer
from tornado import httputil

from benchmarks.job_core import SHAPE, TASKS
from sablemount.control.gate import Gate, key_digest
from sablemount.control.messages import CallerCall, Operation
from sablemount.jobs.model import Configuration, Organisation, Queue, QueueTerms, Shape, StepSpec
from sablemount.platform.front import decode_job, request_key_digest
from tests.jobs.rig import Rig, spec

QUEUES = 43
KEYS = 5
CALLS = 20_000
ROUNDS = 300
VMS = 176
REPEATS = 7
US_PER_SECOND = 1e6
CAP = Shape(2_000_000, 8_000_000)
BODY = b'{"spec":"(text)","steps":[{"count":3,"cpu":5000,"memMb":900,"estMs":640}]}'


def _configuration(organisations: int) -> Configuration:
    queues = tuple(
        Queue("host", f"/q{number}/", QueueTerms(f"q{number}", "pool")) for number in range(QUEUES)
    )
    rows = tuple(
        Organisation(f"o{number}", tuple(key_digest(_key(number, key)) for key in range(KEYS)))
        for number in range(organisations)
    )
    return Configuration(1, queues, keyed=organisations > 0, organisations=rows)


def _key(organisation: int, key: int) -> bytes:
    return f"key-{organisation:06d}-{key}-abcdefgh".encode()


def _us_per_call(work: Callable[[], object], times: int) -> float:
    """Return the microseconds of processor time per call of ``work``."""
    started_at = time.process_time()
    for _ in range(times):
        work()
    return (time.process_time() - started_at) / times * US_PER_SECOND


def admission(organisations: int) -> float:
    """Return the extra microseconds to admit a call with a key, compared with one without keys."""
    headers = httputil.HTTPHeaders({"Authorization": f"Bearer {_key(0, 1).decode()}"})
    call = CallerCall(Operation.SUBMIT, "host", "/q7/5c0e7a21d94b36f8", decode_job(BODY))
    keyed = Gate(_configuration(organisations))
    without_keys = Gate(_configuration(0))
    with_key = _us_per_call(lambda: keyed.admit(call, request_key_digest(headers)), CALLS)
    return with_key - _us_per_call(lambda: without_keys.admit(call, None), CALLS)


def placement(organisations: int) -> float:
    """Return the microseconds to accept and place a job, by turns of each organisation."""
    rows = tuple(Organisation(f"o{number}", cap=CAP) for number in range(organisations))
    rig = Rig(VMS, organisations=rows)
    queue = rig.configuration.queues[0]
    started_at = time.process_time()
    for number in range(ROUNDS):
        owner = f"o{number % organisations}" if organisations else ""
        job = spec(StepSpec(TASKS, SHAPE))
        rig.scheduler.submit(f"j{number}", queue, job, owner)
        rig.commit()
        rig.tick()
    return (time.process_time() - started_at) / ROUNDS * US_PER_SECOND


def _smallest(measure: Callable[[int], float], organisations: int) -> float:
    """Return the smallest of ``REPEATS`` measurements, which other processes disturb least."""
    return min(measure(organisations) for _ in range(REPEATS))


def main() -> None:
    """Print the cost of a key check and of a placement round by number of organisations."""
    for organisations in (20, 1000):
        cost = _smallest(admission, organisations)
        typer.echo(f"{organisations:5d} organisations: {cost:6.2f} us a check")
    placement(0)
    without_organisations = _smallest(placement, 0)
    for organisations in (20, 1000):
        ratio = _smallest(placement, organisations) / without_organisations
        typer.echo(f"{organisations:5d} organisations: a round {ratio:.3f} of that without")


if __name__ == "__main__":
    typer.run(main)
