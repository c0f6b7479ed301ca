"""A job that no VM can run is refused at once, and no other one while anything is in doubt."""

import msgspec
import pytest

from sablemount.jobs.model import JobSpec, Shape, StepSpec, VmInfo
from sablemount.jobs.scheduler import LaterIncarnation
from sablemount.jobs.systems.unserved import SETTLE_TIME_S, Bound
from tests.jobs.rig import CAPACITY, CORE, WALL_MS, Rig, queue, spec

VMS = 4
NO_SUCH_LABEL = spec(StepSpec(1, CORE, label="c"))
TOO_WIDE = spec(StepSpec(4 * VMS, CORE, gang=True, spread=2))
TOO_LARGE = spec(StepSpec(1, Shape(CAPACITY.cores + 1, 1)))
UNSERVED = pytest.mark.parametrize(
    "job", [NO_SUCH_LABEL, TOO_WIDE, TOO_LARGE], ids=["label", "gang", "task"]
)


def _read_entries(rig: Rig, seconds: float) -> None:
    """Let time pass while the entries are read every second."""
    for _ in range(round(seconds)):
        rig.clock.time += 1.0
        rig.scheduler.entries_read(rig.clock.time)


def _settle(rig: Rig) -> Rig:
    _read_entries(rig, SETTLE_TIME_S + 1.0)
    return rig


def _is_refused(rig: Rig, job: JobSpec) -> bool:
    rig.scheduler.update_time()
    return rig.scheduler.find_unserved_step(queue(), job) is not None


def _entry(number: int, kind: str = "c", capacity: Shape = CAPACITY, pool: str = "pool") -> VmInfo:
    labels = (kind, f"r{number}")
    name = f"n{number}"
    return VmInfo(name, f"b{number}", pool, capacity, labels, machine=f"m{number}")


# -- What is refused -------------------------------------------------------------------------


def test_a_job_with_a_label_of_no_vm_does_not_stay_pending() -> None:
    rig = _settle(Rig(VMS))
    found = rig.scheduler.find_unserved_step(
        queue(), spec(StepSpec(1, CORE), StepSpec(1, CORE, label="c"))
    )
    assert found is not None
    assert (found.number, found.bound, found.vms) == (1, Bound.LABEL, VMS)
    assert found.path == "$.steps[1].label"
    assert found.reason == "no VM can run step 1: none of 4 VMs of its pool has its label"


def test_a_gang_wider_than_its_spread_on_all_vms_does_not_stay_pending() -> None:
    found = _settle(Rig(VMS)).scheduler.find_unserved_step(queue(), TOO_WIDE)
    assert found is not None
    assert (found.bound, found.needed, found.offered) == (Bound.GANG, 4 * VMS, 2 * VMS)
    assert found.path == "$.steps[0].count"
    assert "a gang of 16 tasks, of which 4 VMs can run 8 at a time" in found.reason


def test_a_gang_wider_than_the_capacity_of_all_vms_does_not_stay_pending() -> None:
    half = Shape(CAPACITY.cores // 2, 1)
    rig = _settle(Rig(VMS))
    assert _is_refused(rig, spec(StepSpec(2 * VMS + 1, half, gang=True)))
    assert not _is_refused(rig, spec(StepSpec(2 * VMS, half, gang=True)))


def test_a_gang_wider_than_the_vms_with_its_label_does_not_stay_pending() -> None:
    rig = _settle(Rig(VMS))
    job = StepSpec(VMS // 2 + 1, CORE, gang=True, spread=1, label="a")
    assert _is_refused(rig, spec(job))
    assert not _is_refused(rig, spec(msgspec.structs.replace(job, label="")))


@pytest.mark.parametrize("field", ["cores", "memory", "accelerators"])
def test_a_task_larger_than_any_vm_does_not_stay_pending(field: str) -> None:
    capacity = getattr(CAPACITY, field)
    shape = msgspec.structs.replace(CORE, **{field: capacity + 1})
    found = _settle(Rig(VMS)).scheduler.find_unserved_step(queue(), spec(StepSpec(1, shape)))
    assert found is not None
    assert (found.bound.value, found.needed, found.offered) == (field, capacity + 1, capacity)
    assert found.path == f"$.steps[0].shape.{field}"


def test_a_task_that_fits_by_each_resource_and_on_no_vm_does_not_stay_pending() -> None:
    rig = Rig(0)
    rig.scheduler.update_vm(_entry(0, capacity=Shape(16_000, 1_000)))
    rig.scheduler.update_vm(_entry(1, capacity=Shape(1_000, 16_000)))
    _settle(rig)
    found = rig.scheduler.find_unserved_step(queue(), spec(StepSpec(1, Shape(8_000, 8_000))))
    assert found is not None
    assert (found.bound, found.path) == (Bound.SHAPE, "$.steps[0]")


# -- What is not -----------------------------------------------------------------------------


@pytest.mark.parametrize(
    "step",
    [
        StepSpec(1, CAPACITY),
        StepSpec(2 * VMS, CORE, gang=True, spread=2),
        StepSpec(100 * VMS, CORE, spread=1),
        StepSpec(100 * VMS, CORE),
        StepSpec(100 * VMS, gang=True),
        StepSpec(1, CORE, label="r1"),
        StepSpec(1, CORE, rack="nowhere"),
        StepSpec(2, CAPACITY, gang=True, same_rack=True),
        StepSpec(1, Shape(2 * CAPACITY.cores, 1_000), fills=True),
    ],
)
def test_a_job_that_vms_can_run_is_taken(step: StepSpec) -> None:
    assert not _is_refused(_settle(Rig(VMS)), spec(step))


def test_a_job_that_has_to_wait_for_other_work_is_taken() -> None:
    rig = Rig(VMS)
    rig.accept("a", spec(StepSpec(VMS, CAPACITY)))
    rig.start_and_hold_all()
    assert not _is_refused(_settle(rig), spec(StepSpec(VMS, CAPACITY, gang=True, spread=1)))


@UNSERVED
def test_a_job_is_not_refused_for_vms_that_a_new_leader_has_not_read_yet(job: JobSpec) -> None:
    rig = Rig(VMS)
    _read_entries(rig, SETTLE_TIME_S - 2.0)
    assert not _is_refused(rig, job)
    _read_entries(rig, 3.0)
    assert _is_refused(rig, job)


@UNSERVED
def test_a_job_is_not_refused_while_no_vm_of_its_pool_was_seen(job: JobSpec) -> None:
    rig = Rig(0)
    rig.scheduler.update_vm(_entry(0, pool="other"))
    assert not _is_refused(_settle(rig), job)


@UNSERVED
def test_a_job_is_not_refused_while_the_entries_cannot_be_read(job: JobSpec) -> None:
    rig = _settle(Rig(VMS))
    rig.clock.time += 4.0
    assert not _is_refused(rig, job)


@UNSERVED
def test_a_job_is_not_refused_for_entries_that_lapsed_in_an_outage_of_the_store(
    job: JobSpec,
) -> None:
    rig = _settle(Rig(VMS))
    rig.clock.time += 10.0
    _read_entries(rig, SETTLE_TIME_S - 2.0)
    assert not _is_refused(rig, job)
    _read_entries(rig, 3.0)
    assert _is_refused(rig, job)


@pytest.mark.parametrize("away", ["crash", "entry", "drain", "list", "shrink"])
def test_a_job_is_not_refused_while_the_only_vm_of_its_kind_is_away(away: str) -> None:
    rig = Rig(VMS)
    large = Shape(2 * CAPACITY.cores, CAPACITY.memory)
    entry = _entry(0, capacity=large)
    rig.scheduler.update_vm(entry)
    _settle(rig)
    if away == "crash":
        rig.scheduler.vms.incarnation_ended("n0")
        rig.scheduler.entry_removed("n0")
    elif away == "entry":
        rig.scheduler.entry_removed("n0")
    elif away == "drain":
        rig.scheduler.update_vm(msgspec.structs.replace(entry, draining=True, revision=1))
    elif away == "shrink":
        rig.scheduler.update_vm(msgspec.structs.replace(entry, capacity=CORE, revision=1))
    else:
        rows = rig.scheduler.state.vms.values()
        rig.scheduler.update_vm_list([row.info for row in rows if row.name != "n0"])
    for _ in range(10):
        _read_entries(rig, 6.0)
        rig.wait(0.0)
    assert not _is_refused(rig, spec(StepSpec(1, large, label="c")))
    assert not _is_refused(rig, spec(StepSpec(VMS + 1, CORE, gang=True, spread=1)))


@UNSERVED
def test_a_job_is_not_refused_while_a_vm_in_use_before_the_election_is_not_described(
    job: JobSpec,
) -> None:
    first = Rig(VMS)
    first.scheduler.update_vm(_entry(0))
    first.report("n0")
    first.wait(1.0)
    first.commit()
    # The VM is away for a restart when the later leader reads the entries.
    del first.scheduler.state.vms["n0"]
    later = _settle(first.successor())
    assert not _is_refused(later, job)
    later.scheduler.update_vm(msgspec.structs.replace(_entry(0, "a"), name="n0-2"))
    assert _is_refused(later, job)


@UNSERVED
def test_a_job_is_not_refused_for_a_vm_whose_next_incarnation_is_not_described(
    job: JobSpec,
) -> None:
    rig = _settle(Rig(VMS))
    row = rig.scheduler.state.vms["w0"]
    rig.scheduler.incarnation_replaced(row, LaterIncarnation("w0/1", 1), 0)
    assert not _is_refused(rig, job)
    info = rig.scheduler.state.vms["w0/1"].info
    rig.scheduler.update_vm(msgspec.structs.replace(info, capacity=CAPACITY, revision=1))
    assert _is_refused(rig, job)


def test_a_job_is_not_refused_once_a_vm_of_its_kind_comes() -> None:
    rig = _settle(Rig(VMS))
    assert _is_refused(rig, NO_SUCH_LABEL)
    rig.scheduler.update_vm(_entry(0))
    assert not _is_refused(rig, NO_SUCH_LABEL)
    assert _is_refused(rig, TOO_LARGE)
    rig.scheduler.update_vm(_entry(1, capacity=Shape(2 * CAPACITY.cores, CAPACITY.memory)))
    assert not _is_refused(rig, TOO_LARGE)


def test_a_gang_is_not_refused_once_enough_vms_have_come() -> None:
    rig = _settle(Rig(VMS))
    assert _is_refused(rig, TOO_WIDE)
    rig.add_entries(VMS)
    assert not _is_refused(rig, TOO_WIDE)


def test_a_job_is_not_refused_once_a_vm_restarts_as_its_kind() -> None:
    rig = _settle(Rig(VMS))
    info = rig.scheduler.state.vms["w0"].info
    rig.scheduler.update_vm(msgspec.structs.replace(info, labels=("c", "r0"), revision=1))
    assert not _is_refused(rig, NO_SUCH_LABEL)


def test_a_job_is_not_refused_for_vms_that_may_come_before_it_is_due() -> None:
    rig = _settle(Rig(VMS))
    due_ms = WALL_MS + (rig.clock.time + 60.0) * 1000.0
    later = msgspec.structs.replace(NO_SUCH_LABEL, times=1, first_due_ms=due_ms)
    assert not _is_refused(rig, later)
    assert _is_refused(rig, msgspec.structs.replace(later, first_due_ms=WALL_MS))


# -- The cost --------------------------------------------------------------------------------


class _Unread(dict):  # type: ignore[type-arg]
    """A table of which no row is read."""

    def __iter__(self):  # type: ignore[no-untyped-def]
        raise AssertionError("a submission looks at all VMs")

    values = items = keys = __iter__


def test_a_submission_does_not_look_at_all_vms() -> None:
    rig = _settle(Rig(VMS))
    rig.scheduler.state.vms = _Unread(rig.scheduler.state.vms)
    assert _is_refused(rig, TOO_WIDE)
    assert not _is_refused(rig, spec(StepSpec(VMS, CORE, gang=True, spread=1, label="")))


def test_many_vms_of_few_sizes_are_kept_as_few_capacities() -> None:
    rig = Rig(0)
    for number in range(400):
        capacity = Shape(16_000 + number % 7, 64_000 - number % 5)
        rig.scheduler.update_vm(_entry(number, capacity=capacity))
    kind = rig.scheduler.state.kinds.find("pool")
    assert kind is not None
    assert (len(kind.machines), kind.capacities) == (400, [Shape(16_006, 64_000)])
