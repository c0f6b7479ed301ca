"""Background tasks are referenced until they are done, and their errors are reported."""

import asyncio
import logging

import pytest

from sablemount.control.background import Background, error_logger
from tests.emulator.loop import run


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
