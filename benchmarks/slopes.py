"""Growth of state, messages, processor time and memory, each measured at four sizes or more.

Prints every measured point, the fitted lines with their largest residuals, and the values of the
lines at the target size. Each point is measured in a process of its own.
"""

import asyncio
import gc
import os
import tempfile
import time
import zlib
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec
import numpy

from benchmarks.placement import resident_bytes
from benchmarks.procs import DaemonCell
from benchmarks.solo import Solo, make_facts
from sablemount.core import actions, records
from sablemount.core.config import CoreSettings
from sablemount.core.documents import Kind, PriorityClass, Shape, TemplateDocument
from sablemount.core.image import pack_image
from sablemount.core.ledger import Ledger
from sablemount.core.ledger_image import image_of
from sablemount.core.messages import encode_message
from sablemount.core.records import Batch, Record, Writer, encode_batch
from sablemount.core.rows import LogEntry
from tests.fakes.cell import VirtualCell

__all__ = ["main"]

TARGET_VMS = 24_000
TARGET_TASKS = 110_000
TARGET_MEMBERS = 9
TARGET_STARTS_PER_S = 4_600
TASKS_PER_VM = TARGET_TASKS / TARGET_VMS
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PLAN = TemplateDocument(
    "org", "plan", Kind.TASK, PriorityClass.BATCH, Shape(cores=2), expected_seconds=1e6
)
SHORT = msgspec.structs.replace(PLAN, name="short", expected_seconds=0.3)


class Point(msgspec.Struct, frozen=True):
    """A measured size and its figures by name."""

    size: float
    figures: dict[str, float]


class Line(msgspec.Struct, frozen=True):
    """A fitted line, and its largest residual as a share of the largest value."""

    slope: float
    constant: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.constant + self.slope * size


def fit(points: list[Point], name: str) -> Line:
    """Fit a line to one figure of the points by least squares."""
    sizes = numpy.array([point.size for point in points])
    values = numpy.array([point.figures[name] for point in points])
    slope, constant = numpy.polyfit(sizes, values, 1)
    residual = numpy.abs(values - (constant + slope * sizes)).max()
    return Line(float(slope), float(constant), float(residual / max(values.max(), 1e-12)))


# -- The core --------------------------------------------------------------------------------


def owned_vms(vms: int) -> Point:
    """Measure processor time per second and memory of a core that owns VMs with running tasks."""
    gc.collect()
    before = resident_bytes()
    settings = CoreSettings(shards=16, placements_per_tick=5_000)
    solo = Solo(make_facts(vms), settings)
    solo.run(3.0)
    solo.publish(PLAN)
    for index in range(int(vms * TASKS_PER_VM) // 500):
        solo.submit("org/plan", f"j{index}", 500)
        solo.run(0.2)
    solo.run(5.0)
    gc.collect()
    memory = resident_bytes() - before
    polls, begun = solo.polls, time.process_time()
    solo.run(5.0)
    cpu = (time.process_time() - begun) / 5.0
    rate = (solo.polls - polls) / 5.0
    return Point(vms, {"core cpu s/s": cpu, "memory MB": memory / 1e6, "polls/s": rate})


def started_tasks(count: int) -> Point:
    """Measure processor time and log traffic of tasks from submission to their recorded end."""
    solo = Solo(make_facts(1_500), CoreSettings(shards=16, placements_per_tick=5_000))
    solo.run(3.0)
    solo.publish(SHORT)
    idle = time.process_time()
    solo.run(6.0)
    idle = (time.process_time() - idle) / 6.0
    appends, size = solo.log.appends, sum(len(entry.payload) for entry in solo.log.entries)
    begun = time.process_time()
    for index in range(10):
        solo.submit("org/short", f"j{index}", count // 10)
        solo.run(0.5)
    solo.run(7.0)
    cpu = time.process_time() - begun - 12.0 * idle
    done = sum(1 for row in solo.core.state.ledger.tasks.values() if row.verdict == "DONE")
    written = sum(len(entry.payload) for entry in solo.log.entries) - size
    figures = {
        "core cpu s": cpu,
        "log bytes": written,
        "appends": solo.log.appends - appends,
        "done": done,
    }
    return Point(count, figures)


def ledger_tasks(count: int) -> Point:
    """Measure time, memory and snapshot size of a ledger with tasks of other schedulers."""
    gc.collect()
    before = resident_bytes()
    ledger = Ledger(64)
    writer = Writer("a", 1)
    bodies = [records.Join("hall"), records.Publish("org/plan", 0, PLAN, "ana")]
    bodies += [
        records.Accept(f"job-{index}", "org/plan", 0, 50, 50, index % 64, {})
        for index in range(count // 50)
    ]
    payload = encode_batch(Batch(writer, 1, 0, tuple(map(Record, range(len(bodies)), bodies))))
    begun = time.process_time()
    ledger.apply(LogEntry(1, 1.0, payload))
    cpu = time.process_time() - begun
    del bodies, payload
    gc.collect()
    memory = resident_bytes() - before
    image = image_of(ledger)
    snapshot = pack_image(image)
    raw = len(zlib.decompress(snapshot))
    figures = {
        "fold cpu s": cpu,
        "memory MB": memory / 1e6,
        "snapshot MB": len(snapshot) / 1e6,
        "raw MB": raw / 1e6,
    }
    return Point(count, figures)


def published_documents(count: int) -> Point:
    """Measure processor time and log bytes of applying revisions."""
    ledger = Ledger(64)
    size = 0
    begun = time.process_time()
    writer = Writer("a", 1)
    for sequence in range(count):
        name = f"t{sequence % 140}"
        document = msgspec.structs.replace(PLAN, name=name, parameters={"shift": str(sequence)})
        body = records.Publish(f"org/{name}", sequence // 140, document, "ana")
        first = (Record(0, records.Join("hall")),) if not sequence else ()
        batch = Batch(writer, sequence + 1, 0, (*first, Record(1, body)))
        payload = encode_batch(batch)
        size += len(payload)
        ledger.apply(LogEntry(sequence + 1, 1.0, payload))
    return Point(count, {"cpu s": time.process_time() - begun, "log bytes": size})


def gossiping_members(members: int) -> Point:
    """Measure messages and bytes per second of each idle member, and appends of all members."""
    cell = VirtualCell(members=members, vms=12, settings=CoreSettings(shards=16))
    cell.run(10.0)
    sent = [0, 0]

    def observe(member: object, action: actions.Action) -> None:
        if isinstance(action, actions.SendPeer):
            sent[0] += 1
            sent[1] += len(encode_message(action.message))

    cell.observers.append(observe)
    appends = cell.log.appends
    cell.run(20.0)
    figures = {
        "messages/s": sent[0] / 20.0 / members,
        "bytes/s": sent[1] / 20.0 / members,
        "appends/s": (cell.log.appends - appends) / 20.0,
    }
    return Point(members, figures)


# -- Whole processes -------------------------------------------------------------------------


def daemon_workers(workers: int) -> Point:
    """Measure processor time, memory and traffic of a daemon with four tasks per worker."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_daemon_workers(Path(folder), workers))


async def _daemon_workers(folder: Path, workers: int) -> Point:
    cell = DaemonCell(folder, 1, workers, CoreSettings(shards=4))
    try:
        await cell.start_all()
        await cell.publish([PLAN])
        await cell.call("s0", "POST", "/v1/jobs", {"template": "org/plan", "count": 4 * workers})
        await asyncio.sleep(4.0)
        pid = cell.processes["s0"].pid
        before, sent = _cpu(pid), await _control_bytes(cell)
        begun = time.monotonic()
        await asyncio.sleep(8.0)
        elapsed = time.monotonic() - begun
        cpu = (_cpu(pid) - before) / elapsed
        traffic = (await _control_bytes(cell) - sent) / elapsed
        return Point(workers, {"cpu s/s": cpu, "memory MB": _rss(pid), "bytes/s": traffic})
    finally:
        cell.close()


def _cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _rss(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096 / 1e6


async def _control_bytes(cell: DaemonCell) -> float:
    response = await cell.client.fetch(
        f"http://{cell.address('s0')}/metrics", headers={"Accept": "text/plain"}
    )
    lines = response.body.decode().splitlines()
    return sum(float(line.split()[-1]) for line in lines if 'event="control_bytes"' in line)


# -- The report ------------------------------------------------------------------------------

STUDIES: list[tuple[str, Callable[[int], Point], tuple[int, ...]]] = [
    ("owned VMs, 4.6 tasks each (core and stand-ins)", owned_vms, (500, 1_000, 2_000, 4_000)),
    (
        "tasks from submission to end (core and stand-ins)",
        started_tasks,
        (500, 1_000, 2_000, 4_000),
    ),
    ("tasks in the ledger", ledger_tasks, (10_000, 20_000, 40_000, 80_000, 110_000)),
    ("revisions in the log", published_documents, (500, 1_000, 2_000, 4_000, 7_100)),
    ("members", gossiping_members, (2, 4, 6, 9)),
    ("workers of one daemon process", daemon_workers, (8, 16, 32, 64)),
]


def _run_study(
    title: str, measure: Callable[[int], Point], sizes: tuple[int, ...]
) -> dict[str, Line]:
    print(f"\n{title}")
    points = []
    for size in sizes:
        with ProcessPoolExecutor(1) as pool:
            points.append(pool.submit(measure, size).result())
    names = list(points[0].figures)
    print("| size | " + " | ".join(names) + " |")
    print("|---" * (len(names) + 1) + "|")
    for point in points:
        cells = " | ".join(f"{point.figures[name]:.4g}" for name in names)
        print(f"| {point.size:g} | {cells} |")
    lines = {name: fit(points, name) for name in names}
    for name, line in lines.items():
        print(
            f"  {name} = {line.constant:.4g} + {line.slope:.4g} x size, "
            f"largest residual {line.residual:.1%}"
        )
    return lines


def _print_at_target(lines_by_study: dict[str, dict[str, Line]]) -> None:
    owned = TARGET_VMS / TARGET_MEMBERS
    core = lines_by_study["owned_vms"]
    ledger = lines_by_study["ledger_tasks"]
    process = lines_by_study["daemon_workers"]
    starts = lines_by_study["started_tasks"]
    print(
        f"\nAt {TARGET_VMS} VMs, {TARGET_TASKS} tasks and {TARGET_MEMBERS} schedulers, "
        "by the lines above"
    )
    rows = [
        ("VMs a scheduler", f"{owned:.0f}"),
        ("polls a second, a scheduler", f"{core['polls/s'].at(owned):.0f}"),
        ("core, processor share", f"{core['core cpu s/s'].at(owned):.1%}"),
        ("whole process, processor share", f"{process['cpu s/s'].at(owned):.0%}"),
        ("ledger, memory", f"{ledger['memory MB'].at(TARGET_TASKS):.0f} MB"),
        ("snapshot", f"{ledger['snapshot MB'].at(TARGET_TASKS):.1f} MB"),
        ("control traffic a worker", f"{process['bytes/s'].slope:.0f} bytes/s"),
        ("control processor time a worker", f"{process['cpu s/s'].slope:.2%} of a core"),
        ("core time of one task", f"{starts['core cpu s'].slope * 1e6:.0f} us"),
        (
            f"core at {TARGET_STARTS_PER_S} starts/s, a scheduler",
            f"{starts['core cpu s'].slope * TARGET_STARTS_PER_S / TARGET_MEMBERS:.0%}",
        ),
        ("log bytes of one task", f"{starts['log bytes'].slope:.0f}"),
        (
            f"log at {TARGET_STARTS_PER_S} starts/s",
            f"{starts['log bytes'].slope * TARGET_STARTS_PER_S / 1e6:.2f} MB/s",
        ),
        (
            "revisions of a day, log",
            f"{lines_by_study['published_documents']['log bytes'].at(7_100) / 1e6:.2f} MB",
        ),
    ]
    for name, value in rows:
        print(f"  {name:42} {value}")


def main() -> None:
    """Measure all figures, and print the lines and their values at the target size."""
    lines_by_study = {
        measure.__name__: _run_study(title, measure, sizes) for title, measure, sizes in STUDIES
    }
    _print_at_target(lines_by_study)


if __name__ == "__main__":
    main()
