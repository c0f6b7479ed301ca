"""Admission of callers by API key and configuration version, at each member and during failures."""

import asyncio

import pytest

from sablemount.control.gate import Gate, key_digest
from sablemount.control.messages import CallerCall, CallerReply, Operation, Outcome
from sablemount.jobs.model import Configuration, Organisation, Queue, QueueTerms
from tests.emulator.loop import run
from tests.emulator.system import HOST, PREFIX, System

RUEDA = Organisation("rueda", (key_digest(b"rueda"), key_digest(b"second")))
YARD = Organisation("yard", (key_digest(b"yard"),))
TERMS = QueueTerms("work", "pool")
MAX_APPLY_TIME_S = 2.0
"""Time within which a change must be in force: the shortest limit of all deployments."""
USUAL_APPLY_TIME_S = 0.2
"""Time within which a change is in force without failures: a tenth of that."""


def _call(operation: Operation = Operation.STATE, name: str = "job") -> CallerCall:
    return CallerCall(operation, HOST, PREFIX + name)


def _gate(public: bool = False, *organisations: Organisation) -> Gate:
    queues = (Queue(HOST, PREFIX, TERMS, public),)
    return Gate(Configuration(3, queues, keyed=True, organisations=organisations))


# -- One version -----------------------------------------------------------------------------


def test_a_key_stands_for_its_organisation() -> None:
    admitted = _gate(False, RUEDA, YARD).admit(_call(), key_digest(b"second"))
    assert isinstance(admitted, CallerCall)
    assert (admitted.organisation, admitted.version) == ("rueda", 3)


@pytest.mark.parametrize("digest", [None, key_digest(b"other"), b""])
def test_without_a_key_that_is_known_nobody_is_let_in(digest: bytes | None) -> None:
    refused = _gate(False, RUEDA, YARD).admit(_call(), digest)
    assert isinstance(refused, CallerReply)
    assert refused.outcome is Outcome.NO_KEY


def test_a_public_queue_asks_for_no_key() -> None:
    admitted = _gate(True, RUEDA).admit(_call(), None)
    assert isinstance(admitted, CallerCall)
    assert admitted.organisation == ""


def test_an_empty_list_of_organisations_lets_nobody_in() -> None:
    refused = _gate(False).admit(_call(), key_digest(b"rueda"))
    assert isinstance(refused, CallerReply)
    assert refused.outcome is Outcome.NO_KEY


def test_a_key_of_two_organisations_opens_nothing() -> None:
    twin = Organisation("twin", (key_digest(b"second"), key_digest(b"own")))
    gate = _gate(False, RUEDA, twin)
    assert isinstance(gate.admit(_call(), key_digest(b"second")), CallerReply)
    assert isinstance(gate.admit(_call(), key_digest(b"own")), CallerCall)
    assert isinstance(gate.admit(_call(), key_digest(b"rueda")), CallerCall)


def test_no_queue_goes_before_no_key() -> None:
    refused = _gate(False, RUEDA).admit(CallerCall(Operation.STATE, HOST, "/nowhere/a"), None)
    assert isinstance(refused, CallerReply)
    assert refused.outcome is Outcome.NO_QUEUE


def test_without_a_configuration_callers_are_asked_to_come_back() -> None:
    refused = Gate(Configuration()).admit(_call(), None)
    assert isinstance(refused, CallerReply)
    assert refused.outcome is Outcome.NOT_TAKEN
    assert refused.retry_after > 0


# -- Jobs of other organisations -------------------------------------------------------------


async def _started_system(members: int = 4, organisations: tuple[Organisation, ...] = ()) -> System:
    system = System(31, members=members, vms=12)
    system.configure(2, organisations=organisations or (RUEDA, YARD))
    system.start_all()
    await asyncio.sleep(2.0)
    return system


async def _ask(system: System, member: str, key: bytes, call: CallerCall) -> CallerReply:
    return await system.members[member].serve(call, 2.7, key_digest(key))


def test_a_job_is_hidden_from_other_organisations() -> None:
    async def scenario() -> None:
        system = await _started_system()
        spec = system.random_job()
        await system.submit("job", spec, "rueda")
        assert system.accepted == {"job"}
        state_reply = await _ask(system, "m1", b"yard", _call())
        cancel_reply = await _ask(system, "m2", b"yard", _call(Operation.CANCEL))
        resubmission = CallerCall(Operation.SUBMIT, HOST, PREFIX + "job", system.random_job())
        submit_reply = await _ask(system, "m3", b"yard", resubmission)
        unknown = await _ask(system, "m1", b"yard", _call(name="none"))
        assert state_reply == cancel_reply == unknown
        assert state_reply.outcome is Outcome.NO_JOB
        assert submit_reply.outcome is Outcome.NAME_TAKEN
        own = await _ask(system, "m1", b"second", _call())
        assert own.outcome is Outcome.DONE
        await system.settle(30.0)
        assert await system.find_violations() == []

    run(scenario())


def test_an_ended_job_stays_hidden_also_under_a_later_leader() -> None:
    async def scenario() -> None:
        system = await _started_system()
        await system.submit("job", system.random_job(), "rueda")
        await system.settle(30.0)
        leader = system.leader()
        assert leader is not None
        system.kill(leader, 0.5)
        await asyncio.sleep(3.0)
        assert (await _ask(system, "m1", b"yard", _call())).outcome is Outcome.NO_JOB
        assert (await _ask(system, "m2", b"rueda", _call())).state == "succeeded"

    run(scenario())


def test_a_job_from_before_there_were_organisations_is_told_of() -> None:
    async def scenario() -> None:
        system = System(31, vms=12)
        system.start_all()
        await asyncio.sleep(2.0)
        await system.submit("job", system.random_job())
        system.configure(2, organisations=(RUEDA, YARD))
        await asyncio.sleep(1.0)
        assert (await _ask(system, "m1", b"yard", _call())).outcome is Outcome.DONE

    run(scenario())


# -- Changes ---------------------------------------------------------------------------------


async def _time_to_apply(system: System, key: bytes, outcome: Outcome) -> float:
    """Return the seconds until all members consistently answer a key with ``outcome``."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    last = started_at
    while loop.time() - started_at < MAX_APPLY_TIME_S + 2.0:
        asked_at = loop.time()
        replies = await asyncio.gather(
            *(_ask(system, name, key, _call()) for name in system.members)
        )
        if any(reply.outcome is not outcome for reply in replies):
            last = asked_at
        await asyncio.sleep(0.02)
    return last - started_at


def test_a_key_that_is_taken_away_is_refused_soon_by_all() -> None:
    async def scenario() -> None:
        system = await _started_system()
        system.configure(5, organisations=(Organisation("rueda", (key_digest(b"second"),)), YARD))
        assert await _time_to_apply(system, b"rueda", Outcome.NO_KEY) < USUAL_APPLY_TIME_S
        assert await _time_to_apply(system, b"second", Outcome.NO_JOB) == 0.0

    run(scenario())


def test_a_key_that_is_added_is_honoured_soon_by_all() -> None:
    async def scenario() -> None:
        system = await _started_system()
        third = Organisation("third", (key_digest(b"third"),))
        system.configure(5, organisations=(RUEDA, YARD, third))
        assert await _time_to_apply(system, b"third", Outcome.NO_JOB) < USUAL_APPLY_TIME_S

    run(scenario())


@pytest.mark.parametrize("who", ["followers", "leader", "all but one"])
def test_members_that_the_store_turns_away_learn_of_a_change_from_others(who: str) -> None:
    async def scenario() -> None:
        system = await _started_system(members=8)
        leader = system.leader()
        assert leader is not None
        others = [name for name in system.members if name != leader]
        refused = {
            "followers": others[:3],
            "leader": [leader],
            "all but one": [leader, *others[1:]],
        }
        system.store.unreachable_members |= set(refused[who])
        await asyncio.sleep(0.1)
        system.configure(5, organisations=(YARD,))
        assert await _time_to_apply(system, b"rueda", Outcome.NO_KEY) < MAX_APPLY_TIME_S

    run(scenario())


def test_versions_that_come_in_quick_succession_end_with_the_last() -> None:
    async def scenario() -> None:
        system = await _started_system(members=6)
        for version in range(3, 43):
            system.configure(version, organisations=(YARD, RUEDA) if version % 2 else (YARD,))
            await asyncio.sleep(0.05)
        assert await _time_to_apply(system, b"rueda", Outcome.NO_KEY) < 0.5
        assert {member.feed.version for member in system.members.values()} == {42}

    run(scenario())


def test_no_member_goes_back_behind_a_version_that_it_has_shown() -> None:
    """A leader that knows a change is lost, and its successor has not read the change."""

    async def scenario() -> None:
        system = await _started_system(members=8)
        leader = system.leader()
        assert leader is not None
        slow = [name for name in system.members if name != leader][:6]
        system.store.unreachable_members |= set(slow)
        system.configure(5, organisations=(YARD,))
        await asyncio.sleep(0.7)
        updated = {name for name, member in system.members.items() if member.feed.version == 5}
        assert updated == set(system.members)
        system.power_off(leader, 9.0)
        for _ in range(150):
            for name in updated & set(system.members):
                reply = await _ask(system, name, b"rueda", _call())
                assert reply.outcome in (Outcome.NO_KEY, Outcome.NOT_TAKEN)
            await asyncio.sleep(0.02)

    run(scenario())


def test_a_member_that_hears_no_leader_refuses_nobody_for_a_key() -> None:
    async def scenario() -> None:
        system = await _started_system()
        leader = system.leader()
        isolated = next(name for name in system.members if name != leader)
        system.store.unreachable_members.add(isolated)
        system.network.partitions |= {
            frozenset((isolated, name)) for name in system.names if name != isolated
        }
        third = Organisation("third", (key_digest(b"third"),))
        system.configure(5, organisations=(RUEDA, YARD, third))
        await asyncio.sleep(MAX_APPLY_TIME_S)
        reply = await _ask(system, isolated, b"third", _call())
        assert reply.outcome is Outcome.NOT_TAKEN
        assert reply.retry_after > 0

    run(scenario())


def test_a_member_that_just_started_is_not_ready_before_it_knows_a_configuration() -> None:
    async def scenario() -> None:
        system = System(31)
        topic = next(topic for topic in system.store.topics if topic.value == "configuration")
        log = system.store.topics[topic]
        log.newest.clear()
        log.records.clear()
        system.start_all()
        await asyncio.sleep(2.0)
        assert not any(member.ready for member in system.members.values())
        system.configure(2, organisations=(RUEDA,))
        await asyncio.sleep(0.5)
        assert all(member.ready for member in system.members.values())

    run(scenario())


def test_a_member_that_is_behind_lets_no_dropped_key_in_once_the_leader_knows() -> None:
    async def scenario() -> None:
        system = await _started_system()
        behind = next(name for name in system.members if name != system.leader())
        system.store.without_configuration.add(behind)
        system.configure(5, organisations=(YARD,))
        await asyncio.sleep(0.1)
        assert system.members[behind].feed.version == 2
        assert (await _ask(system, behind, b"rueda", _call())).outcome is Outcome.NO_KEY
        assert system.members[behind].feed.version == 5

    run(scenario())


def test_a_leader_that_is_behind_gets_a_newer_version_from_a_member() -> None:
    async def scenario() -> None:
        system = await _started_system()
        leader = system.leader()
        assert leader is not None
        system.store.without_configuration.add(leader)
        third = Organisation("third", (key_digest(b"third"),))
        system.configure(5, organisations=(RUEDA, YARD, third))
        assert await _time_to_apply(system, b"third", Outcome.NO_JOB) < MAX_APPLY_TIME_S / 2
        assert system.leader() == leader

    run(scenario())


# -- Unconfirmed configurations --------------------------------------------------------------

REVOKE_AFTER_S = 5.0


@pytest.mark.parametrize("fail_closed", [False, True])
def test_without_the_store_callers_are_refused_in_time_if_that_is_asked_for(
    fail_closed: bool,
) -> None:
    async def scenario() -> None:
        system = System(31, vms=12)
        system.fail_closed = fail_closed
        system.configure(2, organisations=(RUEDA, YARD))
        system.start_all()
        await asyncio.sleep(11.0)
        await system.submit("job", system.random_job(), "rueda")
        await asyncio.sleep(1.0)
        served = Outcome.DONE
        for name in system.members:
            assert (await _ask(system, name, b"rueda", _call())).outcome is served
        system.store.down = True
        await asyncio.sleep(REVOKE_AFTER_S + 0.5)
        replies = [await _ask(system, name, b"rueda", _call()) for name in system.members]
        expected = Outcome.NOT_TAKEN if fail_closed else served
        assert {reply.outcome for reply in replies} == {expected}
        system.store.down = False
        await asyncio.sleep(2.0)
        for name in system.members:
            assert (await _ask(system, name, b"rueda", _call())).outcome is served

    run(scenario())


def test_a_member_without_the_store_is_confirmed_by_the_leader() -> None:
    async def scenario() -> None:
        system = System(31, members=6, vms=12)
        system.fail_closed = True
        system.configure(2, organisations=(RUEDA, YARD))
        system.start_all()
        await asyncio.sleep(2.0)
        leader = system.leader()
        system.store.unreachable_members |= {name for name in system.names if name != leader}
        await asyncio.sleep(2 * REVOKE_AFTER_S)
        for name in system.members:
            assert (await _ask(system, name, b"rueda", _call())).outcome is Outcome.NO_JOB

    run(scenario())


# -- Members one version behind --------------------------------------------------------------


def _admits_identically(before: Configuration, after: Configuration) -> bool:
    return Gate(after).admits_identically(Gate(before), CallerCall(Operation.STATE, HOST, PREFIX))


def _configuration(
    version: int, *queues: Queue, keyed: bool = True, keys: bytes = b""
) -> Configuration:
    own = Organisation("own", (key_digest(b"own" + keys),))
    return Configuration(version, queues, keyed=keyed, organisations=(own,))


QUEUE = Queue(HOST, PREFIX, TERMS)


def test_a_call_is_admitted_alike_if_neither_its_queue_nor_any_key_has_changed() -> None:
    other = Queue("other", PREFIX, TERMS)
    assert _admits_identically(_configuration(3, QUEUE), _configuration(4, QUEUE, other))
    assert _admits_identically(_configuration(3, other, QUEUE), _configuration(4, QUEUE))


@pytest.mark.parametrize(
    "after",
    [
        _configuration(4),
        _configuration(4, Queue(HOST, PREFIX, TERMS, public=True)),
        _configuration(4, Queue(HOST, PREFIX, QueueTerms("work", "other"))),
        _configuration(4, QUEUE, Queue(HOST, PREFIX + "x", TERMS)),
        _configuration(4, QUEUE, keyed=False),
        _configuration(4, QUEUE, keys=b"new"),
        _configuration(4, Queue("other", PREFIX, TERMS)),
    ],
)
def test_a_call_is_not_admitted_alike_if_what_it_goes_by_has_changed(after: Configuration) -> None:
    call = CallerCall(Operation.STATE, HOST, PREFIX + "xy")
    assert not Gate(after).admits_identically(Gate(_configuration(3, QUEUE)), call)


def test_without_a_queue_nothing_is_admitted_alike() -> None:
    assert not _admits_identically(_configuration(3), _configuration(4))
