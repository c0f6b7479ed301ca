"""Background tasks are referenced until they are done, and their errors are reported."""

import asyncio
import logging
from itertools import pairwise

import pytest

from sablemount.control.background import (
    MAX_RESTART_PAUSE_S,
    RESTART_PAUSE_S,
    Background,
    error_logger,
)
from tests.emulator.loop import run

ERRORS = 8
"""Errors in a row: enough that the pause between two starts has reached its maximum."""
RUN_S = 1.5 * MAX_RESTART_PAUSE_S
"""Seconds that a task runs before it fails."""


async def _fail(error: Exception) -> None:
    raise error


def test_an_error_is_logged() -> None:
    records: list[logging.LogRecord] = []
    logger = logging.Logger("any")
    handler = logging.Handler()
    handler.emit = records.append  # type: ignore[method-assign]
    logger.addHandler(handler)
    error = ValueError("wrong")

    async def scenario() -> None:
        Background(error_logger(logger)).spawn(_fail(error))
        await asyncio.sleep(0.01)

    run(scenario())
    (record,) = records
    assert record.levelno == logging.ERROR
    assert record.exc_info is not None
    assert record.exc_info[1] is error


@pytest.mark.parametrize("elsewhere", [False, True])
def test_what_goes_on_is_cancelled_in_order_and_that_is_no_error(elsewhere: bool) -> None:
    errors: list[BaseException] = []
    cancelled: list[int] = []

    async def wait_long(number: int) -> None:
        try:
            await asyncio.sleep(60.0)
        finally:
            cancelled.append(number)

    async def scenario() -> None:
        background = Background(errors.append)
        for number in range(5):
            if elsewhere:
                background.track(asyncio.create_task(wait_long(number)))
            else:
                background.spawn(wait_long(number))
        await asyncio.sleep(1.0)
        assert cancelled == []
        background.close()
        await asyncio.sleep(0.01)
        assert cancelled == [0, 1, 2, 3, 4]

    run(scenario())
    assert errors == []


@pytest.mark.parametrize("error", [ValueError("wrong"), asyncio.CancelledError()])
def test_what_is_kept_runs_again_after_each_error_until_cancelled(error: BaseException) -> None:
    errors: list[BaseException] = []
    starts: list[float] = []

    async def fail_often() -> None:
        starts.append(asyncio.get_running_loop().time())
        if len(starts) <= ERRORS:
            raise error
        await asyncio.sleep(600.0)

    async def scenario() -> None:
        background = Background(errors.append)
        task = background.keep(fail_often)
        await asyncio.sleep(ERRORS * MAX_RESTART_PAUSE_S)
        assert len(starts) == ERRORS + 1
        background.close()
        await asyncio.sleep(2 * MAX_RESTART_PAUSE_S)
        assert task.cancelled()

    run(scenario())
    assert errors == [error] * ERRORS
    assert len(starts) == ERRORS + 1
    pauses = [later - sooner for sooner, later in pairwise(starts)]
    assert pauses[0] == pytest.approx(RESTART_PAUSE_S)
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(MAX_RESTART_PAUSE_S)


def test_what_is_kept_is_started_again_soon_if_it_has_run_for_long() -> None:
    starts: list[float] = []

    async def fail_at_last() -> None:
        starts.append(asyncio.get_running_loop().time())
        await asyncio.sleep(RUN_S)
        raise ValueError("wrong")

    async def scenario() -> None:
        background = Background(lambda error: None)
        background.keep(fail_at_last)
        await asyncio.sleep(ERRORS * (RUN_S + RESTART_PAUSE_S))
        background.close()

    run(scenario())
    assert all(
        later - sooner == pytest.approx(RUN_S + RESTART_PAUSE_S)
        for sooner, later in pairwise(starts)
    )


def test_what_is_kept_and_ends_by_itself_is_not_started_again() -> None:
    starts: list[float] = []

    async def end() -> None:
        starts.append(asyncio.get_running_loop().time())

    async def scenario() -> None:
        background = Background(lambda error: None)
        await background.keep(end)

    run(scenario())
    assert len(starts) == 1
