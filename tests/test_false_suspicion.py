"""Members that falsely suspect each other when the log goes down keep working in the outage.

The claims that they have queued or sent must neither prevent the promises that extend the leases,
nor make two owners act for one shard once the log is back.
"""

import itertools
from collections.abc import Callable

import pytest

from sablemount.core import records
from sablemount.core.config import CoreSettings
from tests.documents import ALL_DOCUMENTS
from tests.fakes.cell import LOG, VirtualCell
from tests.fakes.log import LogMode

SETTINGS = CoreSettings(shards=3, promise=5.0, evict_after=4.0)
SILENCE_S = 2.8
"""Time without heartbeats after which a member is suspected."""


def _cell() -> VirtualCell:
    cell = VirtualCell(3, 6, 3, SETTINGS)
    cell.run_until(cell.settled, 30.0)
    cell.run(2.0)
    cell.publish_all(ALL_DOCUMENTS)
    cell.run(2.0)
    return cell


def _claims(cell: VirtualCell) -> list[records.Claim]:
    return [c for member in cell.live() for c in member.core.journal.unsettled(records.Claim)]


def _all_suspect_all() -> VirtualCell:
    """Return a cell whose members have queued claims on each other's shards as the log fails."""
    cell = _cell()
    cell.log.mode = LogMode.WRITES_LATE
    pairs = list(itertools.combinations(cell.names, 2))
    for one, other in pairs:
        cell.cut_link(one, other)
    cell.run(SILENCE_S)
    cell.log.mode = LogMode.DOWN
    for one, other in pairs:
        cell.cut_links.discard(frozenset((one, other)))
    assert len(_claims(cell)) == 6
    return cell


def _one_is_suspected() -> VirtualCell:
    """Return a cell in which a claim against a paused member may be in the log when it fails."""
    cell = _cell()
    cell.pause("s0", SILENCE_S)
    cell.run(1.8)
    cell.log.mode = LogMode.WRITES_LATE
    cell.run(SILENCE_S - 1.8)
    cell.log.mode = LogMode.DOWN
    assert [claim.shard for claim in _claims(cell)] == [0]
    assert cell.log.delayed_writes
    return cell


SUSPICIONS = [_all_suspect_all, _one_is_suspected]
Suspicion = Callable[[], VirtualCell]


@pytest.mark.parametrize("suspicion", SUSPICIONS)
def test_all_go_on_in_the_outage(suspicion: Suspicion) -> None:
    cell = suspicion()
    cell.run(3.0)
    requests = [cell.request("rueda/quote", name) for name in cell.names for _ in range(4)]
    cell.run(3.0)
    assert [request for request in requests if not cell.answers[request].is_ok()] == []  # type: ignore[attr-defined]
    assert all(member.core.state.has_lease() for member in cell.live())


@pytest.mark.parametrize("suspicion", SUSPICIONS)
@pytest.mark.parametrize("outage", [1.0, 4.0, 9.0])
def test_claims_that_land_after_the_outage_make_no_second_owner(
    suspicion: Suspicion, outage: float
) -> None:
    cell = suspicion()
    cell.run(outage)
    cell.heal()
    for index in range(200):
        name = f"s{index % 3}"
        cell.after(index / 10, lambda name=name: cell.request("rueda/quote", name))
        job = f"job{index}"
        cell.after(index / 10, lambda j=job, m=name: cell.submit("rueda/plan", j, member=m))
    for _ in range(250):
        cell.run(0.1)
        _check_one_owner(cell)
    cell.run_until(cell.settled, 30.0)
    assert cell.truth.violations == []


@pytest.mark.parametrize("outage", [1.0, 4.0, 9.0])
def test_the_log_may_come_back_for_the_claimant_alone(outage: float) -> None:
    cell = _one_is_suspected()
    cell.run(outage)
    cell.log.mode = LogMode.UP
    cell.log.apply_delayed_writes(cell.now)
    cell.cut_link("s0", LOG)
    for _ in range(200):
        cell.run(0.1)
        _check_one_owner(cell)
    cell.heal()
    cell.run_until(cell.settled, 30.0)
    assert cell.truth.violations == []


def _check_one_owner(cell: VirtualCell) -> None:
    acting = [
        shard
        for member in cell.live()
        if member.core.state.now < member.core.state.lease_until
        for shard, held in member.core.state.held_shards.items()
        if held.recovery_complete
    ]
    assert len(acting) == len(set(acting)), f"a shard has two acting owners at {cell.now} s"
