"""Tests dividing a request for advice over free call slots, and handling each answer by itself."""

from msgspec.structs import replace

from sablemount.jobs.actions import AskAdvice
from sablemount.jobs.model import AdviceTerms, Queue, Shape, StepSpec, VmInfo
from tests.jobs.rig import Rig, queue, spec

SLOW = AdviceTerms(400.0, 6.0, 2000.0)
QUICK = AdviceTerms(20.0, 0.3, 2000.0)
HALF = Shape(8_000, 1_000)


def _request(
    terms: AdviceTerms, slots: int, vms: int = 60, tasks: int = 16
) -> tuple[Rig, list[AskAdvice]]:
    advised = queue("q", advice=terms)
    rig = Rig(vms=vms, queues=(advised,))
    rig.scheduler.advice.set_call_slots({f"l{number}" for number in range(slots)})
    rig.accept("wide", spec(StepSpec(tasks, HALF, expected_ms=4000.0, gang=True)), advised)
    rig.tick()
    return rig, rig.advice_calls()


def _answer(rig: Rig, call: AskAdvice, good: int) -> None:
    tickets = dict.fromkeys(call.vms[:good], "ticket")
    rig.scheduler.advice.answered(call.call_slot, call.step, call.vms, tickets, 2000.0)
    rig.tick()


def test_a_slow_request_is_divided_over_free_call_slots() -> None:
    _, calls = _request(SLOW, slots=20)
    named = [vm for call in calls for vm in call.vms]
    assert len(calls) == 3
    assert len({call.call_slot for call in calls}) == 3
    assert sorted(named) == sorted(set(named))
    assert len(named) == 60
    assert max(call.expected_s for call in calls) < 0.6


def test_a_request_is_not_divided_if_call_slots_are_few_or_it_is_short() -> None:
    assert len(_request(SLOW, slots=3)[1]) == 1
    assert len(_request(SLOW, slots=20, vms=20)[1]) == 1


def test_no_more_vms_are_named_in_a_call_than_it_takes() -> None:
    _, calls = _request(QUICK, slots=2, vms=130, tasks=33)
    assert [len(call.vms) for call in calls] == [100]


def test_a_gang_starts_as_soon_as_the_answers_so_far_have_room_for_it() -> None:
    rig, calls = _request(SLOW, slots=20, tasks=8)
    _answer(rig, calls[0], good=2)
    assert rig.started() == []
    _answer(rig, calls[1], good=2)
    assert len(rig.started()) == 8


def test_a_part_that_fails_is_asked_for_again_and_the_others_count() -> None:
    rig, calls = _request(SLOW, slots=20)
    rig.scheduler.advice.call_failed(calls[0].call_slot, calls[0].step)
    _answer(rig, calls[1], good=1)
    _answer(rig, calls[2], good=1)
    rig.wait(0.5)
    repeated = [call for call in rig.advice_calls() if call not in calls]
    assert sorted(vm for call in repeated for vm in call.vms) == sorted(calls[0].vms)


def test_as_many_vms_are_named_as_a_step_is_likely_to_need_and_then_the_others() -> None:
    rig, calls = _request(QUICK, slots=20, vms=60, tasks=4)
    (call,) = calls
    assert len(call.vms) == 30
    _answer(rig, call, good=1)
    (repeated,) = [other for other in rig.advice_calls() if other is not call]
    assert not set(call.vms) & set(repeated.vms)


def test_slow_requests_name_all_vms_at_once() -> None:
    _, calls = _request(SLOW, slots=40, vms=200, tasks=2)
    assert sum(len(call.vms) for call in calls) == 200


def test_more_vms_are_named_for_a_queue_of_which_few_vms_may_run_steps() -> None:
    rig, calls = _request(QUICK, slots=20, vms=200, tasks=16)
    assert sum(len(call.vms) for call in calls) == 64
    for call in calls:
        _answer(rig, call, good=0)
    repeated = [call for call in rig.advice_calls() if call not in calls]
    assert sum(len(call.vms) for call in repeated) > 70


def test_the_ticket_of_a_terminated_vm_is_not_kept() -> None:
    """A terminated VM's expired ticket caused all other tickets to be renewed repeatedly."""
    rig, calls = _request(SLOW, slots=20)
    for call in calls:
        _answer(rig, call, 2)
    step = rig.scheduler.state.open_steps["wide.0.0"]
    assert step.advice is not None
    terminated = next(iter(step.advice.tickets))
    rig.scheduler.vms.incarnation_ended(terminated)
    for _ in range(4):
        rig.tick(0.3)
    assert step.advice.tickets
    assert terminated not in step.advice.tickets


def test_the_vms_of_the_pool_that_a_queue_is_sent_to_are_asked_about() -> None:
    """A step that knew all answers for one pool waited in the next for a change of the VMs."""
    advised = queue("q", advice=QUICK)
    rig = Rig(vms=4, queues=(advised,))
    rig.scheduler.advice.set_call_slots({"l0"})
    rig.accept("moved", spec(StepSpec(6, HALF, expected_ms=4000.0, spread=1)), advised)
    for name in ("x0", "x1"):
        rig.scheduler.update_vm(VmInfo(name, name, "next", Shape(16_000, 64_000)))
        rig.vm_names.append(name)
    rig.commit()
    rig.report_all()
    rig.tick()
    (call,) = rig.advice_calls()
    _answer(rig, call, good=4)
    rig.report_all()
    rig.wait(0.1)
    sent = Queue(advised.host, advised.prefix, replace(advised.terms, pool="next"))
    rig.scheduler.apply_configuration(
        replace(rig.configuration, version=rig.configuration.version + 1, queues=(sent,))
    )
    rig.report_all()
    rig.wait(0.1)
    assert sorted(rig.advice_calls()[-1].vms) == ["x0", "x1"]
