"""A caller's queue is found among thousands without examining each of them."""

import random
from typing import Any

from sablemount.control.gate import Gate
from sablemount.control.messages import CallerCall, Operation
from sablemount.jobs.model import Configuration, Queue, QueueTerms

HOST = "h"
QUEUES = 5_000


class _Path(str):
    """A path that counts how often it is examined."""

    accesses = 0

    def startswith(self, *args: Any) -> bool:
        type(self).accesses += 1
        return super().startswith(*args)

    def __getitem__(self, index: Any) -> str:
        type(self).accesses += 1
        return super().__getitem__(index)


def _queue(host: str, prefix: str, number: int = 0) -> Queue:
    return Queue(host, prefix, QueueTerms(f"q{number}", "pool"), public=True)


def test_a_queue_is_found_with_a_few_looks_at_the_path() -> None:
    queues = tuple(_queue(HOST, f"/q{number:05d}/", number) for number in range(QUEUES))
    gate = Gate(Configuration(1, queues))
    admitted = gate.admit(CallerCall(Operation.STATE, HOST, _Path("/q04999/job")), None)
    assert isinstance(admitted, CallerCall)
    assert 0 < _Path.accesses < 10


def test_the_longest_prefix_at_the_host_is_taken() -> None:
    rng = random.Random(1)
    parts = ("", "a", "b", "ab", "a/", "b/a")
    queues = tuple(
        _queue(rng.choice("xy"), "/" + rng.choice(parts) + rng.choice(parts), number)
        for number in range(40)
    )
    gate = Gate(Configuration(1, queues))
    for _ in range(500):
        host = rng.choice("xyz")
        path = "/" + "".join(rng.choice("ab/") for _ in range(rng.randrange(6)))
        matching = [
            queue for queue in queues if queue.host == host and path.startswith(queue.prefix)
        ]
        longest = max(matching, key=lambda queue: len(queue.prefix), default=None)
        found = gate.queue(CallerCall(Operation.STATE, host, path))
        assert found is longest
