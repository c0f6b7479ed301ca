"""Log lines are JSON, bounded, and never block."""

import json
import logging
import os

from sablemount.structured_logs import BURST, BoundedHandler, StructuredFormatter


def _logger(handler: logging.Handler) -> logging.Logger:
    logger = logging.Logger("sablemount.test")
    handler.setFormatter(StructuredFormatter())
    logger.addHandler(handler)
    return logger


def test_a_line_carries_its_inputs() -> None:
    reading, writing = os.pipe()
    _logger(BoundedHandler(writing)).info("job accepted", extra={"job": "5c0e", "age": 0.25})
    line = json.loads(os.read(reading, 65_536))
    assert (line["message"], line["job"], line["age"]) == ("job accepted", "5c0e", 0.25)


def test_lines_beyond_the_rate_are_dropped_and_counted() -> None:
    now = [0.0]
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    handler = BoundedHandler(writing, lambda: now[0])
    logger = _logger(handler)
    for _ in range(int(BURST) + 50):
        logger.info("x")
        os.read(reading, 65_536) if handler.dropped == 0 else None
    assert handler.dropped == 50
    now[0] = 1.0
    logger.info("after")
    assert json.loads(os.read(reading, 65_536))["dropped"] == 50


def test_nobody_who_reads_is_waited_for() -> None:
    _, writing = os.pipe()
    os.set_blocking(writing, False)
    handler = BoundedHandler(writing)
    logger = _logger(handler)
    for _ in range(500):
        logger.info("x" * 1_000)
    assert handler.dropped > 0
