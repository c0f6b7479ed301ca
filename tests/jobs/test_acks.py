"""A VM is told to forget ends so that no other life of it forgets its own.

A VM that had started again within 0.3 s got the number of its earlier life, and listed none of its
own ends up to it: what ended there counted as noted and was started again elsewhere.
"""

import asyncio
from collections.abc import Callable

import pytest

from sablemount.control.ports import CallError, HoldCall, HoldResult, StartResult
from sablemount.control.vm_calls import VmCalls
from sablemount.jobs.actions import Heard, OtherLife, RunReport, StartRun
from sablemount.jobs.model import StepSpec
from sablemount.jobs.records import Record
from sablemount.jobs.systems.acks import HEARD_WITHIN, PATIENCE
from sablemount.jobs.tables import VmRow
from tests.emulator.loop import run
from tests.jobs.rig import CORE, Rig, spec

JOB = spec(StepSpec(1, CORE))


def _ended() -> tuple[Rig, VmRow]:
    """Return a rig whose only VM has an end that the store has, and no word since."""
    rig = Rig(vms=1)
    rig.accept("job", JOB)
    rig.tick()
    rig.end(rig.started()[0], "done")
    rig.hear_all()
    rig.commit()
    return rig, rig.scheduler.state.vms["w0"]


def test_a_vm_is_told_right_after_its_word() -> None:
    rig, row = _ended()
    assert rig.scheduler.acks.due(row) == 1
    rig.clock.time += HEARD_WITHIN + 0.01
    rig.scheduler.now()
    assert rig.scheduler.acks.due(row) == 0
    rig.hear_all()
    assert rig.scheduler.acks.due(row) == 1


def test_a_vm_is_told_once() -> None:
    rig, row = _ended()
    rig.scheduler.acks.sent(row)
    rig.scheduler.acks.answered(row, 1)
    rig.hear_all()
    assert rig.scheduler.acks.due(row) == 0


def test_a_vm_is_not_told_while_an_order_is_on_its_way() -> None:
    rig, row = _ended()
    rig.accept("more", JOB)
    rig.tick()
    rig.hear_all()
    assert rig.scheduler.acks.due(row) == 0
    rig.run(rig.started()[-1])
    rig.hear_all()
    assert rig.scheduler.acks.due(row) == 1


def test_nothing_is_started_while_a_vm_is_told() -> None:
    rig, row = _ended()
    rig.scheduler.acks.sent(row)
    rig.accept("more", JOB)
    rig.tick()
    assert len(rig.started()) == 1
    rig.scheduler.acks.answered(row, 1)
    rig.wait(0.1)
    assert len(rig.started()) == 2


def test_nothing_is_started_before_a_vm_that_gave_no_answer_is_heard() -> None:
    rig, row = _ended()
    fence = row.fence
    rig.scheduler.acks.sent(row)
    rig.scheduler.acks.unanswered(row, True)
    assert row.fence > fence
    rig.accept("more", JOB)
    rig.tick()
    assert len(rig.started()) == 1
    rig.wait(0.1)
    assert len(rig.started()) == 2


def test_orders_do_not_keep_a_vm_from_being_told_for_ever() -> None:
    rig, row = _ended()
    for number in range(40):
        rig.accept(f"more{number}", JOB)
        rig.tick(0.05)
        # Each order is listed only as the next one is on its way.
        started = rig.started()
        for start in started[1:-1]:
            rig.run(start)
        rig.hear_all()
        rig.scheduler.acks.due(row)
    assert rig.scheduler.acks.hold_up(row)
    assert row.untold_since is not None
    assert rig.clock.time - row.untold_since > PATIENCE


def test_a_life_that_got_the_number_of_the_one_before_starts_nothing() -> None:
    rig, row = _ended()
    rig.scheduler.acks.sent(row)
    rig.scheduler.other_life(row, OtherLife("w0/7", 7), 1)
    later = rig.scheduler.state.vms["w0/7"]
    assert later.deaf
    rig.commit()
    assert b"deaf" in rig.store["w/w0/7"]
    next_leader = Rig(0, 2)
    next_leader.scheduler.load([Record(key, value) for key, value in rig.store.items()])
    assert next_leader.scheduler.state.vms["w0/7"].deaf


@pytest.mark.parametrize("arrives", [True, False], ids=["no answer", "not sent"])
def test_a_number_without_an_answer_may_have_reached_the_next_life(arrives: bool) -> None:
    """A VM started again 3 s after one that had no answer, which was the first call to reach it.

    Four plays of real processes had what ended there started again: "run not there" of each of its
    runs, one after the other, with seen_end 0.
    """
    rig, row = _ended()
    rig.scheduler.acks.sent(row)
    rig.scheduler.acks.unanswered(row, arrives)
    rig.clock.time += 3.0
    rig.scheduler.now()
    rig.scheduler.other_life(row, OtherLife("w0/7", 7), 0)
    assert rig.scheduler.state.vms["w0/7"].deaf is arrives


def test_a_number_that_outlives_its_leader_may_have_reached_the_next_life() -> None:
    """Its leader ended with it under way, and nothing in the store tells the next one of it."""
    rig, row = _ended()
    rig.scheduler.acks.sent(row)
    rig.scheduler.acks.unanswered(row, True)
    rig.commit()
    later = Rig(0, 2)
    later.scheduler.load([Record(key, value) for key, value in rig.store.items()])
    later.scheduler.other_life(later.scheduler.state.vms["w0"], OtherLife("w0/7", 7), 0)
    assert later.scheduler.state.vms["w0/7"].deaf


def test_a_vm_on_which_a_run_ends_without_an_end_starts_nothing_more() -> None:
    rig = Rig(vms=1)
    rig.accept("job", JOB)
    rig.run_all()
    rig.running["w0"] = []
    rig.clock.time += 1.0
    rig.hear_all()
    assert rig.scheduler.state.vms["w0"].deaf
    rig.wait(0.3)
    assert len(rig.started()) == 1


class _Port:
    """A VM whose answers a test chooses."""

    def __init__(self, answers: Callable[[HoldCall], HoldResult]) -> None:
        self.holds: list[HoldCall] = []
        self.starts: list[int] = []
        self.on_start: Callable[[], StartResult] = lambda: CallError.NO_ANSWER
        self._answers = answers

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        self.holds.append(call)
        await asyncio.sleep(0.01)
        return self._answers(call)

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> StartResult:
        self.starts.append(fence)
        await asyncio.sleep(0.01)
        return self.on_start()


def _calls(rig: Rig, port: _Port, fenced: list[str]) -> VmCalls:
    noted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    noted.set_result(None)
    rig.clock.monotonic = asyncio.get_running_loop().time  # type: ignore[method-assign]
    rig.scheduler.now()
    return VmCalls(rig.scheduler, port, 3, lambda: True, fenced.append, lambda: None, lambda: noted)


def test_a_fence_that_a_later_call_went_above_is_no_later_leader() -> None:
    async def scenario() -> None:
        rig = Rig(vms=1)
        row = rig.scheduler.state.vms["w0"]
        fenced: list[str] = []

        def refuse(call: HoldCall) -> HoldResult:
            if len(port.holds) == 1:
                row.fence = rig.scheduler.state.next_fence()
            return CallError.FENCED

        port = _Port(refuse)
        calls = _calls(rig, port, fenced)
        await calls._poll(row)
        assert fenced == []
        await calls._poll(row)
        assert fenced == ["w0"]
        assert port.holds[0].fence < port.holds[1].fence

    run(scenario())


def test_a_number_goes_with_a_look_that_does_not_wait() -> None:
    async def scenario() -> None:
        rig, row = _ended()

        def hear(call: HoldCall) -> HoldResult:
            now = asyncio.get_running_loop().time()
            return Heard("w0", now, now * 1000.0, (), ())

        port = _Port(hear)
        calls = _calls(rig, port, [])
        row.heard_at = asyncio.get_running_loop().time()
        await calls._poll(row)
        await calls._poll(row)
        assert [(call.acked_completion, call.wait > 0) for call in port.holds] == [
            (1, False),
            (0, True),
        ]

    run(scenario())


def test_a_start_is_not_ordered_again_once_it_was_listed() -> None:
    """The second order came to the VM's next life, while the first had run in the last one."""

    async def scenario() -> None:
        rig = Rig(vms=1)
        port = _Port(lambda call: CallError.NO_ANSWER)
        calls = _calls(rig, port, [])
        rig.hear_all()
        rig.accept("job", JOB)
        actions = rig.scheduler.tick()
        (start,) = [action for action in actions if isinstance(action, StartRun)]

        def listed() -> StartResult:
            row = rig.scheduler.state.vms["w0"]
            clock_ms = row.clock_ms + 10.0
            report = RunReport(start.task, start.run)
            rig.scheduler.heard(Heard("w0", 0.0, clock_ms, (report,), ()))
            return CallError.NO_ANSWER

        port.on_start = listed
        await calls._start(start)
        assert len(port.starts) == 1

    run(scenario())
