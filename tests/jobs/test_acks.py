"""An acknowledgement reaches only the incarnation of a VM that it is meant for.

A VM that had restarted within 0.3 s received the acknowledgement of its previous incarnation and
listed none of its own completions up to that number. Its completed runs were lost and started again
elsewhere.
"""

import asyncio
from collections.abc import Callable

import pytest

from sablemount.control.ports import CallError, HoldCall, HoldResult, StartResult
from sablemount.control.vm_calls import VmCalls
from sablemount.jobs.actions import LaterIncarnation, RunReport, StartRun, VmReport
from sablemount.jobs.model import StepSpec
from sablemount.jobs.records import Record
from sablemount.jobs.systems.acks import MAX_ACK_DELAY_S, MAX_ACK_REPORT_AGE_S
from sablemount.jobs.vm_row import VmRow
from tests.emulator.loop import run
from tests.jobs.rig import CORE, Rig, spec

JOB = spec(StepSpec(1, CORE))


def _rig_with_completion() -> tuple[Rig, VmRow]:
    """Return a rig whose only VM has a recorded completion and has not reported since."""
    rig = Rig(vms=1)
    rig.accept("job", JOB)
    rig.tick()
    rig.complete(rig.started()[0], "done")
    rig.report_all()
    rig.commit()
    return rig, rig.scheduler.state.vms["w0"]


def test_an_acknowledgement_is_due_right_after_a_report() -> None:
    rig, row = _rig_with_completion()
    assert rig.scheduler.acks.due_number(row) == 1
    rig.clock.time += MAX_ACK_REPORT_AGE_S + 0.01
    rig.scheduler.update_time()
    assert rig.scheduler.acks.due_number(row) == 0
    rig.report_all()
    assert rig.scheduler.acks.due_number(row) == 1


def test_an_acknowledgement_is_sent_once() -> None:
    rig, row = _rig_with_completion()
    rig.scheduler.acks.ack_sent(row)
    rig.scheduler.acks.ack_answered(row, 1)
    rig.report_all()
    assert rig.scheduler.acks.due_number(row) == 0


def test_no_acknowledgement_is_due_while_a_start_request_is_in_flight() -> None:
    rig, row = _rig_with_completion()
    rig.accept("more", JOB)
    rig.tick()
    rig.report_all()
    assert rig.scheduler.acks.due_number(row) == 0
    rig.hold(rig.started()[-1])
    rig.report_all()
    assert rig.scheduler.acks.due_number(row) == 1


def test_nothing_is_started_while_an_acknowledgement_is_in_flight() -> None:
    rig, row = _rig_with_completion()
    rig.scheduler.acks.ack_sent(row)
    rig.accept("more", JOB)
    rig.tick()
    assert len(rig.started()) == 1
    rig.scheduler.acks.ack_answered(row, 1)
    rig.wait(0.1)
    assert len(rig.started()) == 2


def test_nothing_is_started_after_an_unanswered_acknowledgement_until_the_next_report() -> None:
    rig, row = _rig_with_completion()
    fence = row.fence
    rig.scheduler.acks.ack_sent(row)
    rig.scheduler.acks.ack_unanswered(row, True)
    assert row.fence > fence
    rig.accept("more", JOB)
    rig.tick()
    assert len(rig.started()) == 1
    rig.wait(0.1)
    assert len(rig.started()) == 2


def test_start_requests_do_not_delay_an_acknowledgement_forever() -> None:
    rig, row = _rig_with_completion()
    for number in range(40):
        rig.accept(f"more{number}", JOB)
        rig.tick(0.05)
        # Each start is listed only after the next one has been requested.
        started = rig.started()
        for start in started[1:-1]:
            rig.hold(start)
        rig.report_all()
        rig.scheduler.acks.due_number(row)
    assert rig.scheduler.acks.delays_starts(row)
    assert row.unacknowledged_since is not None
    assert rig.clock.time - row.unacknowledged_since > MAX_ACK_DELAY_S


def test_nothing_is_started_on_an_incarnation_that_got_an_earlier_ones_acknowledgement() -> None:
    rig, row = _rig_with_completion()
    rig.scheduler.acks.ack_sent(row)
    rig.scheduler.incarnation_replaced(row, LaterIncarnation("w0/7", 7), 1)
    later = rig.scheduler.state.vms["w0/7"]
    assert later.completions_unreliable
    rig.commit()
    assert b"deaf" in rig.store["w/w0/7"]
    next_leader = Rig(0, 2)
    next_leader.scheduler.load([Record(key, value) for key, value in rig.store.items()])
    assert next_leader.scheduler.state.vms["w0/7"].completions_unreliable


@pytest.mark.parametrize("arrives", [True, False], ids=["no answer", "not sent"])
def test_an_unanswered_acknowledgement_may_have_reached_the_next_incarnation(arrives: bool) -> None:
    """A VM restarted 3 s after an unanswered acknowledgement, which was the first call to reach it.

    Its next incarnation did not list its completions: each run there was dropped as "run not there"
    with seen_end 0, and started again.
    """
    rig, row = _rig_with_completion()
    rig.scheduler.acks.ack_sent(row)
    rig.scheduler.acks.ack_unanswered(row, arrives)
    rig.clock.time += 3.0
    rig.scheduler.update_time()
    rig.scheduler.incarnation_replaced(row, LaterIncarnation("w0/7", 7), 0)
    assert rig.scheduler.state.vms["w0/7"].completions_unreliable is arrives


def test_a_number_that_outlives_its_leader_may_have_reached_the_next_life() -> None:
    """The leader ended with an acknowledgement in flight, of which the store has no record."""
    rig, row = _rig_with_completion()
    rig.scheduler.acks.ack_sent(row)
    rig.scheduler.acks.ack_unanswered(row, True)
    rig.commit()
    later = Rig(0, 2)
    later.scheduler.load([Record(key, value) for key, value in rig.store.items()])
    later.scheduler.incarnation_replaced(
        later.scheduler.state.vms["w0"], LaterIncarnation("w0/7", 7), 0
    )
    assert later.scheduler.state.vms["w0/7"].completions_unreliable


def test_nothing_more_is_started_on_a_vm_with_an_unlisted_completion() -> None:
    rig = Rig(vms=1)
    rig.accept("job", JOB)
    rig.start_and_hold_all()
    rig.running["w0"] = []
    rig.clock.time += 1.0
    rig.report_all()
    assert rig.scheduler.state.vms["w0"].completions_unreliable
    rig.wait(0.3)
    assert len(rig.started()) == 1


class _Port:
    """A VM whose answers are chosen by the test."""

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


def _vm_calls(rig: Rig, port: _Port, fenced: list[str]) -> VmCalls:
    recorded: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    recorded.set_result(None)
    rig.clock.monotonic = asyncio.get_running_loop().time  # type: ignore[method-assign]
    rig.scheduler.update_time()
    return VmCalls(
        rig.scheduler, port, 3, lambda: True, fenced.append, lambda: None, lambda: recorded
    )


def test_a_fence_exceeded_by_a_later_call_does_not_indicate_a_later_leader() -> None:
    async def scenario() -> None:
        rig = Rig(vms=1)
        row = rig.scheduler.state.vms["w0"]
        fenced: list[str] = []

        def refuse(call: HoldCall) -> HoldResult:
            if len(port.holds) == 1:
                row.fence = rig.scheduler.state.next_fence()
            return CallError.FENCED

        port = _Port(refuse)
        vm_calls = _vm_calls(rig, port, fenced)
        await vm_calls._poll(row)
        assert fenced == []
        await vm_calls._poll(row)
        assert fenced == ["w0"]
        assert port.holds[0].fence < port.holds[1].fence

    run(scenario())


def test_an_acknowledgement_is_sent_with_a_poll_that_does_not_wait() -> None:
    async def scenario() -> None:
        rig, row = _rig_with_completion()

        def answer(call: HoldCall) -> HoldResult:
            now = asyncio.get_running_loop().time()
            return VmReport("w0", now, now * 1000.0, (), ())

        port = _Port(answer)
        vm_calls = _vm_calls(rig, port, [])
        row.last_report_at = asyncio.get_running_loop().time()
        await vm_calls._poll(row)
        await vm_calls._poll(row)
        assert [(call.acked_completion, call.wait > 0) for call in port.holds] == [
            (1, False),
            (0, True),
        ]

    run(scenario())


def test_a_start_is_not_requested_again_after_it_was_listed() -> None:
    """A repeated request reached the next incarnation after the first had run in the last one."""

    async def scenario() -> None:
        rig = Rig(vms=1)
        port = _Port(lambda call: CallError.NO_ANSWER)
        vm_calls = _vm_calls(rig, port, [])
        rig.report_all()
        rig.accept("job", JOB)
        actions = rig.scheduler.tick()
        (start,) = [action for action in actions if isinstance(action, StartRun)]

        def answer_after_listing() -> StartResult:
            row = rig.scheduler.state.vms["w0"]
            clock_ms = row.clock_ms + 10.0
            report = RunReport(start.task, start.run)
            rig.scheduler.vm_reported(VmReport("w0", 0.0, clock_ms, (report,), ()))
            return CallError.NO_ANSWER

        port.on_start = answer_after_listing
        await vm_calls._start(start)
        assert len(port.starts) == 1

    run(scenario())
