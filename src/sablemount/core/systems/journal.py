"""Reading and writing the platform's log.

Writing is a group commit: one batch is in flight at a time and carries the queued records, those
of the highest priority first. A batch whose outcome is unknown is appended again, unchanged and
under the same sequence number, until a copy of it is read back; the ledger ignores all further
copies.
"""

import enum
import heapq
from collections.abc import Callable
from typing import TypeAlias, TypeVar

from sablemount.core import records
from sablemount.core.actions import AppendLog, ReadLog
from sablemount.core.events import AppendEnded, AppendStatus, LogRead
from sablemount.core.image import LedgerImage, SnapshotAssembler
from sablemount.core.ledger import Ledger
from sablemount.core.ledger_image import ledger_of
from sablemount.core.records import Batch, Body, Record, SnapshotPart
from sablemount.core.rows import AppliedRecord, LogEntry
from sablemount.core.state import State

__all__ = ["Journal", "Settlement", "SettledCallback"]


class Settlement(enum.Enum):
    """The outcome of a record that this scheduler wrote."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"


SettledCallback: TypeAlias = Callable[[Settlement, str], None]

BodyT = TypeVar("BodyT")

OWNERSHIP = (
    records.Join,
    records.Seen,
    records.Leave,
    records.Evict,
    records.Claim,
    records.Release,
)
CONFIGURATION = (records.Publish, records.Drain, records.Enroll, records.Dismiss)
INTENTS = (records.SpendKey, records.Intent, records.Finish, records.Cancel, records.Move)
ASSUMED_RECORD_BYTES = 600
"""Assumed size of a record that is not a snapshot part."""
NO_DEADLINE = float("inf")


def _priority(body: Body) -> int:
    """Return the rank of a record in the queue; lower ranks are written first."""
    if isinstance(body, OWNERSHIP):
        return 0
    if isinstance(body, CONFIGURATION):
        return 1
    if isinstance(body, INTENTS):
        return 2
    return 4 if isinstance(body, SnapshotPart) else 3


class _PendingRecord:
    """A record that is to be written, or has been sent and is to be read back."""

    __slots__ = ("body", "nonce", "sequence", "settled")

    def __init__(self, nonce: int, body: Body, settled: SettledCallback | None) -> None:
        self.nonce = nonce
        self.body = body
        self.settled = settled
        self.sequence = 0

    @property
    def sent(self) -> bool:
        """Return whether the record may be in the log."""
        return self.sequence > 0


class _InFlight:
    """The batch that is being appended; there is one at most."""

    __slots__ = ("nonces", "payload", "retry_at", "sending", "sequence", "uncertain")

    def __init__(self, sequence: int, payload: bytes, nonces: list[int]) -> None:
        self.sequence = sequence
        self.payload = payload
        self.nonces = nonces
        self.sending = True
        self.uncertain = False
        self.retry_at = 0.0


class Journal:
    """Writes this scheduler's records by group commit, and applies those of all schedulers."""

    def __init__(self, state: State) -> None:
        self._state = state
        self.listeners: list[Callable[[AppliedRecord], None]] = []
        self.reset_listeners: list[Callable[[], None]] = []
        self._pending: dict[int, _PendingRecord] = {}
        # Indexed by type and by deadline, so that no tick has to scan the long queue of an outage.
        self._by_type: dict[type, dict[int, _PendingRecord]] = {}
        self._deadlines: list[tuple[float, int]] = []
        self._queue: list[tuple[int, int]] = []
        self._next_nonce = 1
        self._sequence = 0
        self._in_flight: _InFlight | None = None
        self._next_append = 0.0
        self._reading = False
        self._read_again = False
        self._next_read = 0.0
        self._bootstrapping = True
        self._assembler = SnapshotAssembler()
        self._snapshot: LedgerImage | None = None
        self._buffer: list[LogEntry] = []

    # -- Writing -----------------------------------------------------------------------------

    def write(
        self, body: Body, settled: SettledCallback | None = None, deadline: float = NO_DEADLINE
    ) -> bool:
        """Queue a record; return ``False`` without queuing it if the queue is full."""
        if len(self._pending) >= self._state.settings.journal_limit:
            return False
        nonce = self._next_nonce
        self._next_nonce += 1
        item = _PendingRecord(nonce, body, settled)
        self._pending[nonce] = item
        self._by_type.setdefault(type(body), {})[nonce] = item
        if deadline != NO_DEADLINE:
            heapq.heappush(self._deadlines, (deadline, nonce))
        heapq.heappush(self._queue, (_priority(body), nonce))
        return True

    def unsettled(self, kind: type[BodyT]) -> list[BodyT]:
        """Return the records of a type that are queued or whose effect is not known yet."""
        return [item.body for item in self._by_type.get(kind, {}).values()]  # type: ignore[misc]

    def withdraw(self, kind: type[BodyT], chosen: Callable[[BodyT], bool]) -> None:
        """Withdraw the chosen unsent records of a type; sent ones may still take effect."""
        for nonce, item in list(self._by_type.get(kind, {}).items()):
            if not item.sent and chosen(item.body):  # type: ignore[arg-type]
                self._remove(nonce)
                self._settle(item, Settlement.NOT_WRITTEN)

    def _remove(self, nonce: int) -> _PendingRecord | None:
        item = self._pending.pop(nonce, None)
        if item is not None:
            del self._by_type[type(item.body)][nonce]
        return item

    def abandon_all(self) -> None:
        """Abandon all records: those of a previous incarnation are no longer valid."""
        pending = list(self._pending.values())
        self._pending.clear()
        self._by_type.clear()
        self._deadlines.clear()
        self._queue.clear()
        # The sequence is not reset: it alone tells a late answer from the answer to a later append.
        self._in_flight = None
        for item in pending:
            self._settle(item, Settlement.UNKNOWN if item.sent else Settlement.NOT_WRITTEN)

    @property
    def idle(self) -> bool:
        """Return whether no record is to be written or read back."""
        return not self._pending and self._in_flight is None

    @property
    def healthy(self) -> bool:
        """Return whether a recent read has reached the end of the log."""
        age = self._state.now - self._state.last_caught_up_at
        return age < 2 * self._state.settings.read_interval + self._state.settings.read_timeout

    def append_ended(self, event: AppendEnded) -> None:
        """Handle the outcome of an append."""
        batch = self._in_flight
        if batch is None or batch.sequence != event.sequence:
            return
        batch.sending = False
        batch.retry_at = self._state.now + 4 * self._state.settings.append_interval
        self._state.meter.count("log_appends", event.status.value)
        if event.status is AppendStatus.WRITTEN:
            self._in_flight = None
            self._next_read = 0.0
            self._read_again = self._reading
        elif event.status is AppendStatus.UNKNOWN:
            batch.uncertain = True
        elif not batch.uncertain:
            self._requeue(batch)

    def _requeue(self, batch: _InFlight) -> None:
        """Requeue the records of a batch that is certainly not in the log; free its sequence."""
        self._in_flight = None
        self._sequence -= 1
        self._next_append = batch.retry_at
        for nonce in batch.nonces:
            item = self._pending.get(nonce)
            if item is not None:
                item.sequence = 0
                heapq.heappush(self._queue, (_priority(item.body), nonce))

    def _expire(self) -> None:
        while self._deadlines and self._deadlines[0][0] <= self._state.now:
            _, nonce = heapq.heappop(self._deadlines)
            item = self._pending.get(nonce)
            if item is None:
                continue
            if item.sent:
                # It may still take effect, so it is kept until it is read back.
                self._settle(item, Settlement.UNKNOWN)
                item.settled = None
            else:
                self._remove(nonce)
                self._settle(item, Settlement.NOT_WRITTEN)

    def _settle(self, item: _PendingRecord, settlement: Settlement, error: str = "") -> None:
        if item.settled is not None:
            item.settled(settlement, error)

    def _append(self) -> None:
        now = self._state.now
        batch = self._in_flight
        if batch is not None:
            if not batch.sending and now >= batch.retry_at:
                batch.sending = True
                self._state.emit(AppendLog(batch.sequence, batch.payload))
            return
        if now < self._next_append or self._bootstrapping:
            return
        selected = self._next_records()
        if not selected:
            return
        self._sequence += 1
        body = Batch(self._state.writer, self._sequence, self._state.ledger.offset, tuple(selected))
        payload = records.encode_batch(body)
        self._in_flight = _InFlight(self._sequence, payload, [item.nonce for item in selected])
        self._next_append = now + self._append_interval()
        self._state.meter.count("log_bytes", "", len(payload))
        self._state.emit(AppendLog(self._sequence, payload))

    def _append_interval(self) -> float:
        """Return the interval between appends at which all members together stay in budget."""
        settings = self._state.settings
        fair_interval = len(self._state.ledger.members) / settings.append_budget
        return max(settings.append_interval, fair_interval)

    def _next_records(self) -> list[Record]:
        settings = self._state.settings
        selected: list[Record] = []
        size = 0
        while self._queue and len(selected) < settings.append_records:
            _, nonce = self._queue[0]
            item = self._pending.get(nonce)
            if item is not None:
                body = item.body
                size += (
                    len(body.payload) if isinstance(body, SnapshotPart) else ASSUMED_RECORD_BYTES
                )
                if selected and size > settings.append_bytes:
                    break
                item.sequence = self._sequence + 1
                selected.append(Record(nonce, body))
            heapq.heappop(self._queue)
        return selected

    # -- Reading -----------------------------------------------------------------------------

    def run(self) -> None:
        """Expire records, append and read, each when it is due."""
        self._expire()
        self._append()
        if not self._reading and self._state.now >= self._next_read:
            self._reading = True
            self._read_again = False
            self._next_read = self._state.now + self._state.settings.read_interval
            self._state.emit(ReadLog(self._read_offset()))

    def _read_offset(self) -> int:
        if self._bootstrapping and self._buffer:
            return self._buffer[-1].offset
        return self._state.ledger.offset

    def read_failed(self) -> None:
        """Handle a read that failed or timed out."""
        self._reading = False
        self._state.meter.count("log_reads", "failed")

    def read_ended(self, event: LogRead) -> None:
        """Apply the entries that a read returned."""
        self._reading = False
        if self._read_again:
            self._next_read = 0.0
        if event.first > self._state.ledger.offset + 1 and not self._bootstrapping:
            self._restart()
            return
        if self._bootstrapping:
            self._bootstrap(event)
        else:
            for entry in event.entries:
                self._apply(entry)
        self._update_head(event)

    def _update_head(self, event: LogRead) -> None:
        if self._bootstrapping or self._state.ledger.offset < event.head:
            self._next_read = 0.0
            return
        self._state.last_caught_up_at = max(self._state.last_caught_up_at, event.sent_at)
        self._state.ready = True

    def _apply(self, entry: LogEntry) -> None:
        for applied in self._state.ledger.apply(entry):
            if applied.writer == self._state.writer:
                self._settle_own(applied)
            for listener in self.listeners:
                listener(applied)

    def _settle_own(self, applied: AppliedRecord) -> None:
        batch = self._in_flight
        nonce = applied.record.nonce
        if batch is not None and nonce in batch.nonces:
            self._in_flight = None
        item = self._remove(nonce)
        if item is not None:
            settlement = Settlement.ACCEPTED if applied.accepted else Settlement.REJECTED
            self._settle(item, settlement, applied.error)

    # -- Bootstrap ---------------------------------------------------------------------------

    def _restart(self) -> None:
        """Bootstrap again from a snapshot: the log no longer holds the next entry."""
        self._bootstrapping = True
        self._state.meter.count("log_restarts")

    def _bootstrap(self, event: LogRead) -> None:
        for entry in event.entries:
            self._buffer.append(entry)
            self._collect_snapshot(entry)
        if self._read_offset() < event.head:
            return
        installed = self._state.ledger
        if self._snapshot is not None and self._snapshot.offset > installed.offset:
            self._install(ledger_of(self._snapshot))
        if event.first <= self._state.ledger.offset + 1:
            self._finish_bootstrap()
        else:
            self._buffer = []

    def _collect_snapshot(self, entry: LogEntry) -> None:
        batch = records.decode_batch(entry.payload)
        for record in batch.records if batch else ():
            if isinstance(record.body, SnapshotPart):
                assert batch is not None
                image = self._assembler.add(batch.writer, record.body)
                if image is not None:
                    self._snapshot = image

    def _finish_bootstrap(self) -> None:
        buffered = self._buffer
        self._buffer = []
        self._snapshot = None
        self._assembler = SnapshotAssembler()
        self._bootstrapping = False
        for entry in buffered:
            self._apply(entry)

    def adopt(self, image: LedgerImage) -> bool:
        """Install a peer's ledger if its offset is higher; return whether it was installed."""
        if image.offset <= self._state.ledger.offset:
            return False
        self._install(ledger_of(image))
        self._state.ready = True
        return True

    def _install(self, ledger: Ledger) -> None:
        self._state.ledger = ledger
        self._state.meter.count("ledger_installs")
        self._settle_covered()
        for listener in self.reset_listeners:
            listener()

    def _settle_covered(self) -> None:
        """Settle as unknown the records that the installed ledger already covers."""
        name = self._state.writer.name
        if self._state.ledger.members.get(name) != self._state.writer:
            return
        applied_sequence = self._state.ledger.sequences.get(name, 0)
        if self._in_flight is not None and self._in_flight.sequence <= applied_sequence:
            self._in_flight = None
        for item in list(self._pending.values()):
            if 0 < item.sequence <= applied_sequence:
                self._remove(item.nonce)
                self._settle(item, Settlement.UNKNOWN)
