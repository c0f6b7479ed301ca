"""Calls that are made again while the first has no answer, so that an outage's end is seen soon."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from sablemount.control.progress import Progress

__all__ = ["hedged"]

T = TypeVar("T")


async def hedged(
    attempt: Callable[[], Awaitable[T | None]],
    interval: float,
    limit: float,
    progress: Progress | None = None,
    longest: float = float("inf"),
) -> T | None:
    """Return the first answer, or ``None`` if all attempts failed or the limit is over.

    A further attempt is begun every ``interval`` seconds up to ``limit``; ``None`` is an attempt's
    failure, and once all have failed none is begun any more: what is refused at once would be
    again. Nor is one begun sooner because another has failed beside one that is under way.

    ``progress`` tells what has arrived of the attempts' answers. While something arrives no other
    attempt is begun, since copies of a long answer would share the link with it, and the limit
    counts from then, up to ``longest`` seconds in all.
    """
    loop = asyncio.get_running_loop()
    progress = progress or Progress()
    began = next_at = loop.time()
    pending: set[asyncio.Future[Any]] = set()
    try:
        while loop.time() < min(max(began, progress.at) + limit, began + longest):
            next_at = max(next_at, progress.at + interval)
            if not pending or loop.time() >= next_at:
                pending.add(asyncio.ensure_future(attempt()))
                next_at = loop.time() + interval
            ended, pending = await asyncio.wait(
                pending, timeout=next_at - loop.time(), return_when=asyncio.FIRST_COMPLETED
            )
            answers = [call.result() for call in ended if call.result() is not None]
            if answers:
                return answers[0]  # type: ignore[no-any-return]
            if not pending:
                return None
        return None
    finally:
        for call in pending:
            call.cancel()
