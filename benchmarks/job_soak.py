"""Runs seeded mixes of faults on the emulated system and lists those that violate an invariant.

python -m benchmarks.job_soak --first 0 --count 500
python -m benchmarks.job_soak --kind store --first 0 --count 1000
python -m benchmarks.job_soak --kind vms --first 0 --count 500
python -m benchmarks.job_soak --kind lives --first 0 --count 500
python -m benchmarks.job_soak --kind restarts --first 0 --count 500
python -m benchmarks.job_soak --kind jobs --first 0 --count 500
python -m benchmarks.job_soak --kind leases --first 0 --count 500
python -m benchmarks.job_soak --kind steps --first 0 --count 500
python -m benchmarks.job_soak --kind connections --first 0 --count 500
python -m benchmarks.job_soak --kind spread --first 0 --count 500
python -m benchmarks.job_soak --kind placement --first 0 --count 500
python -m benchmarks.job_soak --kind recuts --first 0 --count 500
python -m benchmarks.job_soak --kind backlog --first 0 --count 200
python -m benchmarks.job_soak --kind terms --first 0 --count 200

With leases, steps and recuts it also prints how often a task ran twice; with leases and steps, how
long tasks waited that were lost with their VM.
"""

import enum
import random
import time
from collections.abc import Callable, Coroutine, Sequence
from multiprocessing import Pool
from typing import Annotated, Any

import msgspec
import typer

from tests.emulator import (
    connection_faults,
    lease_faults,
    life_faults,
    placement_faults,
    recut_faults,
    spread_faults,
    step_faults,
    vm_faults,
)
from tests.emulator import faults as kinds
from tests.emulator.backlog_mix import run_backlog_mix, run_terms_mix
from tests.emulator.loop import run
from tests.emulator.mixes import (
    run_connection_mix,
    run_job_mix,
    run_measured_lease_mix,
    run_mix,
    run_organisation_mix,
    run_recut_mix,
    run_spread_mix,
    run_store_mix,
)
from tests.emulator.placement_mix import run_placement_mix
from tests.emulator.store_faults import draw

MixRunner = Callable[[int, Sequence[kinds.Fault], bool], Coroutine[Any, Any, list[str]]]
"""Runs the mix of a seed with some faults, with an advice service or without."""
FAULTS_PER_MIX = 5
"""Number of faults in a mix of any faults."""
WORKER_PROCESSES = 6


class Kind(enum.Enum):
    """The tables that the faults of a mix are drawn from."""

    ALL = "all"
    STORE = "store"
    VMS = "vms"
    LIVES = "lives"
    RESTARTS = "restarts"
    JOBS = "jobs"
    """Any faults, with jobs of the whole job model."""
    LEASES = "leases"
    STEPS = "steps"
    """The same, with members that stand still, a store that goes and calls that come late."""
    CONNECTIONS = "connections"
    """Leaders lost in series, at VMs that take few connections."""
    SPREAD = "spread"
    """VMs that are silent and return, under steps whose spread binds."""
    PLACEMENT = "placement"
    """The same beside queues that move from pool to pool, and machines that change their kind."""
    RECUTS = "recuts"
    """VMs that restart under their ids and are cut off soon after, under long tasks."""
    BACKLOG = "backlog"
    """Jobs whose repetitions fall due together, and wide ones."""
    TERMS = "terms"
    """A queue that is given advice and loses it again."""


class MixResult(msgspec.Struct):
    """The result of a mix: its seed, its faults and the violations."""

    seed: int
    faults: list[str]
    violations: list[str]
    waits_s: list[float] = []
    """Seconds that each task which was lost with its VM has waited, where they are measured."""


def run_seed(seed: int) -> MixResult:
    """Run a seed's mix of any faults; every third one has callers of organisations."""
    rng = random.Random(seed)
    chosen = [rng.choice(kinds.FAULTS) for _ in range(FAULTS_PER_MIX)]
    mix_runner = run_mix if seed % 3 else run_organisation_mix
    wrong = run(mix_runner(100 + seed, chosen, advice=seed % 2 == 0))
    return MixResult(seed, [fault.__name__ for fault in chosen], wrong)


def run_store_seed(seed: int) -> MixResult:
    """Run a seed's mix of mostly store faults."""
    chosen = draw(seed)
    wrong = run(run_store_mix(seed, chosen, advice=seed % 3 == 0))
    return MixResult(seed, [fault.__name__ for fault in chosen], wrong)


def run_vms_seed(seed: int) -> MixResult:
    """Run a seed's mix of mostly VM faults; every third one has callers of organisations."""
    return _run_mix(seed, vm_faults.draw(seed))


def run_lives_seed(seed: int) -> MixResult:
    """Run a seed's mix of mostly restarts of VMs under the same id."""
    return _run_mix(seed, life_faults.draw(seed))


def run_restarts_seed(seed: int) -> MixResult:
    """Run a seed's mix of frequent restarts of VMs that no task causes."""
    return _run_drawn(run_mix, seed, life_faults.draw_restarts(seed))


def run_jobs_seed(seed: int) -> MixResult:
    """Run a seed's mix of any faults, mostly of the store, with jobs of the whole job model."""
    return _run_drawn(run_job_mix, seed, draw(seed))


def run_leases_seed(seed: int) -> MixResult:
    """Run a seed's mix of VMs that cannot be reached while their leases run."""
    return _run_lease_mix(seed, lease_faults.draw(seed))


def run_steps_seed(seed: int) -> MixResult:
    """Run the same with faults between two steps."""
    return _run_lease_mix(seed, step_faults.draw(seed))


def run_connections_seed(seed: int) -> MixResult:
    """Run a seed's mix of leaders lost in series, at VMs that take few connections."""
    return _run_drawn(run_connection_mix, seed, connection_faults.draw(seed))


def run_spread_seed(seed: int) -> MixResult:
    """Run a seed's mix of steps whose spread binds."""
    return _run_drawn(run_spread_mix, seed, spread_faults.draw(seed))


def run_placement_seed(seed: int) -> MixResult:
    """Run a seed's mix of queues that move, and of machines that drain, shrink and change."""
    return _run_drawn(run_placement_mix, seed, placement_faults.draw(seed))


def run_recuts_seed(seed: int) -> MixResult:
    """Run a seed's mix of VMs that are cut off soon after they are back under their ids."""
    return _run_drawn(run_recut_mix, seed, recut_faults.draw(seed))


def run_backlog_seed(seed: int) -> MixResult:
    """Run a seed's mix of large jobs, beside faults mostly of the store."""
    return _run_drawn(run_backlog_mix, seed, draw(seed))


def run_terms_seed(seed: int) -> MixResult:
    """Run a seed's mix of changing terms, beside faults mostly of the store."""
    return _run_drawn(run_terms_mix, seed, draw(seed))


def _run_lease_mix(seed: int, chosen: list[kinds.Fault]) -> MixResult:
    wrong, waits_s = run(run_measured_lease_mix(seed, chosen, advice=seed % 2 == 0))
    return MixResult(seed, [fault.__name__ for fault in chosen], wrong, waits_s)


def _run_mix(seed: int, chosen: list[kinds.Fault]) -> MixResult:
    return _run_drawn(run_mix if seed % 3 else run_organisation_mix, seed, chosen)


def _run_drawn(mix_runner: MixRunner, seed: int, chosen: list[kinds.Fault]) -> MixResult:
    """Run a mix of some faults; even seeds have an advice service."""
    wrong = run(mix_runner(seed, chosen, seed % 2 == 0))
    return MixResult(seed, [fault.__name__ for fault in chosen], wrong)


RUNNERS = {
    Kind.ALL: run_seed,
    Kind.STORE: run_store_seed,
    Kind.VMS: run_vms_seed,
    Kind.LIVES: run_lives_seed,
    Kind.RESTARTS: run_restarts_seed,
    Kind.JOBS: run_jobs_seed,
    Kind.LEASES: run_leases_seed,
    Kind.STEPS: run_steps_seed,
    Kind.CONNECTIONS: run_connections_seed,
    Kind.SPREAD: run_spread_seed,
    Kind.PLACEMENT: run_placement_seed,
    Kind.RECUTS: run_recuts_seed,
    Kind.BACKLOG: run_backlog_seed,
    Kind.TERMS: run_terms_seed,
}


class LeaseErrors:
    """Counts both errors about leases: tasks that were started twice, and waits for ended VMs."""

    def __init__(self) -> None:
        self._run_twice = 0
        self._mixes = 0
        self._waits_s: list[float] = []

    def add(self, result: MixResult) -> None:
        """Count the errors of a mix."""
        run_twice = sum(text.startswith("runs twice") for text in result.violations)
        self._run_twice += run_twice
        self._mixes += run_twice > 0
        self._waits_s += result.waits_s

    def summary(self) -> str:
        """Return both errors, the waits with their median and their 90th percentile."""
        waits = sorted(self._waits_s)
        text = f"{self._run_twice} tasks ran twice, in {self._mixes} mixes"
        if not waits:
            return text
        middle, high = waits[len(waits) // 2], waits[len(waits) * 9 // 10]
        mean = sum(waits) / len(waits)
        return (
            f"{text}; {len(waits)} tasks waited for an ended VM,"
            f" {mean:.2f} s on average, {middle:.2f} s at the median, {high:.2f} s at 90 %"
        )


def main(
    first: Annotated[int, typer.Option(help="First seed.")] = 0,
    count: Annotated[int, typer.Option(help="How many seeds.")] = 200,
    kind: Annotated[Kind, typer.Option(help="What the mixes are drawn from.")] = Kind.ALL,
) -> None:
    """Run some mixes and print those that violate an invariant."""
    started_at = time.monotonic()
    failed = 0
    errors = LeaseErrors()
    with Pool(WORKER_PROCESSES) as pool:
        for result in pool.imap_unordered(RUNNERS[kind], range(first, first + count)):
            errors.add(result)
            if result.violations:
                failed += 1
                typer.echo(f"seed {result.seed} {result.faults}: {result.violations[:3]}")
    seconds = time.monotonic() - started_at
    typer.echo(f"{count} mixes, {failed} bad, {seconds:.0f} s")
    if kind in (Kind.LEASES, Kind.STEPS, Kind.RECUTS):
        typer.echo(errors.summary())
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
