"""The ledger: replicated state, computed by applying the entries of the log in offset order.

Every scheduler applies the same entries by the same rules, and so has the same ledger at the same
offset. Nothing here reads a clock: ages are computed from the times that the log service gives to
its entries.
"""

import zlib
from collections import deque
from functools import singledispatchmethod

from sablemount.core import records
from sablemount.core.documents import Kind, OrganisationDocument, TemplateDocument
from sablemount.core.facts import VmFacts
from sablemount.core.image import ShardImage as ShardRow
from sablemount.core.records import Batch, Writer
from sablemount.core.rows import AppliedRecord, DocumentRow, LogEntry, TaskRow, task_name
from sablemount.core.shares import QuotaShares

__all__ = ["Ledger"]

KEY_RETENTION_S = 86_400.0
"""Maximum age of a key when it is spent.

A spent key is remembered for this time and twice the clock skew, so that it can't be spent again.
"""
KEY_CLOCK_SKEW_S = 300.0
"""Maximum difference between a caller's clock and the log's."""
FINISHED_RETENTION_S = 86_400.0
"""Time for which the outcome of a finished task can be read, counted from its record."""

OK = ""


class Ledger:
    """Tables computed from the log.

    ``sequences`` has the last batch number of each member, ``read_offsets`` the last offset that
    each writer is known to have read, and ``incarnations`` the highest incarnation of each name
    that has joined. ``snapshot_offset`` is the offset of the newest snapshot whose last part has
    been read. ``finished`` has the tasks with a recorded outcome and its times, the oldest first.
    """

    def __init__(self, shard_count: int) -> None:
        self.shard_count = shard_count
        self.offset = 0
        self.log_time = 0.0
        self.snapshot_offset = 0
        self.members: dict[str, Writer] = {}
        self.halls: dict[str, str] = {}
        self.joined_at: dict[str, int] = {}
        self.sequences: dict[str, int] = {}
        self.incarnations: dict[str, int] = {}
        self.read_offsets: dict[str, int] = {}
        self.shards = [ShardRow(shard=index) for index in range(shard_count)]
        self.documents: dict[str, DocumentRow] = {}
        self.tasks: dict[str, TaskRow] = {}
        # Dictionaries serve as ordered sets, so that the order is the same in every run of a test.
        self.open_tasks: list[dict[str, None]] = [{} for _ in range(shard_count)]
        self.drained: dict[str, bool] = {}
        self.enrolled_vms: list[dict[str, VmFacts]] = [{} for _ in range(shard_count)]
        self.spent_keys: dict[str, float] = {}
        self.shares = QuotaShares(shard_count)
        self.finished: deque[tuple[float, str]] = deque()
        self._writer = Writer("", 0)

    # -- Entries -----------------------------------------------------------------------------

    def apply(self, entry: LogEntry) -> list[AppliedRecord]:
        """Apply one entry and return the result for each of its records."""
        if entry.offset <= self.offset:
            return []
        self.offset = entry.offset
        self.log_time = max(self.log_time, entry.time)
        batch = records.decode_batch(entry.payload)
        applied = [] if batch is None else self._apply_batch(entry.offset, batch)
        self._expire()
        return applied

    def _apply_batch(self, offset: int, batch: Batch) -> list[AppliedRecord]:
        if self._is_superseded(batch):
            return []
        self._writer = batch.writer
        applied = []
        for record in batch.records:
            error = self._apply_record(record.body)
            applied.append(AppliedRecord(offset, batch.writer, record, error))
        # A late batch of a previous incarnation must not advance the sequence of the current one.
        if self.members.get(batch.writer.name) == batch.writer:
            self.sequences[batch.writer.name] = batch.sequence
            self.read_offsets[str(batch.writer)] = batch.seen
        return applied

    def _is_superseded(self, batch: Batch) -> bool:
        if self.members.get(batch.writer.name) != batch.writer:
            return False
        return batch.sequence <= self.sequences.get(batch.writer.name, 0)

    def _apply_record(self, body: records.Body) -> str:
        if isinstance(body, records.Join):
            return self._join(body)
        if self.members.get(self._writer.name) != self._writer:
            return "the writer is not a member"
        return self._apply_as_member(body)

    def _expire(self) -> None:
        oldest_spent = self.log_time - KEY_RETENTION_S - 2 * KEY_CLOCK_SKEW_S
        while self.spent_keys:
            key = next(iter(self.spent_keys))
            if self.spent_keys[key] >= oldest_spent:
                break
            del self.spent_keys[key]
        oldest_finished = self.log_time - FINISHED_RETENTION_S
        while self.finished and self.finished[0][0] < oldest_finished:
            _, task = self.finished.popleft()
            self.tasks.pop(task, None)

    # -- Members -----------------------------------------------------------------------------

    def _join(self, body: records.Join) -> str:
        # An incarnation joins once: a Join that takes effect late must not bring back a member
        # that has left or was evicted.
        name = self._writer.name
        if self.incarnations.get(name, 0) >= self._writer.incarnation:
            return "this or a later incarnation has joined before"
        self.incarnations[name] = self._writer.incarnation
        self.members[name] = self._writer
        self.halls[name] = body.hall
        self.joined_at[name] = self.offset
        self.sequences[name] = 0
        self._expire_read_offsets()
        return OK

    def _expire_read_offsets(self) -> None:
        known = {str(member) for member in self.members.values()}
        known.update(str(shard.owner) for shard in self.shards)
        self.read_offsets = {
            writer: seen for writer, seen in self.read_offsets.items() if writer in known
        }

    def has_read_join(self, owner: Writer, member: Writer) -> bool:
        """Return whether the log shows that an owner has read a member's Join."""
        if self.members.get(member.name) != member:
            return False
        return self.read_offsets.get(str(owner), 0) >= self.joined_at[member.name]

    def _remove(self, member: Writer) -> str:
        if self.members.get(member.name) != member:
            return "not a member"
        del self.members[member.name]
        del self.halls[member.name]
        return OK

    @singledispatchmethod
    def _apply_as_member(self, body: object) -> str:
        return f"unknown record {type(body).__name__}"

    @_apply_as_member.register
    def _(self, body: records.Leave) -> str:
        return self._remove(self._writer)

    @_apply_as_member.register
    def _(self, body: records.Seen) -> str:
        return OK

    @_apply_as_member.register
    def _(self, body: records.Evict) -> str:
        return self._remove(body.member)

    # -- Shards ------------------------------------------------------------------------------

    def _ownership_error(self, shard: int, epoch: int) -> str:
        if not 0 <= shard < self.shard_count:
            return "no such shard"
        row = self.shards[shard]
        if row.owner != self._writer or row.epoch != epoch:
            return f"shard {shard} is at epoch {row.epoch}, owned by {row.owner}"
        return OK

    @_apply_as_member.register
    def _(self, body: records.Claim) -> str:
        if not 0 <= body.shard < self.shard_count:
            return "no such shard"
        row = self.shards[body.shard]
        if row.epoch != body.epoch:
            return f"shard {body.shard} is at epoch {row.epoch}"
        planned = row.owner is None
        self.shards[body.shard] = ShardRow(body.shard, self._writer, row.epoch + 1, planned)
        return OK

    @_apply_as_member.register
    def _(self, body: records.Release) -> str:
        error = self._ownership_error(body.shard, body.epoch)
        if error:
            return error
        if body.to is not None and self.members.get(body.to.name) != body.to:
            return f"{body.to} is not a member"
        self.shards[body.shard] = ShardRow(body.shard, body.to, body.epoch + 1, True)
        return OK

    # -- Documents ---------------------------------------------------------------------------

    @_apply_as_member.register
    def _(self, body: records.Publish) -> str:
        current = self.documents.get(body.key)
        revision = current.revision if current else 0
        if revision != body.expected:
            return f"expected revision {body.expected}, current revision {revision}"
        row = DocumentRow(body.document, revision + 1, body.author, self.offset)
        self.documents[body.key] = row
        if isinstance(body.document, OrganisationDocument):
            self.shares.revise(body.key, body.document.quota)
        elif body.document.kind is Kind.SERVICE:
            self._update_replicas(body.key, row)
        return OK

    def _update_replicas(self, key: str, row: DocumentRow) -> None:
        assert isinstance(row.document, TemplateDocument)
        first_shard = zlib.crc32(key.encode()) % self.shard_count
        for position in range(row.document.replicas):
            task = f"{key}.{position}"
            if task not in self.tasks:
                shard = (first_shard + position) % self.shard_count
                self._add(TaskRow(task, key, row.document, row.revision), shard, position)
        for task_row in self.replicas_of(key):
            task_row.template = row.document
            task_row.revision = row.revision
            task_row.cancelled = task_row.position >= row.document.replicas

    # -- Tasks -------------------------------------------------------------------------------

    def _add(self, row: TaskRow, shard: int, position: int) -> None:
        row.shard = shard
        row.position = position
        row.accepted_at = self.log_time
        self.tasks[row.task] = row
        self.open_tasks[shard][row.task] = None

    @_apply_as_member.register
    def _(self, body: records.Accept) -> str:
        current = self.documents.get(body.template)
        if current is None or not isinstance(current.document, TemplateDocument):
            return "unknown template"
        if not 0 <= body.shard < self.shard_count:
            return "no such shard"
        names = self.task_names(body)
        if any(name in self.tasks for name in names):
            return "the job exists"
        for position, name in enumerate(names, body.first):
            row = TaskRow(name, body.job, current.document, current.revision)
            row.parameters = body.parameters
            self._add(row, body.shard, position)
        return OK

    @staticmethod
    def task_names(body: records.Accept) -> list[str]:
        """Return the names of the tasks that a record accepts."""
        positions = range(body.first, body.first + body.count)
        return [task_name(body.job, position, body.total) for position in positions]

    def replicas_of(self, key: str) -> list[TaskRow]:
        """Return the replicas of a service template, in order of their positions."""
        row = self.documents.get(key)
        if row is None or not isinstance(row.document, TemplateDocument):
            return []
        if row.document.kind is not Kind.SERVICE:
            return []
        found: list[TaskRow] = []
        while (task := self.tasks.get(f"{key}.{len(found)}")) is not None:
            found.append(task)
        return found

    def _open_task(self, task: str) -> TaskRow | None:
        row = self.tasks.get(task)
        return None if row is None or row.finished else row

    @_apply_as_member.register
    def _(self, body: records.Intent) -> str:
        row = self._open_task(body.task)
        if row is None:
            return "no such open task"
        if row.intent_epoch or row.cancelled:
            return "the task was announced or cancelled before"
        error = self._ownership_error(row.shard, body.epoch)
        if not error:
            row.intent_epoch = body.epoch
        return error

    @_apply_as_member.register
    def _(self, body: records.Finish) -> str:
        row = self._open_task(body.task)
        if row is None:
            return "no such open task"
        error = self._ownership_error(row.shard, body.epoch)
        if error:
            return error
        row.verdict = body.verdict.value
        row.reason = body.reason
        self.open_tasks[row.shard].pop(row.task, None)
        self.finished.append((self.log_time, row.task))
        return OK

    @_apply_as_member.register
    def _(self, body: records.Cancel) -> str:
        row = self._open_task(body.task)
        if row is None:
            return "no such open task"
        row.cancelled = True
        return OK

    @_apply_as_member.register
    def _(self, body: records.Drain) -> str:
        if body.drain:
            self.drained[body.vm] = True
        else:
            self.drained.pop(body.vm, None)
        return OK

    @_apply_as_member.register
    def _(self, body: records.Move) -> str:
        row = self._open_task(body.task)
        if row is None or not 0 <= body.to < self.shard_count:
            return "no such open task or shard"
        error = self._ownership_error(row.shard, body.epoch)
        if error:
            return error
        self.open_tasks[row.shard].pop(row.task, None)
        row.shard = body.to
        self.open_tasks[row.shard][row.task] = None
        return OK

    # -- VMs ---------------------------------------------------------------------------------

    @_apply_as_member.register
    def _(self, body: records.Enroll) -> str:
        error = self._ownership_error(body.shard, body.epoch)
        if not error:
            self.enrolled_vms[body.shard][body.facts.vm] = body.facts
        return error

    @_apply_as_member.register
    def _(self, body: records.Dismiss) -> str:
        error = self._ownership_error(body.shard, body.epoch)
        if not error:
            self.enrolled_vms[body.shard].pop(body.vm, None)
        return error

    # -- Quotas and keys ---------------------------------------------------------------------

    @_apply_as_member.register
    def _(self, body: records.QuotaMove) -> str:
        error = self._ownership_error(body.shard, body.epoch)
        if error:
            return error
        if not 0 <= body.to < self.shard_count:
            return "no such shard"
        return self.shares.move(
            body.organisation, body.shard, body.to, body.cores, body.accelerators
        )

    @_apply_as_member.register
    def _(self, body: records.SpendKey) -> str:
        if body.key in self.spent_keys:
            return "the key is spent"
        if body.issued < self.log_time - KEY_RETENTION_S:
            return "the key is older than the horizon"
        if body.issued > self.log_time + KEY_CLOCK_SKEW_S:
            return "the key is from the future"
        self.spent_keys[body.key] = self.log_time
        return OK

    @_apply_as_member.register
    def _(self, body: records.SnapshotPart) -> str:
        if body.index == body.total - 1:
            self.snapshot_offset = max(self.snapshot_offset, body.upto)
        return OK
