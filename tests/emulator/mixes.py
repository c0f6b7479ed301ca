"""Runs traffic and faults on an emulated system, and returns the violations found."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence

from sablemount.control.gate import key_digest
from sablemount.jobs.model import Organisation, Shape
from tests.emulator.faults import Fault
from tests.emulator.job_model import JobModel
from tests.emulator.spread_jobs import SpreadJobs
from tests.emulator.system import OTHER_PREFIX, PREFIX, System
from tests.emulator.vms import emulated_wall_ms

__all__ = [
    "organisations",
    "run_connection_mix",
    "run_job_mix",
    "run_lease_mix",
    "run_measured_lease_mix",
    "run_mix",
    "run_organisation_mix",
    "run_recut_mix",
    "run_spread_mix",
    "run_store_mix",
    "run_system",
]

Background = Callable[[System, random.Random], Coroutine[object, object, None]]
"""Work that runs concurrently with the traffic."""
SETTLE_TIMEOUT_S = 60.0
"""Seconds within which every accepted job has to end after all faults are cleared."""
OPERATOR_RETRY_DELAY_S = 0.05
"""Seconds after which the operator retries a write to a store that is down."""
CAPS_MILLICORES = (40_000, 46_000, 60_000)
"""Caps of the smaller organisation in thousandths of a core; each fits the widest gang."""

FEW_CONNECTIONS = 16
MANY_CONNECTIONS = 64
MODEL_TASK_SECONDS = 0.4
"""Mean seconds of a task of the whole job model, whose jobs have more tasks."""
LONG_TASK_SECONDS = 4.0
"""Mean seconds of a task that mostly outlasts the cuts of its VM."""
OUTLASTING_TASK_SECONDS = 30.0
RECUT_VMS = 16
"""Number of VMs of which some restart, enough that the others have room for what ran there."""
MAX_LONG_TASK_SECONDS = 12.0
"""Limit of such tasks where few of a step run at once, so that the step ends in time."""
SPREAD_JOBS = 12
SPREAD_JOB_INTERVAL_S = 0.6
SPREAD_CAPS_MILLICORES = (6_000, 10_000, 20_000)
"""Caps of an organisation whose steps are mostly held back by their spread."""
SMALL_PAGE_RECORDS = 7
"""Records on a page so small that the persistent state needs many pages."""


async def run_mix(seed: int, chosen: Sequence[Fault], advice: bool = False) -> list[str]:
    """Inject faults while jobs are submitted and some of them cancelled."""
    system = System(seed, advice=advice)
    return await run_system(system, seed, chosen, system.traffic("a", 60, 0.2), _cancel_some)


async def run_connection_mix(seed: int, chosen: Sequence[Fault], advice: bool = False) -> list[str]:
    """Inject faults that leave connections at VMs, most of which take few of them."""
    system = System(seed, members=5, advice=advice)
    system.limit_connections(FEW_CONNECTIONS if seed % 4 else MANY_CONNECTIONS)
    return await run_system(system, seed, chosen, system.traffic("a", 150, 0.2), _cancel_some)


async def run_organisation_mix(
    seed: int, chosen: Sequence[Fault], advice: bool = False
) -> list[str]:
    """Inject faults with callers of two organisations, one of which has a changing cap."""
    system = System(seed, advice=advice)
    system.configure(2, organisations=organisations(CAPS_MILLICORES[0]))
    callers = ("rueda", "rueda", "yard")
    traffic = system.traffic("a", 90, 0.1, callers)
    return await run_system(system, seed, chosen, traffic, _change_caps)


async def run_store_mix(seed: int, chosen: Sequence[Fault], advice: bool = False) -> list[str]:
    """Inject faults of the store and changes of leader, with small pages for odd seeds."""
    system = System(seed, advice=advice)
    system.store.page_records = SMALL_PAGE_RECORDS if seed % 2 else system.store.page_records
    return await run_system(system, seed, chosen, system.traffic("a", 100, 0.12), _cancel_some)


async def run_lease_mix(seed: int, chosen: Sequence[Fault], advice: bool = False) -> list[str]:
    """Inject faults of VMs that cannot be reached, with tasks that last for most of a lease."""
    return (await run_measured_lease_mix(seed, chosen, advice))[0]


async def run_measured_lease_mix(
    seed: int, chosen: Sequence[Fault], advice: bool = False
) -> tuple[list[str], list[float]]:
    """Run such a mix; return the violations, and how long each task that was lost has waited."""
    system = System(seed, advice=advice)
    system.cell.mean_task_seconds = LONG_TASK_SECONDS
    traffic = system.traffic("a", 40, 0.4)
    violations = await run_system(system, seed, chosen, traffic, _cancel_some)
    return violations, system.cell.waits_s


async def run_recut_mix(seed: int, chosen: Sequence[Fault], advice: bool = False) -> list[str]:
    """Inject faults of VMs that restart and are cut off, with tasks that mostly outlast both."""
    system = System(seed, vms=RECUT_VMS, advice=advice)
    system.cell.resets_open_calls = True
    system.cell.mean_task_seconds = OUTLASTING_TASK_SECONDS
    system.cell.max_task_seconds = MAX_LONG_TASK_SECONDS
    return await run_system(system, seed, chosen, system.traffic("a", 24, 0.6), _cancel_few)


async def run_job_mix(seed: int, chosen: Sequence[Fault], advice: bool = False) -> list[str]:
    """Inject faults with jobs of the whole job model, which are cancelled at any moment."""
    system = System(seed, advice=advice)
    system.emulates_time_of_day = True
    system.cell.mean_task_seconds = MODEL_TASK_SECONDS
    model = JobModel(random.Random(seed + 5), emulated_wall_ms)
    return await run_system(
        system, seed, chosen, system.model_traffic(model, 60, 0.2), _cancel_some
    )


async def run_spread_mix(seed: int, chosen: Sequence[Fault], advice: bool = False) -> list[str]:
    """Inject faults beside steps whose spread binds, with labels of two kinds and two pools."""
    kinds = ("a", "b")
    system = System(seed, vms=8, advice=advice, pools=("pool", "other"), kinds=kinds)
    system.emulates_time_of_day = True
    system.cell.mean_task_seconds = LONG_TASK_SECONDS
    system.cell.max_task_seconds = MAX_LONG_TASK_SECONDS
    rng = random.Random(seed + 5)
    jobs = SpreadJobs(rng, kinds, emulated_wall_ms)
    callers = ("",)
    if seed % 3 == 0:
        callers = ("rueda", "yard")
        system.configure(2, organisations=organisations(rng.choice(SPREAD_CAPS_MILLICORES)))
    traffic = _submit_spread_jobs(system, rng, jobs, callers)
    return await run_system(system, seed, chosen, traffic, _cancel_few)


async def _submit_spread_jobs(
    system: System, rng: random.Random, jobs: SpreadJobs, callers: tuple[str, ...]
) -> None:
    tasks = []
    for number in range(SPREAD_JOBS):
        prefix = rng.choice((PREFIX, PREFIX, OTHER_PREFIX))
        submission = system.submit(f"s{number:04x}", jobs.job(), rng.choice(callers), prefix)
        tasks.append(asyncio.create_task(submission))
        await asyncio.sleep(rng.expovariate(1.0 / SPREAD_JOB_INTERVAL_S))
    await asyncio.wait(tasks)


def organisations(cores: int) -> tuple[Organisation, ...]:
    """Return an organisation with a cap and one without; the key of each is its name."""
    names = ("rueda", "yard")
    caps = (Shape(cores=cores), Shape())
    return tuple(
        Organisation(name, (key_digest(name.encode()),), cap=cap)
        for name, cap in zip(names, caps, strict=True)
    )


async def run_system(
    system: System,
    seed: int,
    chosen: Sequence[Fault],
    traffic: Coroutine[object, object, None],
    background: Background,
) -> list[str]:
    system.store.outbound_share = (0.0, 1.0)
    system.cell.delayed_share = 0.02
    system.start_all()
    await asyncio.sleep(1.0)
    rng = random.Random(seed + 7)
    traffic_task = asyncio.create_task(traffic)
    background_task = asyncio.create_task(background(system, rng))
    for fault in chosen:
        await asyncio.sleep(rng.uniform(0.2, 2.5))
        asyncio.create_task(fault(system, rng))
    await traffic_task
    await background_task
    await asyncio.sleep(9.0)
    await system.settle(SETTLE_TIMEOUT_S)
    return await system.find_violations()


async def _cancel_some(system: System, rng: random.Random) -> None:
    for _ in range(6):
        await asyncio.sleep(2.0)
        if system.accepted:
            await system.cancel(rng.choice(sorted(system.accepted)))


async def _cancel_few(system: System, rng: random.Random) -> None:
    for _ in range(2):
        await asyncio.sleep(rng.uniform(2.0, 8.0))
        if system.accepted:
            await system.cancel(rng.choice(sorted(system.accepted)))


async def _change_caps(system: System, rng: random.Random) -> None:
    for version in range(3, 9):
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        while system.store.down or system.store.refusal_share:
            # A configuration applies from the store's reply on.
            await asyncio.sleep(OPERATOR_RETRY_DELAY_S)
        system.configure(version, organisations=organisations(rng.choice(CAPS_MILLICORES)))
