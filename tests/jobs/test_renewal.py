"""Tickets of waiting steps are renewed before they are needed, over call slots that are free."""

from sablemount.jobs.actions import AskAdvice
from sablemount.jobs.model import AdviceTerms, Shape, StepSpec
from tests.jobs.rig import Rig, queue, spec

WHOLE = Shape(16_000, 1_000)
SLOW = queue("slow", advice=AdviceTerms(800.0, 7.0, 2000.0))
TICKETS = {"w0": "first"}
VALID_MS = 2000.0


def _waiting(slots: int) -> tuple[Rig, AskAdvice]:
    """Return a rig whose only good VM is full, and the call for advice of the waiting step."""
    rig = Rig(vms=2, queues=(queue(), SLOW))
    rig.scheduler.advice.set_call_slots({f"m{number}" for number in range(slots)})
    rig.accept("full", spec(StepSpec(2, WHOLE, expected_ms=9000.0)))
    rig.tick()
    rig.hold_all()
    rig.accept("waits", spec(StepSpec(1, WHOLE, expected_ms=9000.0)), SLOW)
    rig.tick()
    (ask,) = rig.advice_calls()
    rig.scheduler.advice.answered(ask.call_slot, ask.step, ask.vms, TICKETS, VALID_MS)
    return rig, ask


def test_tickets_are_renewed_before_they_lapse() -> None:
    rig, first = _waiting(slots=6)
    rig.tick(0.5)
    assert rig.advice_calls() == [first]
    rig.tick(0.5)
    renewal = rig.advice_calls()[-1]
    assert renewal is not first
    assert renewal.vms == ("w0",)


def test_freed_capacity_is_used_at_once_with_a_renewed_ticket() -> None:
    rig, _ = _waiting(slots=6)
    rig.tick(1.0)
    renewal = rig.advice_calls()[-1]
    rig.tick(0.8)
    tickets = {"w0": "second"}
    rig.scheduler.advice.answered(renewal.call_slot, renewal.step, renewal.vms, tickets, VALID_MS)
    rig.tick(1.0)
    rig.complete(next(start for start in rig.started() if start.vm == "w0"), "done")
    rig.report_all()
    rig.tick()
    assert rig.started()[-1].ticket == "second"


def test_renewals_leave_call_slots_to_others() -> None:
    rig, first = _waiting(slots=1)
    rig.tick(1.9)
    assert rig.advice_calls() == [first]
