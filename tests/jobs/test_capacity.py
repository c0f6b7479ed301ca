"""A VM's capacity may shrink and grow while it runs, and outdated descriptions may arrive late.

An entry list that was some seconds old restored capacity that the VM had lost since, so that runs
were started beyond its capacity.
"""

import json

import msgspec
import pytest

from sablemount.jobs.model import Shape, StepSpec
from sablemount.jobs.records import Record
from sablemount.platform.directory import PlatformDirectory
from tests.jobs.rig import CAPACITY, CORE, Rig, spec
from tests.platform.test_foreign_entries import ENTRY

SMALL = Shape(4_000, 64_000, 2)


def _describe(rig: Rig, capacity: Shape, revision: int, listed: bool = False) -> None:
    info = rig.scheduler.state.vms["w0"].info
    info = msgspec.structs.replace(info, capacity=capacity, revision=revision)
    if listed:
        rig.scheduler.update_vm_list([info])
    else:
        rig.scheduler.update_vm(info)


def _count_starts(rig: Rig, name: str, count: int) -> int:
    before = len(rig.started())
    rig.accept(name, spec(StepSpec(count, CORE)))
    rig.start_and_hold_all()
    return len(rig.started()) - before


def test_a_vm_that_has_shrunk_takes_what_fits_into_the_rest() -> None:
    rig = Rig(vms=1)
    _describe(rig, SMALL, 2)
    assert _count_starts(rig, "a", 20) == 4


def test_a_vm_that_has_shrunk_below_what_runs_there_takes_nothing_more() -> None:
    rig = Rig(vms=1)
    assert _count_starts(rig, "a", 10) == 10
    _describe(rig, SMALL, 2)
    assert _count_starts(rig, "b", 1) == 0
    assert rig.scheduler.state.vms["w0"].free_capacity.cores == -6_000
    _describe(rig, CAPACITY, 3)
    rig.wait(0.3)
    assert len(rig.started()) == 11


def test_what_is_being_stopped_still_takes_room() -> None:
    rig = Rig(vms=1)
    _count_starts(rig, "a", 4)
    _describe(rig, SMALL, 2)
    rig.scheduler.cancel("a")
    assert _count_starts(rig, "b", 4) == 0


@pytest.mark.parametrize("listed", [False, True], ids=["told", "listed"])
def test_an_outdated_description_does_not_restore_capacity(listed: bool) -> None:
    rig = Rig(vms=1)
    _describe(rig, CAPACITY, 7)
    _describe(rig, SMALL, 8)
    _describe(rig, CAPACITY, 7, listed)
    assert _count_starts(rig, "a", 20) == 4


def test_a_repeated_description_lists_the_vm_again() -> None:
    rig = Rig(vms=1)
    _describe(rig, CAPACITY, 7)
    rig.scheduler.entry_removed("w0")
    _describe(rig, CAPACITY, 7)
    assert rig.scheduler.state.vms["w0"].listed


def test_a_heartbeat_that_changes_nothing_frees_no_room() -> None:
    rig = Rig(vms=1)
    _describe(rig, CAPACITY, 7)
    freed = rig.scheduler.state.capacity_version
    _describe(rig, CAPACITY, 8)
    assert rig.scheduler.state.capacity_version == freed


def test_the_revision_of_a_vm_is_read_from_its_entry() -> None:
    found = PlatformDirectory().vm(Record("i-1", json.dumps(ENTRY).encode()))
    assert found is not None
    assert found.revision == ENTRY["seq"]
