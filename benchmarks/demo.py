"""The demo: a cell on the loopback address that runs the daemon's code, from publication to drain.

Prints a summary, and exits with 1 if an invariant was violated or a step did not complete.
"""

import asyncio
import sys
import time
from collections import Counter

import msgspec
import numpy
from tornado import httpclient

from benchmarks.cellproc import Cell
from benchmarks.documents import RUEDA, YARD, demo_documents
from sablemount.core.documents import TemplateDocument, document_key

__all__ = ["main"]

QUOTES = 1_200
CALLERS = 24
ROUTE_PLANS = 16
TRANSFERS = 8
STEP_LIMIT_S = 60.0


class _Summary:
    """The measurements of the demo."""

    def __init__(self) -> None:
        self.verdicts: Counter[str] = Counter()
        self.latencies: list[float] = []
        self.wrong_answers = 0
        self.packing: list[float] = []
        self.lines: list[str] = []

    def step(self, text: str) -> None:
        """Print a line and append it to the summary."""
        print(text, flush=True)
        self.lines.append(text)


async def _publish(cell: Cell, summary: _Summary) -> None:
    for document in demo_documents():
        body = {"document": document, "expected": 0, "author": "demo"}
        answer = await cell.call(0, "PUT", f"/v1/documents/{document_key(document)}", body)
        assert isinstance(answer, dict)
        assert answer.get("revision") == 1, answer
    summary.step(f"published {len(demo_documents())} documents")


async def _quotes(cell: Cell, summary: _Summary) -> None:
    started = time.monotonic()
    remaining = iter(range(QUOTES))

    async def caller(number: int) -> None:
        client = httpclient.AsyncHTTPClient()
        address = cell.nodes[number % len(cell.nodes)].address
        for index in remaining:
            template = f"{RUEDA}/quote" if index % 3 else f"{YARD}/shelf-lookup"
            body = f"question {index}".encode()
            begun = time.monotonic()
            response = await client.fetch(
                f"http://{address}/v1/requests/{template}",
                method="POST",
                body=body,
                raise_error=False,
            )
            summary.latencies.append(time.monotonic() - begun)
            summary.verdicts[response.headers.get("Sablemount-Verdict", "none")] += 1
            correct = response.body == b"quote for " + body
            summary.wrong_answers += response.code == 200 and not correct

    await asyncio.gather(*(caller(number) for number in range(CALLERS)))
    rate = QUOTES / (time.monotonic() - started)
    summary.step(f"{QUOTES} quotes and lookups answered at {rate:.0f}/s, {CALLERS} callers")


async def _tasks(cell: Cell, summary: _Summary) -> None:
    jobs = [(f"{RUEDA}/route-plan", "plans", ROUTE_PLANS), (f"{YARD}/transfer", "moves", TRANSFERS)]
    for template, job, count in jobs:
        body = {"template": template, "job": job, "count": count}
        answer = await cell.call(1, "POST", "/v1/jobs", body)
        assert isinstance(answer, dict)
        assert answer.get("count") == count, answer
    summary.step(f"{ROUTE_PLANS + TRANSFERS} tasks accepted in the log")


async def _tasks_done(cell: Cell, summary: _Summary) -> None:
    limit = time.monotonic() + STEP_LIMIT_S
    while time.monotonic() < limit:
        rows = []
        for job in ("plans", "moves"):
            rows += await cell.call(2, "GET", f"/v1/tasks?job={job}")  # type: ignore[operator]
        if all(row["verdict"] for row in rows):
            counts = Counter(row["verdict"] for row in rows)
            summary.step(f"tasks ended, read from another scheduler: {dict(counts)}")
            return
        await asyncio.sleep(0.1)
    raise AssertionError("the tasks did not end within the limit")


async def _revise(cell: Cell, summary: _Summary) -> None:
    current = next(d for d in demo_documents() if document_key(d) == f"{RUEDA}/dispatch")
    assert isinstance(current, TemplateDocument)
    revised = msgspec.structs.replace(current, replicas=6)
    body = {"document": revised, "expected": 1, "author": "demo"}
    begun = time.monotonic()
    await cell.call(0, "PUT", f"/v1/documents/{RUEDA}/dispatch", body)
    rival = {"document": current, "expected": 1, "author": "rival"}
    conflict = await cell.call(1, "PUT", f"/v1/documents/{RUEDA}/dispatch", rival)
    assert isinstance(conflict, dict)
    assert conflict["reason"] == "conflict", conflict
    while not all(_revision(node, f"{RUEDA}/dispatch") == 2 for node in cell.nodes):
        await asyncio.sleep(0.005)
    summary.step(f"revision 2 in force everywhere after {time.monotonic() - begun:.2f} s")
    summary.step(f"a racing operator was refused: {conflict['detail']}")


def _revision(node, key: str) -> int:  # type: ignore[no-untyped-def]
    return node.runtime.scheduler.state.ledger.documents[key].revision


async def _drain(cell: Cell, summary: _Summary) -> None:
    target = next(s for s in cell.workers if any(r.shape.cores for r in s.worker.runs.values()))
    vm = target.facts.vm
    begun = time.monotonic()
    await cell.call(2, "POST", f"/v1/vms/{vm}/drain", {"drain": True})
    target.worker.left_at = time.monotonic()
    while any(run.shape.cores for run in target.worker.runs.values()):
        assert time.monotonic() - begun < STEP_LIMIT_S, "the VM was not drained within the limit"
        await asyncio.sleep(0.02)
    summary.step(f"{vm} drained in {time.monotonic() - begun:.2f} s")


def _packing(cell: Cell) -> float:
    used = sum(server.worker.used().cores for server in cell.workers)
    busy = [server for server in cell.workers if server.worker.used().cores]
    return used / sum(server.facts.capacity.cores for server in busy) if busy else 0.0


async def _sample_packing(cell: Cell, summary: _Summary) -> None:
    while True:
        summary.packing.append(_packing(cell))
        await asyncio.sleep(0.1)


def _control_bytes_per_second(cell: Cell, seconds: float) -> float:
    total = sum(node.runtime.meter.total("control_bytes") for node in cell.nodes)
    return total / seconds / len(cell.workers)


async def _run() -> int:
    summary = _Summary()
    cell = Cell(schedulers=3, workers=12)
    await cell.start()
    begun = time.monotonic()
    summary.step("3 schedulers hold 6 shards of 12 workers")
    await _publish(cell, summary)
    await asyncio.sleep(1.0)
    sampler = asyncio.ensure_future(_sample_packing(cell, summary))
    await _tasks(cell, summary)
    await _quotes(cell, summary)
    await _tasks_done(cell, summary)
    await _revise(cell, summary)
    await asyncio.sleep(1.5)
    await _drain(cell, summary)
    sampler.cancel()
    seconds = time.monotonic() - begun
    p50, p99 = numpy.percentile(summary.latencies, [50, 99]) * 1000
    violations = cell.truth.violations + ["a wrong answer"] * summary.wrong_answers
    print(f"\nverdicts                {dict(summary.verdicts)}")
    print(f"latency p50 / p99       {p50:.1f} ms / {p99:.1f} ms")
    peak, mean = max(summary.packing), numpy.mean(summary.packing)
    print(f"packing of VMs in use   {peak:.0%} at the peak, {mean:.0%} on average")
    print(
        f"control traffic         {_control_bytes_per_second(cell, seconds):.0f} bytes/s a worker"
    )
    print(f"violated invariants     {len(violations)}")
    await cell.close()
    for violation in violations[:5]:
        print(f"  {violation}")
    return 1 if violations or summary.verdicts["DONE"] < 1_000 else 0


def main() -> None:
    """Run the demo."""
    sys.exit(asyncio.run(_run()))


if __name__ == "__main__":
    main()
