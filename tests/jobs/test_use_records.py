"""A VM is given work only while the store says that it may run something.

A VM's record of use was on its way when the VM fell silent, so that the record was dropped again,
and when it was heard once more, so that a new one was about to be written. The answer to the first
one says nothing of the third: a leader that takes over before that finds no record, waits for no
such VM, and may start elsewhere what still runs there.
"""

from sablemount.jobs.journal import Batch
from tests.jobs.rig import Rig


def _kept(batches: list[Batch], key: str) -> bool:
    kept = False
    for batch in batches:
        for record in batch.records:
            if record.key == key:
                kept = bool(record.value)
    return kept


def test_an_earlier_record_of_use_does_not_stand_for_a_later_one() -> None:
    rig = Rig(vms=1)
    scheduler = rig.scheduler
    row = scheduler.state.vms["w0"]
    scheduler.journal.unuse(row)
    rig.commit()
    scheduler.journal.use(row)
    first = scheduler.next_batch()
    scheduler.journal.unuse(row)
    second = scheduler.next_batch()
    scheduler.journal.use(row)
    scheduler.durable(first)
    assert not row.in_use or _kept([first, second], "w/w0")
    scheduler.durable(second)
    assert not row.in_use
    third = scheduler.next_batch()
    scheduler.durable(third)
    assert row.in_use
    assert _kept([first, second, third], "w/w0")
