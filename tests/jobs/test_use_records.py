"""A VM is given work only while its use is recorded in the store.

A use record is in flight when its VM falls silent, so that the record is dropped; the VM then
reports again, so that a new record is queued. The answer to the first append says nothing about the
third record: a leader that takes over before it is stored finds no record, does not wait for the
VM, and may start elsewhere what still runs there.
"""

from sablemount.jobs.journal import Batch
from tests.jobs.rig import Rig


def _is_stored(batches: list[Batch], key: str) -> bool:
    stored = False
    for batch in batches:
        for record in batch.records:
            if record.key == key:
                stored = bool(record.value)
    return stored


def test_an_earlier_record_of_use_does_not_stand_for_a_later_one() -> None:
    rig = Rig(vms=1)
    scheduler = rig.scheduler
    row = scheduler.state.vms["w0"]
    scheduler.journal.record_disuse(row)
    rig.commit()
    scheduler.journal.record_use(row)
    first = scheduler.next_batch()
    scheduler.journal.record_disuse(row)
    second = scheduler.next_batch()
    scheduler.journal.record_use(row)
    scheduler.batch_stored(first)
    assert not row.in_use or _is_stored([first, second], "w/w0")
    scheduler.batch_stored(second)
    assert not row.in_use
    third = scheduler.next_batch()
    scheduler.batch_stored(third)
    assert row.in_use
    assert _is_stored([first, second, third], "w/w0")
