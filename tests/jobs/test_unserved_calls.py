"""Answers to callers whose job no VM can run, in the emulated system, beside its faults."""

import asyncio
import logging

import msgspec
import pytest

from sablemount.control.messages import CallerCall, CallerReply, Operation, Outcome
from sablemount.jobs.model import JobSpec, Shape, StepSpec
from sablemount.jobs.systems.unserved import SETTLE_TIME_S
from tests.emulator.loop import run
from tests.emulator.system import CAPACITY, HOST, PREFIX, System
from tests.jobs.running import start_system

VMS = 4
CORE = Shape(1_000, 1_000)
SERVED = JobSpec("payload", (StepSpec(1, CORE),))
NO_SUCH_LABEL = JobSpec("payload", (StepSpec(1, CORE), StepSpec(1, CORE, label="c")))
TOO_WIDE = JobSpec("payload", (StepSpec(100, Shape(10, 1), gang=True, spread=1),))
TOO_LARGE = JobSpec("payload", (StepSpec(1, Shape(CAPACITY.cores + 1, 1)),))
UNSERVED = pytest.mark.parametrize(
    "spec", [NO_SUCH_LABEL, TOO_WIDE, TOO_LARGE], ids=["label", "gang", "task"]
)
SETTLED_S = SETTLE_TIME_S + 5.0
"""Seconds after the start of a leader from which it knows its VMs for certain."""


async def _settled_system(vms: int = VMS) -> System:
    system = System(3, vms=vms)
    await start_system(system, SETTLED_S)
    return system


async def _submit(system: System, name: str, spec: JobSpec) -> CallerReply:
    spec = system.cell.register_job(name, spec)
    system.cell.urls[name] = HOST + PREFIX + name
    reply = await system.call(CallerCall(Operation.SUBMIT, HOST, PREFIX + name, spec))
    assert reply is not None
    return reply


async def _state(system: System, name: str) -> CallerReply:
    reply = await system.state(name)
    assert reply is not None
    return reply


async def _change_leader(system: System) -> None:
    leader = system.leader()
    assert leader is not None
    system.kill(leader, 2.0)
    await asyncio.sleep(6.0)
    assert system.leader() not in (None, leader)


@UNSERVED
def test_a_job_that_no_vm_can_run_is_told_at_once_and_never_runs(spec: JobSpec) -> None:
    async def scenario() -> None:
        system = await _settled_system()
        began = asyncio.get_running_loop().time()
        reply = await _submit(system, "a1", spec)
        assert asyncio.get_running_loop().time() - began < 0.1
        assert reply.outcome is Outcome.NOT_TAKEN
        assert reply.path.startswith("$.steps[")
        assert reply.reason.startswith("no VM can run step ")
        assert reply.retry_after > 1.0
        assert not reply.changing
        await asyncio.sleep(10.0)
        assert (await _state(system, "a1")).outcome is Outcome.NO_JOB
        assert system.cell.starts == {}
        assert (await _submit(system, "a2", SERVED)).outcome is Outcome.DONE

    run(scenario())


def test_a_refusal_is_told_apart_in_the_counter_and_in_the_log(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        system = await _settled_system()
        leader = system.leader()
        assert leader is not None
        long_label = StepSpec(1, CORE, label="c" * 10_000)
        with caplog.at_level(logging.INFO, "sablemount.control.callers"):
            await _submit(system, "a1", TOO_LARGE)
            await _submit(system, "a2", JobSpec("payload", (long_label,)))
        counters = system.members[leader].metrics.counters
        assert counters[("submit", "unserved")] == 2
        assert counters[("submit", "not_taken")] == 0

    run(scenario())
    first, second = (line for line in caplog.records if line.message == "no VM can run job")
    told = vars(first)
    assert (told["job"], told["queue"], told["pool"], told["step"]) == ("a1", "work", "pool", 0)
    assert (told["bound"], told["needed"], told["offered"]) == ("cores", 16_001, 16_000)
    assert told["vms"] == VMS
    assert 0.0 <= told["known_ago"] < 3.0
    assert len(vars(second)["label"]) < 100


@UNSERVED
def test_a_new_leader_refuses_nothing_before_it_knows_the_vms(spec: JobSpec) -> None:
    async def scenario() -> None:
        system = System(3, vms=VMS)
        await start_system(system)
        assert (await _submit(system, "a1", spec)).outcome is Outcome.DONE
        await asyncio.sleep(SETTLED_S)
        assert (await _submit(system, "a2", spec)).outcome is Outcome.NOT_TAKEN
        await _change_leader(system)
        assert (await _submit(system, "a3", spec)).outcome is Outcome.DONE
        await asyncio.sleep(SETTLED_S)
        assert (await _submit(system, "a4", spec)).outcome is Outcome.NOT_TAKEN

    run(scenario())


@UNSERVED
def test_a_repeat_of_an_accepted_job_is_answered_as_before(spec: JobSpec) -> None:
    async def scenario() -> None:
        system = System(3, vms=VMS)
        await start_system(system)
        await _submit(system, "a1", spec)
        await asyncio.sleep(SETTLED_S)
        reply = await _submit(system, "a1", spec)
        assert (reply.outcome, reply.state) == (Outcome.DONE, "known")
        await _change_leader(system)
        await asyncio.sleep(SETTLED_S)
        reply = await _submit(system, "a1", spec)
        assert (reply.outcome, reply.state) == (Outcome.DONE, "known")
        assert (await _state(system, "a1")).state in ("pending", "running")

    run(scenario())


@UNSERVED
def test_nothing_is_refused_as_unserved_while_the_store_is_away_or_just_back(
    spec: JobSpec,
) -> None:
    async def scenario() -> None:
        system = await _settled_system()
        system.store.down = True
        for name in ("a1", "a2"):
            await asyncio.sleep(7.0)
            assert not (await _submit(system, name, spec)).unserved
        system.store.down = False
        await asyncio.sleep(6.0)
        assert (await _submit(system, "a3", spec)).outcome is Outcome.DONE

    run(scenario())


def test_a_job_is_taken_while_the_only_vm_of_its_kind_restarts() -> None:
    async def scenario() -> None:
        system = System(3, vms=VMS, kinds=("a", "a", "a", "c"))
        await start_system(system, SETTLED_S)
        vm = next(vm for vm in system.cell.vms.values() if "c" in vm.info.labels)
        system.crash_vm(vm, 20.0)
        await asyncio.sleep(12.0)
        assert (await _submit(system, "a1", NO_SUCH_LABEL)).outcome is Outcome.DONE
        await asyncio.sleep(25.0)
        assert (await _state(system, "a1")).state == "succeeded"

    run(scenario())


def test_a_caller_that_comes_back_is_served_by_a_kind_that_came_later() -> None:
    async def scenario() -> None:
        system = await _settled_system()
        reply = await _submit(system, "a1", NO_SUCH_LABEL)
        assert reply.outcome is Outcome.NOT_TAKEN
        system.list_vm(system.cell.add("w9", "r9", CAPACITY, "10.0.0.99:8240", "pool", "c"))
        await asyncio.sleep(reply.retry_after)
        assert (await _submit(system, "a1", NO_SUCH_LABEL)).outcome is Outcome.DONE
        await asyncio.sleep(10.0)
        assert (await _state(system, "a1")).state == "succeeded"

    run(scenario())


def test_a_queue_that_is_sent_to_another_pool_is_judged_by_the_vms_there() -> None:
    async def scenario() -> None:
        system = System(3, vms=VMS, pools=("pool", "other"))
        await start_system(system, SETTLED_S)
        system.list_vm(system.cell.add("w9", "r9", CAPACITY, "10.0.0.99:8240", "other", "c"))
        await asyncio.sleep(2.0)
        assert (await _submit(system, "a1", NO_SUCH_LABEL)).outcome is Outcome.NOT_TAKEN
        system._pools = ("other", "pool")
        system.configure(2)
        await asyncio.sleep(2.0)
        assert (await _submit(system, "a1", NO_SUCH_LABEL)).outcome is Outcome.DONE

    run(scenario())


def test_a_reply_of_a_later_release_is_read_by_an_earlier_one() -> None:
    class Earlier(msgspec.Struct, frozen=True, tag="CallerReply", omit_defaults=True):
        outcome: Outcome
        reason: str = ""

    reply = CallerReply(Outcome.NOT_TAKEN, reason="why", unserved=True)
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=Earlier)
    assert decoded == Earlier(Outcome.NOT_TAKEN, "why")
