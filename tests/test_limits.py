"""Tests of ejection: VMs that fail requests get none for a while, and are then probed.

No more than a share of all VMs is ejected at a time.
"""

from sablemount.core import actions, events
from sablemount.core.config import CoreSettings
from sablemount.core.tables import VmRow
from sablemount.core.verdict import Failure, Reason, Served, Verdict
from tests.documents import ALL_DOCUMENTS
from tests.fakes.cell import VirtualCell

FAILED = Failure(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_CUT_SHORT)
SETTINGS = CoreSettings(shards=1, eject_after=3, eject_seconds=5.0, eject_share=0.3)


def make_cell() -> VirtualCell:
    cell = VirtualCell(1, 10, 2, SETTINGS)
    cell.run_until(cell.settled, 30.0)
    cell.run(2.0)
    cell.publish_all(ALL_DOCUMENTS)
    return cell


def end_attempts(cell: VirtualCell, vm: str, times: int, failure: Failure | None = FAILED) -> None:
    """Report the end of attempts at a VM to the scheduler, as the runtime does."""
    member = cell.members["s0"]
    for _ in range(times):
        served = Served(b"", vm) if failure is None else None
        member.handle(events.RequestEnded("none", vm, failure, True, 0.01, served))


def usable(cell: VirtualCell) -> set[str]:
    rows: dict[str, VmRow] = cell.members["s0"].core.state.vms
    return {row.vm for row in rows.values() if row.was_usable}


def vms_that_serve(cell: VirtualCell, count: int) -> set[str]:
    vms: set[str] = set()

    def observe(member: object, action: actions.Action) -> None:
        if isinstance(action, actions.Serve):
            vms.add(action.vm)

    cell.observers.append(observe)
    for _ in range(count):
        cell.request("rueda/quote", "s0")
        cell.run(0.05)
    cell.observers.remove(observe)
    return vms


def test_a_failing_upstream_is_ejected_and_probed_back() -> None:
    cell = make_cell()
    end_attempts(cell, "vm-3", 2)
    assert "vm-3" in usable(cell)
    end_attempts(cell, "vm-3", 1)
    assert "vm-3" not in vms_that_serve(cell, 40)
    cell.run(5.0)
    assert "vm-3" in vms_that_serve(cell, 80)


def test_one_failed_probe_ejects_again_and_one_success_clears() -> None:
    cell = make_cell()
    end_attempts(cell, "vm-3", 3)
    cell.run(6.0)
    assert "vm-3" in usable(cell)
    end_attempts(cell, "vm-3", 1)
    assert "vm-3" not in usable(cell)
    cell.run(6.0)
    end_attempts(cell, "vm-3", 1, failure=None)
    end_attempts(cell, "vm-3", 2)
    assert "vm-3" in usable(cell)


def test_the_ejected_share_is_bounded() -> None:
    cell = make_cell()
    for index in range(10):
        end_attempts(cell, f"vm-{index}", 10)
    assert len(usable(cell)) == 7


def test_refusals_by_protocol_eject_nobody() -> None:
    cell = make_cell()
    refused = Failure(Verdict.NOT_RUN, Reason.UPSTREAM_REFUSED)
    end_attempts(cell, "vm-3", 20, refused)
    assert len(usable(cell)) == 10
