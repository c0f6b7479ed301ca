"""Conversion between ledgers and their images."""

from collections import deque

from sablemount.core.image import (
    DocumentImage,
    KeyImage,
    LedgerImage,
    MemberImage,
    ShareImage,
    TaskImage,
)
from sablemount.core.ledger import Ledger
from sablemount.core.rows import DocumentRow, TaskRow

__all__ = ["image_of", "ledger_of"]


def image_of(ledger: Ledger) -> LedgerImage:
    """Return an immutable image of the complete ledger."""
    return LedgerImage(
        offset=ledger.offset,
        log_time=ledger.log_time,
        members=[
            MemberImage(writer, ledger.halls[name], ledger.joined_at[name], ledger.sequences[name])
            for name, writer in ledger.members.items()
        ],
        incarnations=dict(ledger.incarnations),
        seen=dict(ledger.read_offsets),
        shards=list(ledger.shards),
        documents=[
            DocumentImage(key, row.document, row.revision, row.author, row.offset)
            for key, row in ledger.documents.items()
        ],
        tasks=[row.to_image() for row in ledger.tasks.values()],
        vms=[list(shard.values()) for shard in ledger.enrolled_vms],
        drained=list(ledger.drained),
        finished=list(ledger.finished),
        keys=[KeyImage(key, spent) for key, spent in ledger.spent_keys.items()],
        shares=[
            ShareImage(name, cores, accelerators)
            for name, cores, accelerators in ledger.shares.rows()
        ],
    )


def ledger_of(image: LedgerImage) -> Ledger:
    """Restore a ledger from an image."""
    ledger = Ledger(len(image.shards))
    ledger.offset = image.offset
    ledger.log_time = image.log_time
    ledger.snapshot_offset = image.offset
    for member in image.members:
        name = member.writer.name
        ledger.members[name] = member.writer
        ledger.halls[name] = member.hall
        ledger.joined_at[name] = member.joined_at
        ledger.sequences[name] = member.sequence
    ledger.incarnations = dict(image.incarnations)
    ledger.read_offsets = dict(image.seen)
    ledger.shards = list(image.shards)
    for item in image.documents:
        row = DocumentRow(item.document, item.revision, item.author, item.offset)
        ledger.documents[item.key] = row
    for share in image.shares:
        ledger.shares.restore(share.organisation, share.cores, share.accelerators)
    for task in image.tasks:
        _restore_task(ledger, task)
    ledger.enrolled_vms = [{facts.vm: facts for facts in shard} for shard in image.vms]
    ledger.drained = dict.fromkeys(image.drained, True)
    ledger.finished = deque(image.finished)
    ledger.spent_keys = {item.key: item.spent for item in image.keys}
    return ledger


def _restore_task(ledger: Ledger, image: TaskImage) -> None:
    row = TaskRow.from_image(image)
    ledger.tasks[row.task] = row
    if not row.finished:
        ledger.open_tasks[row.shard][row.task] = None
