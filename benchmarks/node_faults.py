"""Faults of the process soak: each strikes real processes, or the stand-in platform."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from benchmarks.node_processes import Node, Nodes
from tests.platform.standin import Standin

__all__ = ["FAULTS", "Fault", "Target"]

STOP_LIMIT = 6.0
"""Seconds that a planned stop may take: the grace of the processes' settings."""
USUAL_LATENCY = 0.004


class Target:
    """What the faults strike, and what they find wrong themselves."""

    def __init__(self, nodes: Nodes, standin: Standin, rng: random.Random) -> None:
        self.nodes = nodes
        self.standin = standin
        self.rng = rng
        self.wrong: list[str] = []
        self.ending = False

    def one(self) -> Node | None:
        """Return some process that runs."""
        running = self.nodes.running()
        return self.rng.choice(running) if running else None

    async def back(self, nodes: list[Node], after: float) -> None:
        """Start processes again after some seconds."""
        await asyncio.sleep(after)
        if not self.ending:
            await self.nodes.start(nodes)


Fault = Callable[[Target], Awaitable[None]]


async def kill_one(target: Target) -> None:
    """Kill one process."""
    node = target.one()
    if node is not None:
        await node.kill()
        await target.back([node], target.rng.uniform(0.1, 2.0))


async def kill_all(target: Target) -> None:
    """Kill all processes at once."""
    rows = target.nodes.running()
    await asyncio.gather(*(node.kill() for node in rows))
    await target.back(rows, target.rng.uniform(0.2, 1.5))


async def freeze(target: Target) -> None:
    """Stop a process for a while, and let it go on."""
    node = target.one()
    if node is not None:
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(target.rng.uniform(0.5, 6.0))
        node.signal(signal.SIGCONT)


async def planned_stop(target: Target) -> None:
    """Stop a process as planned; it ends in time and with code 0."""
    node = target.one()
    if node is None or node.process is None:
        return
    process = node.process
    node.signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_LIMIT):
            code = await process.wait()
        if code not in (0, -signal.SIGKILL):
            target.wrong.append(f"{node.name} ended with {code} on a planned stop")
    except TimeoutError:
        # A freeze of the same process may have come between.
        await node.kill()
    await target.back([node], target.rng.uniform(0.1, 1.0))


async def settings_change(target: Target) -> None:
    """Change a settings file, badly at times."""
    node = target.one()
    if node is not None:
        await node.reload(valid=False)
        await asyncio.sleep(0.2)
        await node.reload(valid=True)


async def store_down(target: Target) -> None:
    """Let the store refuse everybody."""
    target.standin.store.down = True
    await asyncio.sleep(target.rng.uniform(1.0, 6.0))
    target.standin.store.down = False


async def store_slow(target: Target) -> None:
    """Let the store answer slowly."""
    target.standin.store.latency = target.rng.uniform(0.1, 0.3)
    await asyncio.sleep(target.rng.uniform(1.0, 4.0))
    target.standin.store.latency = USUAL_LATENCY


async def answers_lost(target: Target) -> None:
    """Let the store carry calls out and break off instead of answering."""
    target.standin.store.lost = 0.3
    await asyncio.sleep(target.rng.uniform(1.0, 4.0))
    target.standin.store.lost = 0.0


async def history_forgotten(target: Target) -> None:
    """Let the store forget all but the newest records."""
    target.standin.store.forget_history()


async def vm_crash(target: Target) -> None:
    """End a VM's life; a new one comes at another address."""
    vms = [vm for vm in target.standin.cell.vms.values() if vm.up]
    vm = target.rng.choice(vms)
    target.standin.crash_worker(vm)
    await asyncio.sleep(target.rng.uniform(0.2, 3.0))
    target.standin.add_worker(vm.info.rack)


FAULTS: tuple[Fault, ...] = (
    kill_one,
    kill_all,
    freeze,
    planned_stop,
    settings_change,
    store_down,
    store_slow,
    answers_lost,
    history_forgotten,
    vm_crash,
)
