"""Emulated advice: few VMs may run a step, tickets expire, and calls queue up."""

import asyncio

from sablemount.control.messages import AdviceReply
from sablemount.jobs.actions import StartRun
from tests.emulator.advice import (
    MAX_WAITING_CALLS,
    TICKET_VALIDITY_S,
    EmulatedAdvice,
    is_valid_ticket,
    may_run,
)
from tests.emulator.loop import run

VMS = tuple(f"w{number}-{number}" for number in range(6))
STEP = "j.0.0"


def _start(ticket: str, vm: str, task: str = "j.0.0.1") -> StartRun:
    return StartRun(vm, task, 1, "payload", 0.0, "", ticket)


def test_a_ticket_is_valid_for_its_step_and_incarnation_for_a_while() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        reply = await EmulatedAdvice().advise(STEP, VMS, 1.0)
        assert sorted(reply.good) == [vm for vm in VMS if may_run(STEP, vm)]
        assert len(reply.good) == 4
        vm, ticket = next(iter(reply.good.items()))
        assert is_valid_ticket(_start(ticket, vm), loop.time())
        assert not is_valid_ticket(_start(ticket, f"{vm}1"), loop.time())
        assert not is_valid_ticket(_start(ticket, vm, "j.0.1.1"), loop.time())
        assert not is_valid_ticket(_start("", vm), loop.time())
        assert not is_valid_ticket(_start(ticket, vm), loop.time() + TICKET_VALIDITY_S + 0.1)

    run(scenario())


def test_one_member_has_one_call_at_work_and_few_that_wait() -> None:
    async def scenario() -> None:
        advice = EmulatedAdvice()
        calls = [advice.advise(STEP, VMS, 5.0) for _ in range(45)]
        began = asyncio.get_running_loop().time()
        replies = await asyncio.gather(*calls)
        # One call is processed besides those that wait.
        assert sum(reply.ok for reply in replies) == MAX_WAITING_CALLS + 1
        assert asyncio.get_running_loop().time() - began > 0.005 * MAX_WAITING_CALLS
        assert AdviceReply(False) in replies

    run(scenario())
