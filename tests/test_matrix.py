"""A seeded part of the fault matrix, and every cell that has failed before."""

import random

import pytest

from tests.matrix import STEPS, Cell, pairs, run_cell, singles

SAMPLE = 40

FAILED_BEFORE = [
    # A late batch of a former incarnation moved the sequence of the present one.
    ("hand over", "release delivered", "late writes", "lost append answers", 0.4),
    ("hand over", "release sent", "late writes", "lost append answers", 3.0),
    # An owner that woke from a pause started on a VM that had begun to leave meanwhile.
    ("request", "serve delivered", "slow log", "lapsed lease", 3.0),
    # A ledger taken from a peer left rows of the old one in the queue.
    ("keyed request", "spend sent", "slow log", "", 0.0),
    # A cancelled task was called not run although it had run before.
    ("finish", "record sent", "crash", "", 0.0),
    # A task waited for ever in a shard without a VM that could hold it.
    ("drain", "record delivered", "VM failure", "", 0.0),
    # One lost poll answer hid that a VM was leaving.
    ("publish", "record sent", "lost answer", "", 0.0),
    # A start went out to a VM that had begun to leave while its intent was on its way.
    ("place once", "intent in flight", "crash", "cut from the log", 3.0),
    # A task that did not fit was never moved, since nothing was ever freed in its shard.
    ("submit", "accept sent", "lapsed lease", "slow log", 0.0),
    # Two members that heard each other no more took each other's shards without end.
    ("place once", "start sent", "cut from the peers", "cut from the peers", 0.0),
    # Schedulers that had their ledger from peers never ended their bootstrap from a silent log.
    ("drain", "record in flight", "crash", "log outage", 0.0),
    # A member that an owner did not know of could not take over after a crash in an outage.
    ("place once", "start sent", "log outage", "crash", 0.4),
]


def find_step(flow: str, name: str) -> int:
    return next(i for i, step in enumerate(STEPS) if (step.flow, step.name) == (flow, name))


@pytest.mark.parametrize("failed", FAILED_BEFORE, ids=lambda failed: " x ".join(failed[:4]))
def test_cells_that_failed_before(failed: tuple[str, str, str, str, float]) -> None:
    flow, name, fault, second, wait = failed
    result = run_cell(Cell(find_step(flow, name), fault, second, wait))
    assert result.struck
    assert result.violations == []


def sample() -> list[Cell]:
    rng = random.Random(7)
    return rng.sample(singles(), SAMPLE) + rng.sample(pairs(), SAMPLE)


@pytest.mark.parametrize("cell", sample(), ids=Cell.describe)
def test_a_seeded_part_of_the_matrix(cell: Cell) -> None:
    assert run_cell(cell).violations == []


def test_a_cell_takes_the_same_course_each_time() -> None:
    cell = Cell(find_step("place", "start sent"), "crash")
    assert run_cell(cell) == run_cell(cell)
