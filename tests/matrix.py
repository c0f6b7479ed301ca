"""The fault matrix: every fault at every step of every flow, singly and in pairs.

One scenario runs all flows over three schedulers and six VMs in virtual time. A cell of the
matrix selects a step of a flow and a fault, which is injected into the scheduler or VM concerned
when the step occurs. The stand-ins check the invariants at each event. At the end all faults are
undone, and every accepted task must reach an outcome.
"""

import itertools

import msgspec

from tests.matrix_faults import FAULTS
from tests.matrix_run import Run
from tests.matrix_steps import STEPS

__all__ = ["FAULTS", "STEPS", "Cell", "CellResult", "pairs", "run_cell", "singles"]


class Cell(msgspec.Struct, frozen=True):
    """A cell of the matrix; ``second`` is injected into another scheduler ``wait`` s later."""

    step: int
    fault: str
    second: str = ""
    wait: float = 0.0

    def describe(self) -> str:
        """Return a readable description of the cell."""
        step = STEPS[self.step]
        after = f" + {self.second} after {self.wait} s" if self.second else ""
        return f"{step.flow}: {step.name} x {self.fault}{after}"


class CellResult(msgspec.Struct, frozen=True):
    """The result of a cell; ``injected`` is false if its step did not occur."""

    cell: Cell
    injected: bool
    violations: list[str]


def run_cell(cell: Cell) -> CellResult:
    """Run a cell with a seed that depends on its step."""
    run = Run(1000 + cell.step, FAULTS)
    follow_up = (cell.second, cell.wait) if cell.second else None
    run.arm(STEPS[cell.step], cell.fault, follow_up)
    try:
        violations = run.play()
    except Exception as error:
        violations = [f"exception: {error!r}"]
    return CellResult(cell, bool(run.injected), violations)


def singles() -> list[Cell]:
    """Return a cell for every step and fault."""
    return [Cell(step, fault) for step in range(len(STEPS)) for fault in FAULTS]


def pairs() -> list[Cell]:
    """Return a cell for every step and ordered pair of faults, cycling through the waits."""
    waits = itertools.cycle((0.0, 0.4, 3.0))
    return [
        Cell(step, first, second, next(waits))
        for step in range(len(STEPS))
        for first in FAULTS
        for second in FAULTS
    ]
