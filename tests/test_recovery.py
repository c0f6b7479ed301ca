"""Snapshots, limited retention of the log, and bootstrap from the log or from peers."""

from sablemount.core.config import CoreSettings
from sablemount.core.ledger_image import image_of
from tests.documents import ALL_DOCUMENTS
from tests.fakes.cell import LOG, Member, VirtualCell
from tests.fakes.log import LogMode

SETTINGS = CoreSettings(shards=3, snapshot_entries=60)
RETENTION_ENTRIES = 150


def make_cell(retention: int = RETENTION_ENTRIES) -> VirtualCell:
    cell = VirtualCell(3, 6, 11, SETTINGS, retention)
    cell.run_until(cell.settled, 30.0)
    cell.publish_all(ALL_DOCUMENTS)
    return cell


def run_jobs(cell: VirtualCell, seconds: int) -> None:
    """Submit small jobs, so that the log grows."""
    for index in range(seconds * 3):
        live = cell.live()
        cell.submit("rueda/plan", f"w{cell.now:.1f}-{index}", member=live[index % len(live)].name)
        cell.run(1 / 3)


def newest_ledgers_agree(cell: VirtualCell) -> bool:
    images = [image_of(member.core.state.ledger) for member in cell.live()]
    newest = max(image.offset for image in images)
    return all(image == images[0] for image in images if image.offset == newest)


def revisions(member: Member) -> dict[str, int]:
    rows = member.core.state.ledger.documents
    return {key: row.revision for key, row in rows.items()}


def test_a_new_scheduler_starts_from_a_snapshot_and_the_tail() -> None:
    cell = make_cell()
    run_jobs(cell, 60)
    assert cell.log.first > 1
    cell.crash("s2")
    restarted = cell.boot("s2", 50)
    cell.run(30.0)
    assert restarted.core.state.meter.total("ledger_installs") >= 1
    assert revisions(restarted) == revisions(cell.members["s0"])
    assert newest_ledgers_agree(cell)
    assert cell.settled()
    assert cell.truth.violations == []


def test_a_scheduler_that_missed_too_much_begins_again_from_a_snapshot() -> None:
    cell = make_cell()
    cell.cut_link("s2", LOG)
    for other in ("s0", "s1"):
        cell.cut_link("s2", other)
    run_jobs(cell, 70)
    lagging = cell.members["s2"].core.state
    assert cell.log.first > lagging.ledger.offset + 1
    cell.cut_links.discard(frozenset(("s2", LOG)))
    cell.run(5.0)
    assert lagging.meter.total("log_restarts") >= 1
    cell.heal()
    cell.run(30.0)
    assert newest_ledgers_agree(cell)
    assert cell.settled()
    assert cell.truth.violations == []


def test_the_next_member_writes_the_snapshot_when_the_first_is_gone() -> None:
    cell = make_cell()
    cell.crash("s0")
    run_jobs(cell, 60)
    assert cell.members["s0"].core.state.meter.total("snapshots") <= 1
    assert cell.members["s1"].core.state.meter.total("snapshots") >= 1
    ledger = cell.members["s1"].core.state.ledger
    assert ledger.offset - ledger.snapshot_offset < RETENTION_ENTRIES


def test_a_scheduler_that_starts_in_an_outage_asks_its_peers() -> None:
    cell = make_cell()
    cell.log.mode = LogMode.DOWN
    cell.crash("s2")
    restarted = cell.boot("s2", 50)
    cell.run(5.0)
    assert restarted.core.state.ready
    assert revisions(restarted) == revisions(cell.members["s0"])
    assert not restarted.core.state.held_shards
    cell.log.mode = LogMode.UP
    cell.run_until(cell.settled, 120.0)
    assert cell.truth.violations == []


def test_a_scheduler_with_neither_log_nor_peers_is_not_ready() -> None:
    cell = make_cell()
    cell.log.mode = LogMode.DOWN
    cell.crash("s2")
    for other in ("s0", "s1"):
        cell.cut_link("s2", other)
    restarted = cell.boot("s2", 50)
    cell.run(5.0)
    assert not restarted.core.state.ready
    request = cell.request("rueda/quote", "s2")
    failure = cell.answers[request].err_value  # type: ignore[attr-defined]
    assert (failure.verdict.value, failure.reason.value) == ("NOT_RUN", "unknown_template")
