"""Random faults of members, store, VMs and network; each ends by itself."""

import asyncio
import random
from collections.abc import Callable, Coroutine

from tests.emulator.system import System
from tests.emulator.vm import Vm

POLL_INTERVAL_S = 0.05
"""Seconds between two checks for a running VM."""
Fault = Callable[[System, random.Random], Coroutine[object, object, None]]


def _pick_member(system: System, rng: random.Random) -> str:
    leader = system.leader()
    if leader is not None and rng.random() < 0.5:
        return leader
    return rng.choice(system.names)


async def running_vms(system: System) -> list[Vm]:
    """Return the running VMs; waits until there are any."""
    while not (found := [vm for vm in system.cell.vms.values() if vm.up]):
        await asyncio.sleep(POLL_INTERVAL_S)
    return found


async def kill_member(system: System, rng: random.Random) -> None:
    system.kill(_pick_member(system, rng), rng.uniform(0.1, 3.0))


async def power_off(system: System, rng: random.Random) -> None:
    system.power_off(_pick_member(system, rng), rng.uniform(0.5, 4.0))


async def power_off_all(system: System, rng: random.Random) -> None:
    base_delay = rng.uniform(0.5, 3.0)
    for name in system.names:
        system.power_off(name, base_delay + rng.uniform(0.0, 0.3))


async def stop_member(system: System, rng: random.Random) -> None:
    await system.stop(_pick_member(system, rng), rng.uniform(0.2, 2.0))


async def store_down(system: System, rng: random.Random) -> None:
    system.store.down = True
    await asyncio.sleep(rng.uniform(1.0, 7.0))
    system.store.down = False


async def store_refuses(system: System, rng: random.Random) -> None:
    """Let the store refuse calls at once, by an error reply or a connection reset."""
    system.store.resets_connections = rng.random() < 0.5
    system.store.refusal_share = rng.choice((0.3, 1.0))
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    system.store.refusal_share = 0.0


async def store_turns_away(system: System, rng: random.Random) -> None:
    name = _pick_member(system, rng)
    system.store.unreachable_members.add(name)
    await asyncio.sleep(rng.uniform(1.0, 8.0))
    system.store.unreachable_members.discard(name)


async def store_slow(system: System, rng: random.Random) -> None:
    system.store.latency_s = 0.004 * rng.uniform(30, 75)
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    system.store.latency_s = 0.004


async def answers_lost(system: System, rng: random.Random) -> None:
    system.store.lost_reply_share = 0.35
    system.store.executes_lost_late = rng.random() < 0.5
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    system.store.lost_reply_share = 0.0


async def history_forgotten(system: System, rng: random.Random) -> None:
    system.store.trim_history()


async def vm_crash(system: System, rng: random.Random) -> None:
    vm = rng.choice(await running_vms(system))
    system.crash_vm(vm, rng.uniform(0.5, 5.0))


async def vm_leaves(system: System, rng: random.Random) -> None:
    """Shut a VM down: it announces this, or its entry is removed, and it runs on for a while."""
    vm = rng.choice(await running_vms(system))
    if rng.random() < 0.5:
        system.drain(vm)
    else:
        system.unlist_vm(vm)
    await asyncio.sleep(rng.uniform(2.0, 8.0))
    if vm.up:
        system.crash_vm(vm, rng.uniform(0.5, 3.0))


async def entries_lapse(system: System, rng: random.Random) -> None:
    """Remove the entries of running VMs during a store outage; they return soon after it."""
    for vm in await running_vms(system):
        if rng.random() < 0.7:
            system.entries.lapse(vm)
    await store_down(system, rng)


async def vm_cut(system: System, rng: random.Random) -> None:
    vm = rng.choice(await running_vms(system))
    vm.unreachable = True
    await asyncio.sleep(rng.uniform(1.0, 9.0))
    vm.unreachable = False


async def vm_unhealthy(system: System, rng: random.Random) -> None:
    """Let a VM reject some calls without any effect."""
    vm = rng.choice(await running_vms(system))
    vm.rejection_share = rng.choice((0.3, 1.0))
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    vm.rejection_share = 0.0


async def late_orders(system: System, rng: random.Random) -> None:
    system.cell.late_request_share = 0.06
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    system.cell.late_request_share = 0.0


async def member_cut(system: System, rng: random.Random) -> None:
    name = _pick_member(system, rng)
    partitions = {frozenset((name, other)) for other in system.names if other != name}
    system.network.partitions |= partitions
    if rng.random() < 0.4:
        system.store.unreachable_members.add(name)
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    system.network.partitions -= partitions
    system.store.unreachable_members.discard(name)


async def links_fall_silent(system: System, rng: random.Random) -> None:
    """Silence some open connections permanently, in one direction or both."""
    share = rng.choice((0.3, 1.0))
    for link in system.network.links():
        link.drops_frames = link.drops_frames or rng.random() < share


FAULTS: tuple[Fault, ...] = (
    kill_member,
    power_off,
    power_off_all,
    stop_member,
    store_down,
    store_refuses,
    store_turns_away,
    store_slow,
    answers_lost,
    history_forgotten,
    vm_crash,
    vm_leaves,
    entries_lapse,
    vm_cut,
    vm_unhealthy,
    late_orders,
    member_cut,
    links_fall_silent,
)
