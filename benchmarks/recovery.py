"""Recovery measured in virtual time: takeovers, log outages, revisions, drains and appends."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import msgspec
import numpy

from sablemount.core import events
from sablemount.core.config import CoreSettings
from sablemount.core.documents import Kind, PriorityClass, Shape, TemplateDocument
from tests.fakes.cell import VirtualCell
from tests.fakes.log import LogMode

__all__ = ["measure_all"]

SEEDS = (1, 2, 3)
MEMBERS = 6
VMS = 24
SHARDS = 12
OUTAGE_S = 600.0
QUOTE = TemplateDocument("rueda", "quote", Kind.REQUEST, PriorityClass.URGENT, Shape(slots=1))
TASK = TemplateDocument(
    "yard", "claims", Kind.TASK, PriorityClass.BATCH, Shape(cores=4), expected_seconds=5.0
)
SLOW = msgspec.structs.replace(TASK, name="slow", shape=Shape(cores=16), expected_seconds=30.0)
LONG = msgspec.structs.replace(TASK, name="long", expected_seconds=3600.0, checkpointable=True)


class Spread(msgspec.Struct, frozen=True):
    """The median and the range of a figure over the seeds."""

    median: float
    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.median:.3g} ({self.low:.3g}-{self.high:.3g})"


def _cell(seed: int) -> VirtualCell:
    cell = VirtualCell(MEMBERS, VMS, seed, CoreSettings(shards=SHARDS), halls=4)
    cell.run_until(cell.settled, 30.0)
    cell.run(2.0)
    cell.publish_all([QUOTE, TASK, SLOW, LONG])
    return cell


def _time_until_settled(cell: VirtualCell) -> float:
    cell.run(0.1)
    return 0.1 + cell.run_until(cell.settled, 60.0)


def crash_take_over(seed: int) -> float:
    """Return the seconds from a crash until the recovery of every shard is complete."""
    cell = _cell(seed)
    cell.crash("s1")
    return _time_until_settled(cell)


def pause_take_over(seed: int) -> float:
    """Return the seconds from a pause until other members have recovered all shards."""
    cell = _cell(seed)
    cell.pause("s1", 30.0)
    return _time_until_settled(cell)


def crash_with_vm_take_over(seed: int) -> float:
    """Return the seconds until all shards are recovered after an owner and one of its VMs fail."""
    cell = _cell(seed)
    core = cell.members["s1"].core.state
    vm = next(vm for shard in core.held_shards for vm in core.shard_vms[shard])
    cell.crash("s1")
    cell.workers[vm].fail()
    return _time_until_settled(cell)


def planned_gap(seed: int) -> float:
    """Return the longest time without an active owner of a shard during a planned stop."""
    cell = _cell(seed)
    cell.members["s1"].handle(events.StopRequested())
    longest, gaps = 0.0, dict.fromkeys(range(SHARDS), 0.0)
    while not (cell.members["s1"].stopped and cell.settled()):
        cell.run(0.02)
        active = {
            shard
            for member in cell.live()
            for shard in member.core.state.held_shards
            if member.core.state.is_active(shard)
            and member.core.state.held_shards[shard].recovery_complete
        }
        for shard in gaps:
            gaps[shard] = 0.0 if shard in active else gaps[shard] + 0.02
            longest = max(longest, gaps[shard])
    return longest


def quotes_lost(seed: int) -> float:
    """Return how many quotes fail if a scheduler is killed at 300 quotes per second."""
    cell = _cell(seed)
    requested: dict[str, str] = {}

    def request_quote(index: int) -> None:
        member = cell.live()[index % len(cell.live())].name
        requested[cell.request("rueda/quote", member, name=f"q{index}")] = member

    for index in range(3_000):
        cell.after(index / 300, lambda index=index: request_quote(index))  # type: ignore[misc]
    cell.after(5.0, lambda: cell.crash("s1"))
    cell.run(15.0)
    succeeded = sum(result.is_ok() for result in cell.answers.values())  # type: ignore[attr-defined]
    return len(requested) - succeeded


def _count_starts(cell: VirtualCell, seconds: float) -> int:
    before = cell.truth.starts.total()
    cell.run(seconds)
    return cell.truth.starts.total() - before


def _submit_backlog(cell: VirtualCell) -> None:
    for index in range(2):
        cell.submit("yard/slow", f"backlog-{index}", 1_000, f"s{index}", wait=60.0)
    cell.run(30.0)


def outage_share(seed: int, with_crash: bool = False) -> float:
    """Return the rate of starts in a 10-minute log outage as a share of the rate without one."""
    cell = _cell(seed)
    _submit_backlog(cell)
    normal = _count_starts(cell, 60.0) / 60.0
    cell.log.mode = LogMode.DOWN
    if with_crash:
        cell.after(60.0, lambda: cell.crash("s1"))
    return _count_starts(cell, OUTAGE_S) / OUTAGE_S / normal


def outage_share_silent(seed: int) -> float:
    """Return the same share, with a member that crashes 60 s into the outage."""
    return outage_share(seed, with_crash=True)


def _time_until_applied(cell: VirtualCell, expected: int) -> float:
    revised = msgspec.structs.replace(TASK, expected_seconds=4.0 + expected)
    cell.publish(revised, expected)

    def applied_by_all() -> bool:
        rows = (m.core.state.ledger.documents["yard/claims"] for m in cell.live())
        return all(row.revision > expected for row in rows)

    return cell.run_until(applied_by_all, 30.0)


def revision_calm(seed: int) -> float:
    """Return the time until all members have applied a revision, in seconds."""
    return _time_until_applied(_cell(seed), 1)


def revision_slow(seed: int) -> float:
    """Return the time until all members have applied a revision, if the log takes 0.8 s."""
    cell = _cell(seed)
    cell.log_delay = 0.4
    cell.run(5.0)
    return _time_until_applied(cell, 1)


def revision_after_outage(seed: int) -> float:
    """Return the time until all have applied a revision published after a 10-minute outage."""
    cell = _cell(seed)
    cell.log.mode = LogMode.DOWN
    cell.run(OUTAGE_S)
    cell.log.mode = LogMode.UP
    return _time_until_applied(cell, 1)


def drain_time(seed: int) -> float:
    """Return the time from a drain until a VM with checkpointable tasks is empty, in seconds."""
    cell = _cell(seed)
    cell.submit("yard/long", "long", 40)
    cell.run(3.0)
    vm = next(worker for worker in cell.workers.values() if worker.used().cores)
    member = cell.members["s2"]
    member.handle(events.DrainRequested("d", vm.facts.vm, True, member.clock() + 10))
    return cell.run_until(lambda: not vm.used().cores, 30.0)


def _append_rate(cell: VirtualCell, seconds: float) -> float:
    before = cell.log.appends
    cell.run(seconds)
    return (cell.log.appends - before) / seconds


def appends_calm(seed: int) -> float:
    """Return the appends per second without work."""
    return _append_rate(_cell(seed), 30.0)


def appends_working(seed: int) -> float:
    """Return the appends per second while about one task per second starts and ends."""
    cell = _cell(seed)
    _submit_backlog(cell)
    return _append_rate(cell, 30.0)


def appends_recovery(seed: int) -> float:
    """Return the appends per second in the 10 s after a crash under the same work."""
    cell = _cell(seed)
    _submit_backlog(cell)
    cell.crash("s1")
    return _append_rate(cell, 10.0)


FIGURES: list[tuple[str, str, Callable[[int], float]]] = [
    ("take-over after a crash", "s", crash_take_over),
    ("take-over from a paused scheduler", "s", pause_take_over),
    ("take-over after a crash, with a VM lost too", "s", crash_with_vm_take_over),
    ("planned stop, longest gap of a shard", "s", planned_gap),
    ("quotes unanswered after a kill, 300/s offered", "", quotes_lost),
    ("starts in a 10-minute outage, share of normal", "", outage_share),
    ("the same, a member dies after 60 s", "", outage_share_silent),
    ("revision in force everywhere, calm", "s", revision_calm),
    ("revision in force everywhere, slow log (0.8 s)", "s", revision_slow),
    ("revision in force everywhere, after an outage", "s", revision_after_outage),
    ("drain of a VM with checkpointable tasks", "s", drain_time),
    ("appends, calm", "/s", appends_calm),
    ("appends, 0.8 tasks/s", "/s", appends_working),
    ("appends, 10 s after a crash at 0.8 tasks/s", "/s", appends_recovery),
]


def measure_all(seeds: tuple[int, ...] = SEEDS) -> dict[str, Spread]:
    """Measure all figures with each seed, print them as a table, and return them by name."""
    spreads = {}
    print(f"| figure ({MEMBERS} members, {VMS} VMs, {SHARDS} shards) | median (range) |")
    print("|---|---|")
    with ProcessPoolExecutor() as pool:
        running = [[pool.submit(measure, seed) for seed in seeds] for _, _, measure in FIGURES]
        measured = [[future.result() for future in futures] for futures in running]
    for (title, unit, measure), values in zip(FIGURES, measured, strict=True):
        spread = Spread(float(numpy.median(values)), min(values), max(values))
        spreads[measure.__name__] = spread
        print(f"| {title} | {spread} {unit} |", flush=True)
    return spreads


if __name__ == "__main__":
    measure_all()
