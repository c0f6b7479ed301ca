"""Policy under load: waiting, packing, yielded work and control cost, against plain policies.

Runs the real cores of three schedulers over the stand-ins in virtual time, for both deployments
and their loads, over several seeds. It generates load and measures; it decides nothing.
"""

import random
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import msgspec
import numpy

from benchmarks.baselines import POLICIES, policy
from sablemount.core import actions
from sablemount.core.config import CoreSettings, Weights
from sablemount.core.documents import (
    Document,
    Kind,
    OrganisationDocument,
    Preferences,
    PriorityClass,
    Shape,
    TemplateDocument,
)
from tests.fakes.cell import Member, VirtualCell
from tests.fakes.worker import Truth

__all__ = ["LOADS", "PolicyFigures", "main", "run_load"]

SECONDS = 90.0
WARM_UP = 20.0
EVENT_AT = 35.0
SEEDS = (1, 2, 3)
VMS = 24
CORES = 16
URGENT = PriorityClass.URGENT
BATCH = PriorityClass.BATCH
SPARE = PriorityClass.SPARE
STANDARD = PriorityClass.STANDARD


class Deployment(msgspec.Struct, frozen=True):
    """One of the two users: halls, service time of a request, and what a placement weighs."""

    name: str
    halls: int
    service_time: float
    packing: float


RUEDA = Deployment("valle-aburra", 4, 0.015, 0.4)
CAIRO = Deployment("cairo", 3, 0.01, 0.7)


class PolicyFigures(msgspec.Struct, frozen=True):
    """What one run measured; times in seconds, yielded work in core seconds."""

    urgent_p50: float
    urgent_p99: float
    batch_p50: float
    batch_p99: float
    quote_p50: float
    quote_p99: float
    packing: float
    done: float
    yielded: float
    cpu: float
    violations: int


class TimedTruth(Truth):
    """Keeps when each task first started."""

    def __init__(self) -> None:
        super().__init__()
        self.first: dict[str, float] = {}

    def began(self, task: str, vm: str, now: float) -> None:
        super().began(task, vm, now)
        self.first.setdefault(task, now)


def _task(
    name: str, priority: PriorityClass, cores: int, memory: int, seconds: float
) -> TemplateDocument:
    return TemplateDocument(
        "rueda" if priority is URGENT else "yard",
        name,
        Kind.TASK,
        priority,
        Shape(cores=cores, memory_mb=memory),
        checkpointable=name.startswith("claims"),
        expected_seconds=seconds,
    )


TEMPLATES = [
    _task("claims-small", BATCH, 1, 3_000, 12.0),
    _task("claims-large", BATCH, 4, 20_000, 25.0),
    _task("plan", BATCH, 3, 6_000, 15.0),
    _task("stock", SPARE, 2, 12_000, 20.0),
    _task("rebalance", URGENT, 3, 6_000, 6.0),
    _task("dispatch-now", URGENT, 8, 16_000, 4.0),
]
SERVICE = TemplateDocument(
    "rueda",
    "despacho",
    Kind.SERVICE,
    STANDARD,
    Shape(cores=3, memory_mb=6_000),
    replicas=24,
    preferences=Preferences(spread=True),
)
QUOTE = TemplateDocument("rueda", "quote", Kind.REQUEST, URGENT, Shape(slots=1))
ORGANISATIONS = [OrganisationDocument("rueda", weight=2.0), OrganisationDocument("yard")]


class LoadRun:
    """One cell under one load."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        weights = Weights(packing=deployment.packing)
        settings = CoreSettings(shards=3, weights=weights)
        self.truth = TimedTruth()
        self.cell = VirtualCell(
            3,
            VMS,
            seed,
            settings,
            halls=deployment.halls,
            truth=self.truth,
            service_time=deployment.service_time,
        )
        self.rng = random.Random(seed)
        self.submitted: dict[str, float] = {}
        self.classes: dict[str, PriorityClass] = {}
        self.asked: dict[str, float] = {}
        self.quote_waits: list[float] = []
        self.packing: list[float] = []
        self._numbers = 0
        self.cell.observers.append(self._observe)

    def _observe(self, member: Member, action: actions.Action) -> None:
        if isinstance(action, actions.Serve):
            asked = self.asked.pop(action.request, None)
            if asked is not None:
                self.quote_waits.append(self.cell.now - asked)

    # -- Load --------------------------------------------------------------------------------

    def prepare(self, documents: list[Document]) -> None:
        """Start the cell and publish the documents."""
        self.cell.run_until(self.cell.settled, 30.0)
        self.cell.run(1.0)
        self.cell.publish_all(documents)

    def submit(self, template: TemplateDocument, count: int) -> None:
        """Submit one job now, at a random scheduler."""
        self._numbers += 1
        job = f"j{self._numbers}"
        key = f"{template.organisation}/{template.name}"
        self.cell.submit(key, job, count, self.rng.choice(self.cell.names))
        for index in range(count):
            task = job if count == 1 else f"{job}.{index}"
            self.submitted[task] = self.cell.now
            self.classes[task] = template.priority

    def arrivals(self, rate: float, until: float, call: Callable[[], None]) -> None:
        """Call at random times with a mean rate a second."""
        wait = self.rng.expovariate(rate)
        if self.cell.now + wait < until:
            self.cell.after(wait, lambda: (call(), self.arrivals(rate, until, call)))  # type: ignore[func-returns-value]

    def quote(self) -> None:
        """Ask for one quote at a random scheduler."""
        self._numbers += 1
        request = f"q{self._numbers}"
        self.asked[request] = self.cell.now
        self.cell.request("rueda/quote", self.rng.choice(self.cell.names), name=request)

    def batch(self, share: float, until: float) -> None:
        """Offer batch work that would keep a share of the cores busy."""
        templates = TEMPLATES[:4]
        size = 6
        work = sum(t.shape.cores * t.expected_seconds for t in templates) / len(templates)
        rate = share * VMS * CORES / (work * size)
        self.arrivals(rate, until, lambda: self.submit(self.rng.choice(templates), size))

    def sample(self, until: float) -> None:
        """Sample the packing once a second."""
        workers = [worker for worker in self.cell.workers.values() if worker.up]
        used = [worker.used().cores for worker in workers]
        busy = sum(1 for cores in used if cores)
        if busy and self.cell.now > WARM_UP:
            self.packing.append(sum(used) / (busy * CORES))
        if self.cell.now < until:
            self.cell.after(1.0, lambda: self.sample(until))

    # -- Figures -----------------------------------------------------------------------------

    def waits(self, priorities: set[PriorityClass]) -> list[float]:
        """Return the waiting times of tasks; one that has not started waits until the end."""
        return [
            self.truth.first.get(task, self.cell.now) - since
            for task, since in self.submitted.items()
            if self.classes[task] in priorities and since > WARM_UP
        ]

    def figures(self, cpu: float) -> PolicyFigures:
        """Return what was measured."""
        urgent = self.waits({URGENT})
        batch = self.waits({BATCH, SPARE})
        lost = sum(
            member.core.state.meter.total("preempted_core_ms")
            for member in self.cell.members.values()
        )
        placed = len(self.truth.first)
        return PolicyFigures(
            *_quantiles(urgent),
            *_quantiles(batch),
            *_quantiles(self.quote_waits),
            float(numpy.mean(self.packing)),
            placed,
            lost / 1000,
            cpu / max(1, placed + len(self.quote_waits)) * 1e6,
            len(self.truth.violations),
        )


def _quantiles(values: list[float]) -> tuple[float, float]:
    if not values:
        return 0.0, 0.0
    p50, p99 = numpy.percentile(values, [50, 99])
    return float(p50), float(p99)


def _night(run: LoadRun, end: float) -> None:
    run.batch(1.15, end)
    run.arrivals(60.0, end, run.quote)
    run.arrivals(0.4, end, lambda: run.submit(TEMPLATES[4], 2))
    run.arrivals(0.1, end, lambda: run.submit(TEMPLATES[5], 1))


def _shift_start(run: LoadRun, end: float) -> None:
    run.batch(1.1, end)
    run.arrivals(150.0, end, run.quote)
    run.cell.after(EVENT_AT, lambda: run.submit(TEMPLATES[4], 60))
    run.cell.after(EVENT_AT + 5.0, lambda: run.submit(TEMPLATES[5], 8))


def _opening(run: LoadRun, end: float) -> None:
    run.batch(0.9, end)
    run.arrivals(300.0, end, run.quote)
    run.arrivals(0.5, end, lambda: run.submit(TEMPLATES[4], 2))


def _hall_lost(run: LoadRun, end: float) -> None:
    _opening(run, end)

    def lose() -> None:
        for worker in run.cell.workers.values():
            if worker.facts.hall == "hall-1":
                worker.fail()

    run.cell.after(EVENT_AT, lose)


LOADS: dict[str, tuple[Callable[[LoadRun, float], None], bool]] = {
    "night batch with quotes": (_night, False),
    "shift-start rush": (_shift_start, False),
    "opening hours": (_opening, True),
    "a hall lost at peak": (_hall_lost, True),
}


def run_load(deployment: Deployment, load: str, policy_name: str, seed: int) -> PolicyFigures:
    """Run one load under one policy and seed."""
    with policy(policy_name):
        run = LoadRun(deployment, seed)
        offer, services = LOADS[load]
        run.prepare([*ORGANISATIONS, *TEMPLATES, QUOTE, *([SERVICE] if services else [])])
        end = run.cell.now + SECONDS
        offer(run, end)
        run.sample(end)
        begun = time.process_time()
        run.cell.run(SECONDS)
        return run.figures(time.process_time() - begun)


Key = tuple[str, str, str]


def run_all(policies: list[str], seeds: tuple[int, ...] = SEEDS) -> dict[Key, list[PolicyFigures]]:
    """Run every load of both deployments under each policy and seed."""
    found: dict[Key, list[PolicyFigures]] = defaultdict(list)
    with ProcessPoolExecutor() as pool:
        futures = [
            (
                (deployment.name, load, name),
                pool.submit(run_load, deployment, load, name, seed),
            )
            for deployment in (RUEDA, CAIRO)
            for load in LOADS
            for name in policies
            for seed in seeds
        ]
        for key, future in futures:
            found[key].append(future.result())
    return found


COLUMNS = (
    ("urgent p50 s", "urgent_p50", 1.0),
    ("urgent p99 s", "urgent_p99", 1.0),
    ("batch p50 s", "batch_p50", 1.0),
    ("batch p99 s", "batch_p99", 1.0),
    ("quote p50 ms", "quote_p50", 1000.0),
    ("quote p99 ms", "quote_p99", 1000.0),
    ("packing %", "packing", 100.0),
    ("tasks started", "done", 1.0),
    ("yielded core s", "yielded", 1.0),
    ("cpu us/start", "cpu", 1.0),
)


def _cell(values: list[float], scale: float) -> str:
    middle = float(numpy.median(values)) * scale
    return f"{middle:.3g} ({min(values) * scale:.3g}-{max(values) * scale:.3g})"


def print_tables(found: dict[Key, list[PolicyFigures]]) -> None:
    """Print one table a deployment and load: the median over the seeds, and the range."""
    groups: dict[tuple[str, str], dict[str, list[PolicyFigures]]] = defaultdict(dict)
    for (deployment, load, name), figures in found.items():
        groups[deployment, load][name] = figures
    for (deployment, load), rows in groups.items():
        print(f"\n### {deployment}: {load}\n")
        print("| policy | " + " | ".join(title for title, _, _ in COLUMNS) + " |")
        print("|---" * (len(COLUMNS) + 1) + "|")
        for name, figures in rows.items():
            cells = [
                _cell([getattr(item, field) for item in figures], scale)
                for _, field, scale in COLUMNS
            ]
            print(f"| {name} | " + " | ".join(cells) + " |")


def main() -> None:
    """Run the comparison and print its tables; ``--ours`` runs our policy alone."""
    names = ["ours"] if "--ours" in sys.argv else list(POLICIES)
    found = run_all(names)
    print_tables(found)
    broken = sum(item.violations for figures in found.values() for item in figures)
    print(f"\nviolated invariants: {broken}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
