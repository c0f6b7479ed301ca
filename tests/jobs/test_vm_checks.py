"""The emulated VMs check the requests they get: each check reports violations, and only those."""

import asyncio
import random
from collections.abc import Callable, Coroutine

import msgspec
import pytest

from sablemount.control.ports import HoldCall
from sablemount.jobs.actions import StartRun
from sablemount.jobs.model import JobSpec, Shape, StepSpec
from sablemount.jobs.settings import JobSettings
from tests.emulator.loop import run
from tests.emulator.vm import Vm
from tests.emulator.vms import EARLY_MS, Cell

TASK = "job.0.0.0"
RUN_TIME_S = 0.1
"""Longer than a run takes in these tests."""
LEASE_END_MS = 10**12
"""A lease expiry in ms far beyond the longest lease, to which the VM reduces it."""

Case = Callable[[Cell, Vm, Vm], Coroutine[object, object, None]]


def _start(cell: Cell, vm: Vm, number: int) -> None:
    cell.start(vm, StartRun(vm.info.name, TASK, number, "payload", 0.0), 1, LEASE_END_MS)


def _acknowledge(cell: Cell, vm: Vm) -> None:
    cell.hold(vm, HoldCall(vm.info.name, "", 1, 0, vm.next_completion - 1, 0.0))


async def _run_to_completion(cell: Cell, vm: Vm) -> None:
    _start(cell, vm, 1)
    await asyncio.sleep(RUN_TIME_S)


async def _started_after_a_noted_end(cell: Cell, one: Vm, other: Vm) -> None:
    await _run_to_completion(cell, one)
    _acknowledge(cell, one)
    _start(cell, other, 2)


async def _noted_after_a_second_start(cell: Cell, one: Vm, other: Vm) -> None:
    await _run_to_completion(cell, one)
    _start(cell, other, 2)
    _acknowledge(cell, one)


async def _two_at_once(cell: Cell, one: Vm, other: Vm) -> None:
    _start(cell, one, 1)
    _start(cell, other, 2)


async def _two_at_once_in_one_place(cell: Cell, one: Vm, _: Vm) -> None:
    _start(cell, one, 1)
    _start(cell, one, 2)


async def _started_after_its_job_was_shown_as_done(cell: Cell, one: Vm, other: Vm) -> None:
    await _run_to_completion(cell, one)
    cell.succeeded.add("job")
    _start(cell, other, 2)


async def _started_after_an_end_that_nobody_noted(cell: Cell, one: Vm, other: Vm) -> None:
    await _run_to_completion(cell, one)
    _start(cell, other, 2)


async def _noted_after_the_lease_was_over(cell: Cell, one: Vm, other: Vm) -> None:
    await _run_to_completion(cell, one)
    await asyncio.sleep(cell.max_lease_s * 1.1)
    _acknowledge(cell, one)
    _start(cell, other, 2)


async def _started_after_a_crash(cell: Cell, one: Vm, other: Vm) -> None:
    _start(cell, one, 1)
    cell.crash(one)
    _start(cell, other, 2)


async def _requested_with_another_payload(cell: Cell, one: Vm, other: Vm) -> None:
    cell.start(one, StartRun(one.info.name, TASK, 1, "other", 0.0), 1, LEASE_END_MS)


async def _requested_with_another_payload_by_an_earlier_leader(
    cell: Cell, one: Vm, other: Vm
) -> None:
    one.fence = 2
    await _requested_with_another_payload(cell, one, other)


async def _requested_before_its_time(cell: Cell, one: Vm, other: Vm) -> None:
    cell.jobs["job"] = _due_in(cell, EARLY_MS + 1.0)
    _start(cell, one, 1)


async def _requested_about_its_time(cell: Cell, one: Vm, other: Vm) -> None:
    cell.jobs["job"] = _due_in(cell, EARLY_MS)
    _start(cell, one, 1)


def _due_in(cell: Cell, after_ms: float) -> JobSpec:
    """Return the cell's job with two times, the first due after some milliseconds."""
    first_due_ms = cell.wall_ms() + after_ms
    return msgspec.structs.replace(
        cell.jobs["job"], times=2, first_due_ms=first_due_ms, interval_ms=1000.0
    )


async def _violations(case: Case) -> list[str]:
    cell = Cell(random.Random(1))
    cell.failure_share = 0.0
    cell.mean_task_seconds = 0.001
    cell.jobs["job"] = JobSpec("payload", (StepSpec(1, Shape(1_000, 100)),))
    one, other = (cell.add("machine", "r", Shape(16_000, 65_536)) for _ in range(2))
    await case(cell, one, other)
    return cell.violations


@pytest.mark.parametrize(
    ("case", "violation"),
    [
        (_started_after_a_noted_end, "started after its end was noted"),
        (_noted_after_a_second_start, "started again after an end that was noted"),
        (_two_at_once, "runs twice"),
        (_two_at_once_in_one_place, "runs twice"),
        (_started_after_its_job_was_shown_as_done, "started after its job had succeeded"),
        (_requested_with_another_payload, "requested with 'other', which was not sent"),
        (
            _requested_with_another_payload_by_an_earlier_leader,
            "requested with 'other', which was not sent",
        ),
        (_requested_before_its_time, "requested 251 ms before its time"),
    ],
)
def test_a_broken_rule_is_noted(case: Case, violation: str) -> None:
    assert run(_violations(case)) == [f"{violation}: {TASK}"]


@pytest.mark.parametrize(
    "case",
    [
        _started_after_an_end_that_nobody_noted,
        _noted_after_the_lease_was_over,
        _started_after_a_crash,
        _requested_about_its_time,
    ],
)
def test_a_second_start_may_be_right(case: Case) -> None:
    assert run(_violations(case)) == []


# -- Where a task may start ------------------------------------------------------------------


class _Place:
    """A cell with a VM, and short calls for the starts there of a job with a single step."""

    def __init__(self, spread: int = 0, label: str = "") -> None:
        self.cell = Cell(random.Random(1))
        step = StepSpec(4, Shape(1_000, 100), spread=spread, label=label)
        self.cell.jobs["job"] = JobSpec("payload", (step, step), times=2)
        self.vm = self.cell.add("machine", "r", Shape(16_000, 65_536), kind="b")

    def start(self, *tasks: str, number: int = 1) -> list[str]:
        """Start some tasks, and return all violations so far."""
        for task in tasks:
            action = StartRun(self.vm.info.name, f"job.{task}", number, "payload", 0.0)
            self.cell.start(self.vm, action, 1, LEASE_END_MS)
        return self.cell.violations


def test_a_start_beyond_the_spread_is_noted() -> None:
    async def scenario() -> None:
        place = _Place(spread=2)
        assert place.start("0.0.0", "0.0.1") == []
        beyond = "beyond its spread: job.0.0.2 on machine-1 (3 of 2 tasks)"
        assert place.start("0.0.2") == [beyond]

    run(scenario())


def test_runs_that_are_being_stopped_count_towards_the_spread() -> None:
    async def scenario() -> None:
        place = _Place(spread=1)
        place.start("0.0.0")
        place.cell.stop(place.vm, "job.0.0.0", 1, 1)
        assert len(place.start("0.0.1")) == 1
        await asyncio.sleep(place.cell.max_lease_s * 1.1)
        assert len(place.start("0.0.2")) == 1

    run(scenario())


def test_other_steps_and_other_repetitions_do_not_count_towards_the_spread() -> None:
    async def scenario() -> None:
        assert _Place(spread=1).start("0.0.0", "0.1.0", "1.0.0", "1.1.0") == []

    run(scenario())


def test_a_start_without_the_label_of_its_step_is_noted() -> None:
    async def scenario() -> None:
        assert _Place(label="b").start("0.0.0") == []
        assert _Place(label="r").start("0.0.0") == []
        without = "without its label a: job.0.0.0 on machine-1"
        assert _Place(label="a").start("0.0.0") == [without]

    run(scenario())


@pytest.mark.parametrize(
    ("published", "violations"),
    [
        ([{"host/q/": "pool"}], []),
        ([{"host/q/": "other"}], ["in pool pool: job.0.0.0 on machine-1"]),
        ([{"host/q/": "pool"}, {"host/q/": "other"}], []),
        ([{"host/": "pool", "host/q/": "other"}], ["in pool pool: job.0.0.0 on machine-1"]),
        ([{"host/p/": "pool"}], ["in pool pool: job.0.0.0 on machine-1"]),
    ],
)
def test_a_start_in_a_pool_that_its_queue_was_never_sent_to_is_noted(
    published: list[dict[str, str]], violations: list[str]
) -> None:
    async def scenario() -> None:
        place = _Place()
        place.cell.urls["job"] = "host/q/job"
        for pools in published:
            place.cell.routes.record(pools)
        assert place.start("0.0.0") == violations

    run(scenario())


@pytest.mark.parametrize(
    ("requested_of_later", "violations"),
    [(False, []), (True, ["without its label b: job.0.0.0 on machine-1#2"])],
)
def test_the_label_is_that_of_the_incarnation_that_a_start_was_requested_of(
    requested_of_later: bool, violations: list[str]
) -> None:
    async def scenario() -> None:
        place = _Place(label="b")
        earlier = place.vm
        place.cell.crash(earlier)
        later = place.cell.restart(earlier, earlier.info.capacity, "a")
        action = StartRun(earlier.info.name, "job.0.0.0", 1, "payload", 0.0)
        asked = later if requested_of_later else earlier
        place.cell.record_request(action, asked.started_at_ms)
        place.vm = later
        assert place.start("0.0.0") == violations

    run(scenario())


def test_a_lease_for_an_earlier_incarnation_lasts_for_the_longest_that_is_granted() -> None:
    # Guards against VMs that cut leases to the length which the product requests.
    async def scenario() -> None:
        place = _Place()
        cell, earlier = place.cell, place.vm
        cell.crash(earlier)
        later = place.vm = cell.restart(earlier, earlier.info.capacity)
        assert abs(later.clock_start - earlier.clock_start) > cell.max_lease_s * 1000.0
        now = asyncio.get_running_loop().time()
        assert place.start("0.0.0") == []
        lease_s = (later.lease_end(now) - now) * later.clock_rate
        assert lease_s == pytest.approx(cell.max_lease_s, abs=0.002)
        assert cell.max_lease_s > JobSettings().lease_s

    run(scenario())
