"""What must hold at each step between leaders and the store, and what of it was broken.

The late effects of a broken promise (a task that runs twice, a job that is gone) need a later
leader and some luck; a promise that the store does not bear out is seen here as it is made.
"""

import random

import msgspec

from sablemount.control.store import AppendResult, Producer, Topic
from sablemount.jobs.actions import CompletionReport
from sablemount.jobs.records import (
    JOB_PREFIX,
    PROGRESS_PREFIX,
    VM_PREFIX,
    Progress,
    Record,
    decode_progress,
)
from sablemount.jobs.tables import JobState
from tests.emulator.store import StoreState

__all__ = ["Watch", "WatchedState"]


class Watch:
    """Compares what leaders take for done, and tell others, with what the store has taken.

    Each violation names what is wrong, the epoch and, if there is one, the sequence number.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.newest: dict[str, bytes] = {}
        """The newest value of each key of the jobs' topic."""
        self._epoch = -1
        self._claimed = -1
        self._begun: dict[int, dict[str, bytes]] = {}
        """The newest values when an epoch was set; nobody writes under an earlier one from then."""
        self._taken: dict[int, dict[int, list[Record]]] = {}
        """What the store has appended, by epoch and sequence number."""
        self._batches: set[tuple[int, tuple[Record, ...]]] = set()
        self._ended: set[str] = set()
        """Jobs whose end has been in the store, though its record may be dropped by now."""

    # -- What the store does -------------------------------------------------------------------

    def began(self, epoch: int) -> None:
        """Take that the store has seen a new epoch."""
        self._epoch = epoch
        self._begun[epoch] = dict(self.newest)
        self._taken[epoch] = {}

    def took(self, epoch: int, sequence: int, records: list[Record]) -> None:
        """Take that the store has appended a batch."""
        taken = self._taken[epoch]
        if sequence != len(taken):
            self._wrong(f"the store wanted batch {len(taken)} next", epoch, sequence)
        taken[sequence] = list(records)
        self._batches.add((epoch, tuple(records)))
        for record in records:
            self._take(record)

    def _take(self, record: Record) -> None:
        if not record.value:
            self.newest.pop(record.key, None)
            return
        self.newest[record.key] = record.value
        if record.key.startswith(PROGRESS_PREFIX):
            progress = decode_progress(record.value)
            if JobState(progress.state).final:
                self._ended.add(record.key.removeprefix(PROGRESS_PREFIX))

    def claimed(self, epoch: int) -> None:
        """Take that the store has a claim."""
        if epoch <= self._claimed:
            self._wrong(f"claimed after epoch {self._claimed}", epoch)
        self._claimed = max(self._claimed, epoch)

    # -- What leaders make of it ---------------------------------------------------------------

    def appended(self, epoch: int, sequence: int, records: list[Record]) -> None:
        """Check a batch whose append has returned: it and all before it are in the store."""
        taken = self._taken.get(epoch, {})
        if taken.get(sequence) != records:
            keys = [record.key for record in records[:3]]
            self._wrong(f"appended, but not in the store: {keys}", epoch, sequence)
        missing = [number for number in range(sequence) if number not in taken]
        if missing:
            self._wrong(f"appended before batches {missing[:3]}", epoch, sequence)

    def durable(self, epoch: int, records: list[Record]) -> None:
        """Check a batch that the journal takes for durable."""
        if records and (epoch, tuple(records)) not in self._batches:
            keys = [record.key for record in records[:3]]
            self._wrong(f"counted as durable, but not in the store: {keys}", epoch)

    def loaded(self, epoch: int, records: list[Record]) -> None:
        """Check what a leader has loaded against the records when its epoch was set.

        While it leads nobody else writes. Once a later epoch is set it can promise nothing more,
        and what it loads may have some of the later leader's records.
        """
        expected = self._begun.get(epoch)
        if expected is None:
            self._wrong("loaded before the epoch was set", epoch)
        elif self._epoch == epoch:
            self._compare(epoch, records, expected)

    def _compare(self, epoch: int, records: list[Record], expected: dict[str, bytes]) -> None:
        found = {record.key: record.value for record in records}
        wrong = sorted(
            key for key in found.keys() | expected.keys() if found.get(key) != expected.get(key)
        )
        if wrong:
            self._wrong(f"loaded other records than the store's: {wrong[:3]}", epoch)
        if len(found) < len(records):
            self._wrong("loaded two records of one key", epoch)

    def acknowledged(self, epoch: int, vm: str, end: CompletionReport) -> None:
        """Check an end that a VM is told to forget: the stored progress of its job covers it."""
        if not self._covers(end):
            what = f"end {end.number} of {vm} acknowledged, but not in the store: {end.task}"
            self._wrong(f"{what}, run {end.run}, {end.outcome}", epoch)

    def _covers(self, end: CompletionReport) -> bool:
        """Tell whether the store holds an end, or what makes it void; others change no record."""
        job, repetition, step, index = end.task.split(".")
        if end.outcome not in ("done", "failed") or job in self._ended:
            return True
        value = self.newest.get(PROGRESS_PREFIX + job)
        progress = Progress(0) if value is None else decode_progress(value)
        noted = progress.steps.get(f"{repetition}.{step}")
        if noted is None:
            return False
        done = int(noted.done or "0", 16) >> int(index) & 1
        failed = end.run in noted.failures.get(int(index), ())
        return bool(done) or (end.outcome == "failed" and failed)

    def ordered(self, epoch: int, vm: str, task: str, up: bool = True) -> None:
        """Check an order to start a task: the store holds its job, and that the VM is in use.

        Nothing can start at a life that has ended, of which an order that is tried again may not
        have heard.
        """
        job = task.partition(".")[0]
        if JOB_PREFIX + job not in self.newest and job not in self._ended:
            self._wrong(f"ordered, but its job is not in the store: {task}", epoch)
        if up and VM_PREFIX + vm not in self.newest:
            self._wrong(f"ordered on {vm}, whose use is not in the store: {task}", epoch)

    def accepted(self, epoch: int, name: str) -> None:
        """Check that a job whose caller is told that it is accepted is in the store."""
        if JOB_PREFIX + name not in self.newest and name not in self._ended:
            self._wrong(f"told as accepted, but not in the store: {name}", epoch)

    def shown(self, epoch: int, name: str, state: str) -> None:
        """Check that an end of which a caller is told is in the store."""
        if JobState[state.upper()].final and name not in self._ended:
            self._wrong(f"shown as {state}, but not in the store: {name}", epoch)

    def _wrong(self, what: str, epoch: int, sequence: int | None = None) -> None:
        where = f"epoch {epoch}" if sequence is None else f"epoch {epoch}, sequence {sequence}"
        self.violations.append(f"{where}: {what}")


class WatchedState(StoreState):
    """The emulated store, which tells of all that it takes."""

    def __init__(self, rng: random.Random, watch: Watch) -> None:
        super().__init__(rng)
        self._watch = watch

    def append(
        self, topic: Topic, records: list[Record], producer: Producer | None, at: int | None
    ) -> AppendResult:
        kept = self.topics[topic]
        epoch, end = kept.epoch, kept.end
        result = super().append(topic, records, producer, at)
        if topic is Topic.JOBS and producer is not None:
            if kept.epoch > epoch:
                self._watch.began(kept.epoch)
            if kept.end > end:
                self._watch.took(producer.epoch, producer.sequence, records)
        elif topic is Topic.LEADER and kept.end > end:
            for record in records:
                self._watch.claimed(msgspec.msgpack.decode(record.value)["epoch"])
        return result
