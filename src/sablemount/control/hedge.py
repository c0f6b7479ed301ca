"""Hedged calls: further attempts are made while the first is unanswered.

The end of an outage is thus noticed soon.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from sablemount.control.progress import TransferProgress

__all__ = ["hedged"]

T = TypeVar("T")


async def hedged(
    attempt: Callable[[], Awaitable[T | None]],
    interval: float,
    limit: float,
    progress: TransferProgress | None = None,
    max_seconds: float = float("inf"),
) -> T | None:
    """Return the first answer, or ``None`` if all attempts failed or the time limit has passed.

    A further attempt is started every ``interval`` seconds for up to ``limit`` seconds. An attempt
    returns ``None`` if it fails. Once all attempts have failed, no other is started, since a call
    that is refused at once would be refused again. Nor does a failed attempt cause another one to
    start early while one is in flight.

    ``progress`` shows what has arrived of the attempts' answers. While data arrive, no other
    attempt is started, since a second copy of a long answer would share the link with the first.
    The limit then counts from the latest arrival, up to ``max_seconds`` seconds in total.
    """
    loop = asyncio.get_running_loop()
    progress = progress or TransferProgress()
    started_at = next_at = loop.time()
    pending: set[asyncio.Future[Any]] = set()
    try:
        while loop.time() < min(max(started_at, progress.at) + limit, started_at + max_seconds):
            next_at = max(next_at, progress.at + interval)
            if not pending or loop.time() >= next_at:
                pending.add(asyncio.ensure_future(attempt()))
                next_at = loop.time() + interval
            completed, pending = await asyncio.wait(
                pending, timeout=next_at - loop.time(), return_when=asyncio.FIRST_COMPLETED
            )
            answers = [call.result() for call in completed if call.result() is not None]
            if answers:
                return answers[0]  # type: ignore[no-any-return]
            if not pending:
                return None
        return None
    finally:
        for call in pending:
            call.cancel()
