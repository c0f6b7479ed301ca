"""Random faults on the path to the store and at changes of leader; each ends by itself."""

import asyncio
import random
from collections.abc import Callable

from tests.emulator.faults import FAULTS, Fault
from tests.emulator.system import System

__all__ = ["STORE_FAULTS", "draw"]

USUAL_LATENCY_S = 0.004
"""Usual latency of the store in seconds."""
POLL_INTERVAL_S = 0.001
TRIGGER_TIMEOUT_S = 5.0
"""Longest wait of a fault for the condition that triggers it, in seconds."""
FAULTS_PER_MIX = 5
OWN_SHARE = 0.7
"""Share of the faults of a mix that are drawn from this module."""
BURST_JOBS = 15
"""Number of jobs that are submitted together while the leader changes."""


async def _wait_until(condition: Callable[[], bool]) -> bool:
    """Wait until a condition holds; return whether it did within the time limit."""
    loop = asyncio.get_running_loop()
    last = loop.time() + TRIGGER_TIMEOUT_S
    while not condition():
        if loop.time() > last:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True


def _kill_leader(system: System, rng: random.Random) -> str | None:
    """Kill the leader and return its name, or ``None`` if there is no leader."""
    leader = system.leader()
    if leader is not None:
        system.kill(leader, rng.uniform(0.1, 3.0))
    return leader


async def writes_held(system: System, rng: random.Random) -> None:
    """Delay many writes, each for a time of its own, so that later ones overtake them."""
    system.store_path.delayed_append_share = rng.choice((0.3, 0.6, 1.0))
    system.store_path.max_delay_s = rng.choice((0.3, 2.0, 6.0))
    await asyncio.sleep(rng.uniform(2.0, 8.0))
    system.store_path.delayed_append_share = 0.0


async def writes_lost(system: System, rng: random.Random) -> None:
    """Lose many writes before they are executed."""
    system.store_path.lost_append_share = rng.choice((0.2, 0.5, 0.8))
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    system.store_path.lost_append_share = 0.0


async def reads_late(system: System, rng: random.Random) -> None:
    """Delay the replies to many reads, so that their contents are outdated."""
    system.store_path.delayed_read_share = rng.choice((0.3, 0.8))
    await asyncio.sleep(rng.uniform(2.0, 8.0))
    system.store_path.delayed_read_share = 0.0


async def calls_turned_away(system: System, rng: random.Random) -> None:
    """Have the store reject many calls at once, without any effect."""
    system.store_path.refused_share = rng.choice((0.2, 0.5, 0.9))
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    system.store_path.refused_share = 0.0


async def appends_in_turn(system: System, rng: random.Random) -> None:
    """Execute appends one at a time and slowly, even if their callers have ended."""
    system.store.append_time_s = rng.uniform(0.01, 0.25)
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    system.store.append_time_s = 0.0


async def leaders_killed(system: System, rng: random.Random) -> None:
    """Kill several leaders in succession."""
    for _ in range(rng.randint(3, 6)):
        await asyncio.sleep(rng.uniform(0.3, 4.0))
        _kill_leader(system, rng)


async def leaders_killed_as_they_begin(system: System, rng: random.Random) -> None:
    """Kill several leaders shortly after they have begun to lead."""
    previous = _kill_leader(system, rng)
    for _ in range(rng.randint(2, 4)):
        known = previous
        if not await _wait_until(lambda: system.leader() not in (None, known)):  # noqa: B023
            return
        await asyncio.sleep(rng.uniform(0.0, 0.15))
        previous = _kill_leader(system, rng)


async def all_killed_after_an_acceptance(system: System, rng: random.Random) -> None:
    """Kill all members some milliseconds after a job was reported to its caller as accepted."""
    before = len(system.accepted)
    if not await _wait_until(lambda: len(system.accepted) > before):
        return
    await asyncio.sleep(rng.uniform(0.0, 0.03))
    for name in system.names:
        system.kill(name, rng.uniform(0.2, 1.0))


async def cut_while_loading(system: System, rng: random.Random) -> None:
    """Cut a new leader off from the store, but not from its peers, while it loads."""
    system.store.latency_s = rng.choice((USUAL_LATENCY_S, 0.1))
    _kill_leader(system, rng)
    if await _wait_until(lambda: _loading_member(system) is not None):
        name = _loading_member(system)
        assert name is not None
        await asyncio.sleep(rng.uniform(0.0, 2.0) * system.store.latency_s)
        system.store.unreachable_members.add(name)
        await asyncio.sleep(rng.uniform(0.2, 4.0))
        system.store.unreachable_members.discard(name)
    system.store.latency_s = USUAL_LATENCY_S


async def history_forgotten_while_loading(system: System, rng: random.Random) -> None:
    """Trim the history that a new leader has yet to read after its preload."""
    _kill_leader(system, rng)
    if await _wait_until(lambda: _loading_member(system) is not None):
        system.store.trim_history()


def _loading_member(system: System) -> str | None:
    """Return the member that has set its epoch and is not leading yet."""
    for name, member in system.members.items():
        leader = member.leader
        if leader is not None and not leader.leading and leader.committer.end_offset is not None:
            return name
    return None


async def lead_handed_over(system: System, rng: random.Random) -> None:
    """Stop the leader gracefully while slow reads delay its successor and it still writes."""
    leader = system.leader()
    if leader is None:
        return
    system.store.latency_s = rng.choice((USUAL_LATENCY_S, 0.03, 0.1))
    await system.stop(leader, rng.uniform(0.2, 2.0))
    system.store.latency_s = USUAL_LATENCY_S


async def jobs_at_a_take_over(system: System, rng: random.Random) -> None:
    """Submit many jobs while a leader is replaced."""
    _kill_leader(system, rng)
    for _ in range(BURST_JOBS):
        name = f"b{len(system.cell.jobs):04x}"
        asyncio.create_task(system.submit(name, system.random_job()))
        await asyncio.sleep(rng.uniform(0.0, 0.08))


STORE_FAULTS: tuple[Fault, ...] = (
    writes_held,
    writes_lost,
    reads_late,
    calls_turned_away,
    appends_in_turn,
    leaders_killed,
    leaders_killed_as_they_begin,
    all_killed_after_an_acceptance,
    cut_while_loading,
    history_forgotten_while_loading,
    lead_handed_over,
    jobs_at_a_take_over,
)


def draw(seed: int) -> list[Fault]:
    """Return the faults of a seed's mix: most from this module, the others from ``FAULTS``."""
    return draw_faults(seed, STORE_FAULTS, OWN_SHARE)


def draw_faults(
    seed: int,
    own: tuple[Fault, ...],
    share: float,
    others: tuple[Fault, ...] = FAULTS,
    count: int = FAULTS_PER_MIX,
) -> list[Fault]:
    """Return the faults of a seed's mix: a share from one table, the rest from ``others``."""
    rng = random.Random(seed)
    tables = (own if rng.random() < share else others for _ in range(count))
    return [rng.choice(table) for table in tables]
