"""Log lines are JSON, bounded in size and rate, and never block."""

import contextlib
import json
import logging
import os
from typing import Any

import pytest

from sablemount.jobs.job_lines import log_job_end, log_placement
from sablemount.jobs.model import JobSpec, QueueTerms, Shape, StepSpec, VmInfo
from sablemount.jobs.records import JobRecord
from sablemount.jobs.run_row import RunCompletion
from sablemount.jobs.tables import JobRow, StepRow
from sablemount.jobs.vm_row import VmRow
from sablemount.structured_logs import (
    DECISION_BURST_BYTES,
    RUN_BURST_BYTES,
    RUN_LOGGER,
    BoundedHandler,
    StructuredFormatter,
)


def _logger(handler: logging.Handler, name: str = "sablemount.test") -> logging.Logger:
    logger = logging.Logger(name)
    handler.setFormatter(StructuredFormatter())
    logger.addHandler(handler)
    return logger


def test_a_line_carries_its_inputs() -> None:
    reading, writing = os.pipe()
    _logger(BoundedHandler(writing)).info("job accepted", extra={"job": "5c0e", "age": 0.25})
    line = json.loads(os.read(reading, 65_536))
    assert (line["message"], line["job"], line["age"]) == ("job accepted", "5c0e", 0.25)


def _pipe() -> tuple[int, int]:
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    os.set_blocking(reading, False)
    return reading, writing


class _LineReader:
    """Reads complete lines; a partial line is kept until the rest has arrived."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._rest = b""

    def lines(self) -> list[dict[str, Any]]:
        with contextlib.suppress(BlockingIOError):
            while chunk := os.read(self._descriptor, 65_536):
                self._rest += chunk
        *complete, self._rest = self._rest.split(b"\n")
        return [json.loads(line) for line in complete]


@pytest.mark.parametrize(
    ("name", "burst", "field"),
    [
        ("sablemount.jobs", DECISION_BURST_BYTES, "dropped_decisions"),
        (RUN_LOGGER, RUN_BURST_BYTES, "dropped_runs"),
    ],
)
def test_lines_beyond_a_budget_are_dropped_and_counted(name: str, burst: float, field: str) -> None:
    now = [0.0]
    reading, writing = _pipe()
    handler = BoundedHandler(writing, lambda: now[0])
    logger = _logger(handler, name)
    payload = "x" * 10_000
    written = 0
    for _ in range(int(burst / 10_000) + 50):
        logger.info(payload)
        written += sum(len(line["message"]) for line in _LineReader(reading).lines())
    budget = handler.run_budget if name == RUN_LOGGER else handler.decision_budget
    assert 45 <= budget.dropped <= 60
    assert written <= burst + 20_000
    now[0] = 1.0
    logger.info("after")
    (line,) = _LineReader(reading).lines()
    assert line[field] == budget.dropped


def test_logging_does_not_wait_for_a_reader() -> None:
    _, writing = _pipe()
    handler = BoundedHandler(writing, lambda: 0.0)
    for name in ("sablemount.jobs", RUN_LOGGER):
        logger = _logger(handler, name)
        for _ in range(2_000):
            logger.info("x" * 1_000)
    assert handler.decision_budget.dropped > 0
    assert handler.run_budget.dropped == 2_000


def test_decision_lines_wait_for_a_reader_complete_and_in_order() -> None:
    reading, writing = _pipe()
    logger = _logger(BoundedHandler(writing, lambda: 0.0))
    for number in range(300):
        logger.info("x" * 1_000, extra={"number": number})
    lines = []
    reader = _LineReader(reading)
    while found := reader.lines():
        lines += found
        logger.info("flushed", extra={"number": -1})
    assert [line["number"] for line in lines if line["number"] >= 0] == list(range(300))


SECONDS = 30
JOBS = 40
STARTS = 400


def test_no_line_of_a_request_is_lost_at_40_jobs_and_400_starts_a_second() -> None:
    now = [0.0]
    reading, writing = _pipe()
    handler = BoundedHandler(writing, lambda: now[0])
    requests, runs = _logger(handler, "sablemount.jobs"), _logger(handler, RUN_LOGGER)
    lines: list[dict[str, Any]] = []
    size = 0
    for number in range(SECONDS * JOBS):
        now[0] = number / JOBS
        for index in range(STARTS // JOBS):
            for message in ("run ended", "stop", "run found"):
                runs.info(message, extra={"task": f"{number:016x}.0.0.{index}", "vm": "w" * 12})
        _log_one_job(requests, f"{number:016x}", STARTS // JOBS, now[0])
        found = _LineReader(reading).lines()
        size += sum(len(json.dumps(line)) for line in found)
        lines += found
    for message in ("step placed", "job ended"):
        assert sum(1 for line in lines if line["message"] == message) == SECONDS * JOBS
    assert handler.decision_budget.dropped == 0
    assert handler.run_budget.dropped > 0
    assert size / SECONDS < 200_000


def _log_one_job(
    logger: logging.Logger,
    name: str,
    tasks: int,
    now: float,
    vm_name: str = "w" * 12,
    began_after: float = 0.0,
) -> None:
    """Log the lines of a job's placement and end."""
    step = StepSpec(tasks, Shape(4_000, 10_000), expected_ms=1000.0)
    record = JobRecord(QueueTerms("queue", "pool"), JobSpec("", (step,)), 0.0, 1)
    job = JobRow(name, record, now)
    row = StepRow(job, 0, 0, step, "payload")
    vm = VmRow(VmInfo(vm_name, "address", "pool", Shape(16_000, 64_000)))
    log_placement(logger, row, [(task, vm) for task in row.tasks], now)
    began = now + began_after
    job.run_completions = [
        RunCompletion(task.key, 1, vm.name, began, began + 1.0, "done") for task in row.tasks
    ]
    log_job_end(logger, job, now + 1.0, 0.0)


def test_no_line_of_a_wide_job_is_longer_than_readers_take() -> None:
    reading, writing = _pipe()
    logger = _logger(BoundedHandler(writing, lambda: 0.0))
    _log_one_job(logger, "f" * 16, 300, 0.0)
    lines = _LineReader(reading).lines()
    assert max(len(json.dumps(line)) for line in lines) < 4_096
    for message, parts in (("step placed", 5), ("job runs", 4), ("job ended", 1)):
        assert [line["message"] for line in lines].count(message) == parts
    ended = [line["runs"] for line in lines if line["message"] in ("job runs", "job ended")]
    assert sum(len(rows) for rows in ended) == 300


def test_no_line_with_names_of_incarnations_is_too_long() -> None:
    """Names of incarnations include the time of their start, so that they are twice as long."""
    reading, writing = _pipe()
    logger = _logger(BoundedHandler(writing, lambda: 0.0))
    _log_one_job(logger, "f" * 16, 300, 0.0, "w" * 12 + "/1789070305840", 123.456)
    lines = _LineReader(reading).lines()
    assert max(len(json.dumps(line)) for line in lines) < 4_096
    ended = [line["runs"] for line in lines if line["message"] in ("job runs", "job ended")]
    assert sum(len(rows) for rows in ended) == 300
