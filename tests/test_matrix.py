"""A seeded sample of the fault matrix, and all cells that once failed."""

import random

import pytest

from tests.matrix import STEPS, Cell, pairs, run_cell, singles

SAMPLE_CELLS = 40

FAILED_BEFORE = [
    # A late batch of a previous incarnation advanced the sequence of the current one.
    ("hand over", "release delivered", "late writes", "lost append answers", 0.4),
    ("hand over", "release sent", "late writes", "lost append answers", 3.0),
    # An owner that resumed after a pause started a run on a VM that had begun to drain meanwhile.
    ("request", "serve delivered", "slow log", "lapsed lease", 3.0),
    # After a peer's ledger was installed, rows of the previous ledger stayed in the queue.
    ("keyed request", "spend sent", "slow log", "", 0.0),
    # A cancelled task got the verdict NOT_RUN although it had run before.
    ("finish", "record sent", "crash", "", 0.0),
    # A task waited for ever in a shard without any VM large enough for it.
    ("drain", "record delivered", "VM failure", "", 0.0),
    # After one lost poll answer, the scheduler did not learn that a VM was draining.
    ("publish", "record sent", "lost answer", "", 0.0),
    # A start was sent to a VM that had begun to drain while the intent was being logged.
    ("place once", "intent in flight", "crash", "cut from the log", 3.0),
    # A task that did not fit was never moved, as no capacity was ever freed in its shard.
    ("submit", "accept sent", "lapsed lease", "slow log", 0.0),
    # Two members without each other's heartbeats claimed each other's shards endlessly.
    ("place once", "start sent", "cut from the peers", "cut from the peers", 0.0),
    # Schedulers with a ledger from peers never ended their bootstrap while the log was silent.
    ("drain", "record in flight", "crash", "log outage", 0.0),
    # A member unknown to an owner could not take over after a crash during an outage.
    ("place once", "start sent", "log outage", "crash", 0.4),
]


def find_step(flow: str, name: str) -> int:
    return next(i for i, step in enumerate(STEPS) if (step.flow, step.name) == (flow, name))


@pytest.mark.parametrize("failed", FAILED_BEFORE, ids=lambda failed: " x ".join(failed[:4]))
def test_cells_that_failed_before(failed: tuple[str, str, str, str, float]) -> None:
    flow, name, fault, second, wait = failed
    result = run_cell(Cell(find_step(flow, name), fault, second, wait))
    assert result.injected
    assert result.violations == []


def sample() -> list[Cell]:
    rng = random.Random(7)
    return rng.sample(singles(), SAMPLE_CELLS) + rng.sample(pairs(), SAMPLE_CELLS)


@pytest.mark.parametrize("cell", sample(), ids=Cell.describe)
def test_a_seeded_part_of_the_matrix(cell: Cell) -> None:
    assert run_cell(cell).violations == []


def test_a_cell_takes_the_same_course_each_time() -> None:
    cell = Cell(find_step("place", "start sent"), "crash")
    assert run_cell(cell) == run_cell(cell)
