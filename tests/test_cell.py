"""Requests, tasks and services from publication to their outcome, without faults."""

import pytest

from sablemount.core.documents import (
    Kind,
    Preferences,
    PriorityClass,
    Shape,
    TemplateDocument,
)
from tests.fakes.cell import VirtualCell

QUOTE = TemplateDocument("rueda", "quote", Kind.REQUEST, PriorityClass.URGENT, Shape(slots=1))
PLAN = TemplateDocument(
    "rueda", "plan", Kind.TASK, PriorityClass.BATCH, Shape(cores=4), expected_seconds=3.0
)
TRANSFER = TemplateDocument(
    "yard", "transfer", Kind.TASK, PriorityClass.BATCH, Shape(cores=2), repeatable=False
)
DISPATCH = TemplateDocument(
    "rueda",
    "dispatch",
    Kind.SERVICE,
    PriorityClass.STANDARD,
    Shape(cores=2),
    replicas=6,
    preferences=Preferences(spread=True),
)


@pytest.fixture
def cell() -> VirtualCell:
    cell = VirtualCell(members=3, vms=12)
    cell.run_until(cell.settled, 30)
    cell.run(2)
    cell.publish_all([QUOTE, PLAN, TRANSFER, DISPATCH])
    return cell


def test_the_whole_path(cell: VirtualCell) -> None:
    cell.submit("rueda/plan", "plans", 40)
    cell.submit("yard/transfer", "transfers", 5)
    for index in range(300):
        cell.request("rueda/quote", member=f"s{index % 3}")
    cell.run(30)
    assert set(cell.command_failures.values()) == {None}
    assert len(cell.answers) == 300
    assert all(result.is_ok() for result in cell.answers.values())  # type: ignore[attr-defined]
    assert {cell.verdict(f"plans.{index}") for index in range(40)} == {"DONE"}
    assert {cell.verdict(f"transfers.{index}") for index in range(5)} == {"DONE"}
    assert cell.truth.violations == []


def test_a_service_is_spread_over_the_halls(cell: VirtualCell) -> None:
    cell.run(5)
    halls = [
        worker.facts.hall
        for worker in cell.workers.values()
        for run in worker.runs.values()
        if run.run.startswith("rueda/dispatch")
    ]
    assert sorted(halls) == ["hall-0", "hall-0", "hall-1", "hall-1", "hall-2", "hall-2"]
