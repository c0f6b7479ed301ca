"""Run the complete fault matrix on all cores of the machine and print the results."""

import concurrent.futures
import os
import sys
import time
from collections import Counter

from tests.matrix import FAULTS, STEPS, Cell, CellResult, pairs, run_cell, singles

__all__ = ["main"]

MAX_PRINTED_FAILURES = 20


def _run_all(cells: list[Cell]) -> list[CellResult]:
    processes = int(os.environ.get("MATRIX_PROCESSES", os.cpu_count() or 1))
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        return list(pool.map(run_cell, cells, chunksize=8))


def _print_table(results: list[CellResult]) -> None:
    flows = list(dict.fromkeys(step.flow for step in STEPS))
    print("| fault | " + " | ".join(flows) + " |")
    print("|---" * (len(flows) + 1) + "|")
    counts: Counter[tuple[str, str, bool]] = Counter()
    for result in results:
        if result.injected:
            flow = STEPS[result.cell.step].flow
            counts[result.cell.fault, flow, not result.violations] += 1
    for fault in FAULTS:
        row = []
        for flow in flows:
            passed, failed = counts[fault, flow, True], counts[fault, flow, False]
            row.append(f"{passed}/{passed + failed}")
        print(f"| {fault} | " + " | ".join(row) + " |")


def _report(name: str, results: list[CellResult], seconds: float) -> int:
    failed = [result for result in results if result.violations]
    injected = sum(result.injected for result in results)
    print(
        f"{name}: {len(results)} cells, {injected} struck, {injected - len(failed)} passed, "
        f"{len(failed)} failed, {len(results) - injected} whose step did not come about; "
        f"{seconds:.0f} s",
        flush=True,
    )
    for result in failed[:MAX_PRINTED_FAILURES]:
        print(f"  {result.cell.describe()}: {result.violations[:2]}")
    return len(failed)


def main() -> None:
    """Run the matrix; ``--singles`` omits the pairs of faults."""
    begun = time.monotonic()
    results = _run_all(singles())
    failed = _report("single faults", results, time.monotonic() - begun)
    _print_table(results)
    if "--singles" not in sys.argv:
        begun = time.monotonic()
        failed += _report("pairs of faults", _run_all(pairs()), time.monotonic() - begun)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
