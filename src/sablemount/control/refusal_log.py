"""A log of refusals that a crowd of clients cannot flood."""

import logging
from collections import Counter

from sablemount.control.clock import monotonic

__all__ = ["RefusalLog"]

LINE_INTERVAL_S = 1.0
"""Seconds between two lines with the same reason."""


class RefusalLog:
    """Logs at most one line a second for each reason, with the refusals since the last one."""

    def __init__(self, logger: logging.Logger, message: str) -> None:
        self._logger = logger
        self._message = message
        self._counts: Counter[str] = Counter()
        self._logged_at: dict[str, float] = {}

    def add(self, reason: str, **fields: object) -> None:
        """Record one refusal; the line has the fields of the last one."""
        self._counts[reason] += 1
        now = monotonic()
        if now - self._logged_at.get(reason, -LINE_INTERVAL_S) < LINE_INTERVAL_S:
            return
        self._logged_at[reason] = now
        count = self._counts.pop(reason)
        self._logger.info(self._message, extra={"why": reason, "count": count, **fields})
