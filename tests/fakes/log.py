"""Fake of the platform's log: offsets, retention, outages, lost answers and delayed writes."""

import enum

from sablemount.core.rows import LogEntry


class LogMode(enum.Enum):
    """How the log treats calls.

    ``DOWN`` refuses reads and appends. ``LOSES_ANSWERS`` writes an append without an answer, and
    ``WRITES_LATE`` gives no answer either and delays the write.
    """

    UP = "up"
    DOWN = "down"
    LOSES_ANSWERS = "loses answers"
    WRITES_LATE = "writes late"


class LogUnavailable(Exception):
    # A call was refused and has had no effect.
    pass


class AnswerLost(Exception):
    """An append got no answer; it may have taken effect or may do so later."""


class FakeLog:
    """A log in memory that keeps the last ``retention`` entries."""

    def __init__(self, retention: int = 1_000_000) -> None:
        self.entries: list[LogEntry] = []
        self.head = 0
        self.retention = retention
        self.mode = LogMode.UP
        self.delayed_writes: list[bytes] = []
        self.appends = 0

    @property
    def first(self) -> int:
        return self.entries[0].offset if self.entries else self.head + 1

    def append(self, payload: bytes, now: float) -> int:
        if self.mode is LogMode.DOWN:
            raise LogUnavailable
        self.appends += 1
        if self.mode is LogMode.WRITES_LATE:
            self.delayed_writes.append(payload)
            raise AnswerLost
        offset = self._write(payload, now)
        if self.mode is LogMode.LOSES_ANSWERS:
            raise AnswerLost
        return offset

    def _write(self, payload: bytes, now: float) -> int:
        self.head += 1
        self.entries.append(LogEntry(self.head, now, payload))
        if len(self.entries) > self.retention:
            del self.entries[: len(self.entries) - self.retention]
        return self.head

    def apply_delayed_writes(self, now: float) -> None:
        """Write the appends that were delayed in ``LogMode.WRITES_LATE``."""
        for payload in self.delayed_writes:
            self._write(payload, now)
        self.delayed_writes.clear()

    def read(self, after: int, limit: int = 500) -> tuple[LogEntry, ...]:
        if self.mode is LogMode.DOWN:
            raise LogUnavailable
        start = max(0, after + 1 - self.first)
        return tuple(self.entries[start : start + limit])
