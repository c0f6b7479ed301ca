"""Polls a VM over and over, for as long as this incarnation lasts."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from sablemount.control.turns import MAX_SLOT_S, TimedSemaphore
from sablemount.control.vm_call_context import RETRY_PAUSE_S, VmCallContext
from sablemount.control.vm_room_checks import VmRoomChecks
from sablemount.jobs.vm_row import VmRow

__all__ = ["VmPollLoop"]

MAX_NEW_CONNECTIONS = 64
"""Maximum number of concurrent polls that open a connection: each takes processor time when it is
sent and when its answer arrives, which delays all other work of the process."""
MAX_RETRY_PAUSE_S = 0.6
"""Longest pause between polls of a VM that does not answer."""
NO_AUTHORITY_PAUSE_S = 0.1
"""Interval of checking whether the leader has the authority to send requests again."""

PollOnce: TypeAlias = Callable[[VmRow], Awaitable[bool]]
"""Polls a VM once; returns whether to poll again over the connection without a pause."""


class VmPollLoop:
    """Repeats ``poll`` at each VM."""

    def __init__(self, context: VmCallContext, poll: PollOnce, checks: VmRoomChecks) -> None:
        self._context = context
        self._poll = poll
        self._checks = checks
        self._slots = TimedSemaphore(MAX_NEW_CONNECTIONS, MAX_SLOT_S)

    async def run(self, row: VmRow) -> None:
        """Poll a VM until this incarnation has ended."""
        pause = RETRY_PAUSE_S
        connected = False
        while not row.terminated and self._context.scheduler.state.vms.get(row.name) is row:
            if not self._context.has_authority():
                await asyncio.sleep(NO_AUTHORITY_PAUSE_S)
                continue
            connected = await (self._poll(row) if connected else self._poll_new_connection(row))
            if connected:
                pause = RETRY_PAUSE_S
                await self._checks.polled(row)
                continue
            await asyncio.sleep(pause)
            pause = min(MAX_RETRY_PAUSE_S, pause * 1.5)

    async def _poll_new_connection(self, row: VmRow) -> bool:
        """Poll over a possibly new connection, once a slot is free."""
        async with self._slots.slot():
            return await self._poll(row)
