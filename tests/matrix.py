"""The fault matrix: every fault at every step of every flow, singly and in pairs.

One scenario runs all flows over three schedulers and six VMs in virtual time. A cell of the
matrix arms one step of one flow; when the step comes, its fault strikes the scheduler or VM
concerned. The invariants are checked by the stand-ins at each event; at the end everything is
healed, and all accepted work must come to an outcome.
"""

import itertools

import msgspec

from tests.matrix_faults import FAULTS
from tests.matrix_run import Run
from tests.matrix_steps import STEPS

__all__ = ["FAULTS", "STEPS", "Cell", "CellResult", "pairs", "run_cell", "singles"]


class Cell(msgspec.Struct, frozen=True):
    """One cell of the matrix; ``second`` strikes another scheduler ``wait`` seconds later."""

    step: int
    fault: str
    second: str = ""
    wait: float = 0.0

    def describe(self) -> str:
        """Return the cell in words."""
        step = STEPS[self.step]
        after = f" + {self.second} after {self.wait} s" if self.second else ""
        return f"{step.flow}: {step.name} x {self.fault}{after}"


class CellResult(msgspec.Struct, frozen=True):
    """What became of one cell; ``struck`` is false when its step did not come about."""

    cell: Cell
    struck: bool
    violations: list[str]


def run_cell(cell: Cell) -> CellResult:
    """Run one cell under its own seed."""
    run = Run(1000 + cell.step, FAULTS)
    then = (cell.second, cell.wait) if cell.second else None
    run.arm(STEPS[cell.step], cell.fault, then)
    try:
        violations = run.play()
    except Exception as error:
        violations = [f"exception: {error!r}"]
    return CellResult(cell, bool(run.struck), violations)


def singles() -> list[Cell]:
    """Return every step with every fault."""
    return [Cell(step, fault) for step in range(len(STEPS)) for fault in FAULTS]


def pairs() -> list[Cell]:
    """Return every step with every pair of faults, the waits in turn."""
    waits = itertools.cycle((0.0, 0.4, 3.0))
    return [
        Cell(step, first, second, next(waits))
        for step in range(len(STEPS))
        for first in FAULTS
        for second in FAULTS
    ]
