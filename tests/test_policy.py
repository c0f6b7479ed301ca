"""Fair sharing, quotas, preemption, drain, overload and outages, tested on a virtual cell."""

import msgspec
import pytest

from sablemount.core import events
from sablemount.core.config import CoreSettings
from sablemount.core.documents import (
    Kind,
    OrganisationDocument,
    Preferences,
    PriorityClass,
    Quota,
    Shape,
    TemplateDocument,
)
from sablemount.core.rows import TaskRow
from sablemount.core.verdict import Reason, Verdict
from sablemount.core.waiting import WaitQueue
from tests.documents import ALL_DOCUMENTS, LONG, QUOTE, RUSH, WIDE
from tests.fakes.cell import VirtualCell
from tests.fakes.log import LogMode
from tests.fakes.worker import LIVE_STATES

SETTINGS = CoreSettings(shards=3)


def make_cell(vms: int = 6, seed: int = 3, settings: CoreSettings = SETTINGS) -> VirtualCell:
    cell = VirtualCell(3, vms, seed, settings)
    cell.run_until(cell.settled, 30.0)
    cell.run(2.0)
    cell.publish_all(ALL_DOCUMENTS)
    return cell


def running(cell: VirtualCell, prefix: str) -> list[str]:
    """Return the live runs on all workers whose names start with a prefix."""
    return [
        run.run
        for worker in cell.workers.values()
        for run in worker.runs.values()
        if run.run.startswith(prefix) and run.state in LIVE_STATES
    ]


# -- Fair sharing ----------------------------------------------------------------------------


def task_row(organisation: str, number: int, shard: int = 0) -> TaskRow:
    template = msgspec.structs.replace(LONG, organisation=organisation)
    row = TaskRow(f"{organisation}-{number}", "job", template, 1)
    row.shard = shard
    return row


def serve(queue: WaitQueue, weights: dict[str, float], count: int) -> list[str]:
    """Take ``count`` tasks in fair order, and return the organisation of each."""
    served = []
    level = 2
    turns = queue.fair_turns(level)
    group = next(turns, None)
    while group is not None and len(served) < count:
        (item,) = queue.head(level, group, 1)
        queue.remove(item.row.task)
        queue.charge(item, 1.0, weights[group.organisation])
        served.append(group.organisation)
        try:
            group = turns.send(True)
        except StopIteration:
            break
    return served


def test_organisations_share_by_weight() -> None:
    queue = WaitQueue()
    for number in range(60):
        for name in ("heavy", "light"):
            queue.add(task_row(name, number), 0.0, True)
    served = serve(queue, {"heavy": 2.0, "light": 1.0}, 30)
    assert served.count("heavy") == 20


def test_idleness_earns_no_credit() -> None:
    queue = WaitQueue()
    for number in range(50):
        queue.add(task_row("busy", number), 0.0, True)
    serve(queue, {"busy": 1.0}, 40)
    for number in range(50):
        queue.add(task_row("late", number), 0.0, True)
    served = serve(queue, {"busy": 1.0, "late": 1.0}, 10)
    assert served.count("late") in (5, 6)


def test_old_tasks_rise_a_level() -> None:
    queue = WaitQueue()
    queue.add(task_row("a", 1), 0.0, True)
    queue.promote(50.0, aging=60.0)
    assert queue.lengths() == [0, 0, 1, 0]
    queue.promote(60.0, aging=60.0)
    queue.promote(61.0, aging=60.0)
    assert queue.lengths() == [0, 1, 0, 0]


def test_a_full_shard_holds_up_no_other_in_an_outage() -> None:
    cell = make_cell()
    template = msgspec.structs.replace(WIDE, shape=Shape(cores=16), expected_seconds=10.0)
    cell.publish(template, 1)
    cell.run(1.0)
    cell.submit("yard/wide", "wides", 120)
    cell.run(2.0)
    cell.log.mode = LogMode.DOWN
    before = cell.truth.starts.total()
    cell.run(60.0)
    # Six VMs with runs of 10 s and about 1 s between two runs: at least five runs on each in 60 s.
    assert cell.truth.starts.total() - before >= 5 * 6
    assert cell.truth.violations == []


# -- Quotas ----------------------------------------------------------------------------------


def test_a_quota_holds_across_schedulers_and_is_used_in_full() -> None:
    cell = make_cell()
    cell.publish_all([OrganisationDocument("rueda", quota=Quota(cores=24))])
    highest = 0
    for index, name in enumerate(cell.names):
        cell.submit("rueda/long", f"long-{index}", 6, member=name)
    for _ in range(100):
        cell.run(0.1)
        highest = max(highest, 4 * len(running(cell, "long")))
    assert highest == 24


# -- Preemption ------------------------------------------------------------------------------

SPARE = TemplateDocument(
    "yard", "spare", Kind.TASK, PriorityClass.SPARE, Shape(cores=8), expected_seconds=600.0
)


@pytest.mark.parametrize(
    ("checkpointable", "kind"), [(True, "checkpoint"), (False, "stop")], ids=["checkpoint", "stop"]
)
def test_lower_paying_work_makes_way(checkpointable: bool, kind: str) -> None:
    cell = make_cell()
    cell.publish(msgspec.structs.replace(SPARE, checkpointable=checkpointable))
    cell.run(1.0)
    cell.submit("yard/spare", "spares", 12)
    cell.run(4.0)
    assert len(running(cell, "spares")) == 12
    cell.submit("rueda/rush", "rush")
    elapsed = cell.run_until(lambda: bool(running(cell, "rush")), 5.0)
    assert elapsed < 2.0
    kinds = {
        label
        for member in cell.members.values()
        for (name, label) in member.core.state.meter.counters
        if name == "preemptions"
    }
    assert kinds == {kind}
    cell.run(30.0)
    assert len(running(cell, "spares")) == 12
    assert cell.truth.violations == []


def test_a_throttled_run_gets_its_cores_back() -> None:
    cell = make_cell()
    cell.publish(SPARE)
    half = msgspec.structs.replace(RUSH, name="half", shape=Shape(cores=4))
    cell.publish(half)
    cell.run(1.0)
    cell.submit("yard/spare", "spares", 12)
    cell.run(4.0)
    cell.submit("rueda/half", "half")
    cell.run(1.5)
    shapes = [run.shape.cores for worker in cell.workers.values() for run in worker.runs.values()]
    assert sorted(shapes)[:2] == [4, 4]
    cell.run(20.0)
    shapes = [run.shape.cores for worker in cell.workers.values() for run in worker.runs.values()]
    assert shapes == [8] * 12
    assert cell.truth.violations == []


def test_non_repeatable_work_never_yields() -> None:
    cell = make_cell()
    cell.publish(msgspec.structs.replace(SPARE, repeatable=False))
    cell.run(1.0)
    cell.submit("yard/spare", "spares", 12)
    cell.run(4.0)
    cell.submit("rueda/rush", "rush")
    cell.run(10.0)
    assert len(running(cell, "spares")) == 12
    assert running(cell, "rush") == []


# -- Services --------------------------------------------------------------------------------


def test_replicas_are_replaced_when_a_hall_fails() -> None:
    cell = make_cell(vms=12)
    service = TemplateDocument(
        "rueda",
        "despacho",
        Kind.SERVICE,
        PriorityClass.STANDARD,
        Shape(cores=2),
        replicas=6,
        preferences=Preferences(spread=True),
    )
    cell.publish(service)
    cell.run(4.0)
    assert len(running(cell, "rueda/despacho")) == 6
    for worker in cell.workers.values():
        if worker.facts.hall == "hall-1":
            worker.fail()
    cell.run(25.0)
    assert len(running(cell, "rueda/despacho")) == 6
    assert cell.truth.violations == []


# -- Takeover and outages --------------------------------------------------------------------


def test_new_work_starts_in_a_shard_that_is_not_open_yet() -> None:
    """If a scheduler and one of its VMs crash, only old tasks wait for leases to expire."""
    cell = make_cell()
    owner = cell.owners()[cell.live()[0].core.state.vms["vm-0"].shard]
    cell.crash(owner)
    cell.workers["vm-0"].fail()
    cell.run(8.0)
    cell.submit("rueda/plan", "plans", 12, member=cell.live()[0].name)
    cell.run(6.0)
    assert {cell.verdict(f"plans.{index}") for index in range(12)} == {"DONE"}
    assert cell.truth.violations == []


def test_placing_stops_when_a_member_falls_silent_in_an_outage() -> None:
    cell = make_cell(settings=msgspec.structs.replace(SETTINGS, promise=5.0))
    cell.log.mode = LogMode.DOWN
    cell.run(10.0)
    assert all(member.core.state.has_lease() for member in cell.live())
    cell.crash("s1")
    cell.run(8.0)
    assert not any(member.core.state.has_lease() for member in cell.live())


def test_nine_members_keep_within_the_logs_budget() -> None:
    # With the default tick of 0.1 s, ten appends a second would be the limit of each member.
    settings = CoreSettings(shards=9, tick=0.02, append_budget=90.0)
    cell = VirtualCell(9, 12, 5, settings)
    cell.run_until(cell.settled, 30.0)
    cell.publish_all(ALL_DOCUMENTS)
    highest = 0
    for index in range(1_600):
        job, member = f"job-{index}", f"s{index % 9}"
        cell.after(index / 200, lambda j=job, m=member: cell.submit("rueda/plan", j, member=m))
    for _ in range(8):
        before = cell.log.appends
        cell.run(1.0)
        highest = max(highest, cell.log.appends - before)
    assert 50 < highest <= 100


def test_the_default_budget_is_below_what_the_users_store_takes() -> None:
    assert CoreSettings().append_budget < 600


# -- Overload --------------------------------------------------------------------------------


def test_overload_sheds_the_least_paid_at_once_and_recovers() -> None:
    settings = CoreSettings(shards=3, request_queue=20)
    cell = make_cell(vms=2, settings=settings)
    cheap = msgspec.structs.replace(QUOTE, name="cheap", priority=PriorityClass.SPARE)
    cell.publish(cheap)
    cell.run(1.0)
    sent = []
    for index in range(600):
        template = "rueda/cheap" if index % 2 else "rueda/quote"
        sent.append((template, cell.request(template, f"s{index % 3}", wait=1.0)))
    cell.run(0.02)
    answered = [request for _, request in sent if request in cell.answers]
    assert len(answered) > 100
    cell.run(3.0)
    succeeded = {"rueda/cheap": 0, "rueda/quote": 0}
    for template, request in sent:
        result = cell.answers[request]
        if result.is_ok():  # type: ignore[attr-defined]
            succeeded[template] += 1
            continue
        failure = result.err_value  # type: ignore[attr-defined]
        if failure.reason is Reason.OVERLOADED:
            assert failure.verdict is Verdict.NOT_RUN
            assert failure.retry_after is not None
    assert succeeded["rueda/quote"] > succeeded["rueda/cheap"]
    later = [cell.request("rueda/quote", f"s{index % 3}") for index in range(20)]
    cell.run(1.0)
    assert all(cell.answers[request].is_ok() for request in later)  # type: ignore[attr-defined]


def test_rate_limits_say_when_to_come_back() -> None:
    cell = make_cell()
    cell.publish(OrganisationDocument("rueda", requests_per_second=10.0))
    cell.run(1.0)
    requests = [cell.request("rueda/quote", "s0") for _ in range(15)]
    cell.run(1.0)
    refused = [cell.answers[r] for r in requests if cell.answers[r].is_err()]  # type: ignore[attr-defined]
    assert len(refused) == 5
    failure = refused[0].err_value  # type: ignore[attr-defined]
    assert (failure.verdict, failure.reason) == (Verdict.NOT_RUN, Reason.RATE_LIMIT)
    assert failure.retry_after == pytest.approx(0.1, abs=0.05)


def test_retries_are_held_to_a_budget() -> None:
    cell = make_cell()
    for worker in cell.workers.values():
        for name in cell.names:
            cell.cut_link(name, worker.facts.vm)
    for index in range(200):
        cell.request("rueda/quote", f"s{index % 3}", wait=0.3)
        cell.run(0.01)
    cell.run(2.0)
    retries = sum(m.core.state.meter.total("retries") for m in cell.members.values())
    assert retries <= 3 * 10 + 0.1 * 200 + 3


def test_a_member_that_has_left_is_forgotten() -> None:
    cell = make_cell()
    cell.members["s1"].handle(events.StopRequested())
    cell.run(30.0)
    assert cell.members["s1"].stopped
    cell.run(70.0)
    assert all("s1" not in member.core.state.peers for member in cell.live())


def test_a_forwarded_failure_is_counted_once() -> None:
    cell = make_cell()
    for worker in cell.workers.values():
        for name in cell.names:
            cell.cut_link(name, worker.facts.vm)
    without_shards = next((name for name in cell.names if name not in cell.owners().values()), "")
    member = cell.members[without_shards or "s0"]
    for row in member.core.state.vms.values():
        member.core.state.slot_index.remove(row)
    cell.request("rueda/quote", member.name, wait=0.3)
    cell.run(1.0)
    forwards = member.core.state.meter.total("forwards")
    failures = sum(m.core.state.meter.total("failures") for m in cell.members.values())
    assert (forwards, failures) == (1, 1)


def test_an_operators_drain_reaches_everyone_in_an_outage() -> None:
    cell = make_cell()
    cell.log.mode = LogMode.DOWN
    member = cell.members["s0"]
    member.handle(events.DrainRequested("d", "vm-3", True, member.clock() + 1.0))
    cell.workers["vm-3"].left_at = cell.now
    cell.run(3.5)
    for index in range(60):
        cell.request("rueda/quote", f"s{index % 3}")
    cell.run(1.0)
    assert cell.truth.violations == []
    assert cell.command_failures["d"] is not None
