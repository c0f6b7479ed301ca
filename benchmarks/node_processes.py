"""Real processes of the product, as the platform starts them, against the stand-in platform."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from benchmarks.cellproc import free_port
from tests.platform.links import Link
from tests.platform.standin import Standin

__all__ = ["Node", "Nodes"]

ROOT = Path(__file__).parents[1]
SOURCE = Path(__file__).parents[1] / "src" / "sablemount_node.py"
LOOPBACK = "127.{}.0.{}"
"""Each process of each soak has a loopback address of its own: the port of its metrics is fixed."""
NETWORKS = 250
SMALL = {"cpuShare": 0.5, "cores": 1, "memoryMb": 200, "maxFds": 4000, "linkMbps": 10}
"""What every third process is told that its machine gives: it leaves the lead to others."""
SMALL_EVERY = 3
GUARD_HOST = 254
GUARD_PORT = 11_999
"""Where a soak listens that uses a network, so that no other one takes the same."""


class Node:
    """One process, started again and again under the same name and addresses."""

    def __init__(
        self,
        name: str,
        host: str,
        folder: Path,
        standin: Standin,
        suspendable: bool = False,
        small: bool = False,
    ) -> None:
        self.name = name
        self._program = ["-m", "benchmarks.suspendable"] if suspendable else []
        """What runs the program; a stop then stands for a suspension of its machine."""
        self.front = f"{host}:{free_port()}"
        self.called_at = self.front
        """Where callers call: another address if a link passes their calls on."""
        self.ready = f"{host}:{free_port()}"
        self.process: asyncio.subprocess.Process | None = None
        self.exits: list[int] = []
        """Exit codes of ends that nobody ordered."""
        self.lives = 0
        """How often it was started."""
        self.stopped: set[int] = set()
        """Lives that were asked for a planned stop."""
        self.killed: set[int] = set()
        self.frozen: set[int] = set()
        self._starting = asyncio.Lock()
        self._settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        port = free_port()
        self._boot: dict[str, Any] = {
            "nodeName": name,
            "ip": host,
            "listen": {"front": self.front, "ready": self.ready},
            "portRange": [port, port + 1],
            "platform": {"addr": standin.store_address},
            "advice": standin.advice_address,
            "bounds": {"graceS": 6},
            "limits": SMALL if small else {},
        }

    def link(self, rng: random.Random) -> list[Link]:
        """Have what callers, the store and the advice say to the process go over links."""
        front = Link(self.front, rng)
        store = Link(str(self._boot["platform"]["addr"]), rng)
        advice = Link(str(self._boot["advice"]), rng)
        self.called_at = front.address
        self._boot["platform"] = {"addr": store.address}
        self._boot["advice"] = advice.address
        return [front, store, advice]

    async def start(self) -> None:
        """Start the process with its settings file, unless it runs."""
        async with self._starting:
            if not self.running:
                await self._start()

    async def _start(self) -> None:
        self._write(json.dumps(self._boot))
        self.lives += 1
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._program,
                str(SOURCE),
                cwd=ROOT,
                env={**os.environ, "SABLEMOUNT_BOOT": str(self._settings)},
                stdout=log,
                stderr=log,
            )
        asyncio.ensure_future(self._watch(self.process, self.lives))

    async def _watch(self, process: asyncio.subprocess.Process, life: int) -> None:
        code = await process.wait()
        if life not in self.stopped | self.killed:
            self.exits.append(code)

    def _write(self, settings: str) -> None:
        """Put another settings file in the place of the one that is there."""
        beside = self._settings.with_suffix(".new")
        beside.write_text(settings)
        beside.replace(self._settings)

    async def listens(self) -> bool:
        """Tell whether the process has started, so that it handles signals."""
        host, _, port = self.ready.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    @property
    def running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that was started here."""
        if self.process is not None and self.running:
            if number == signal.SIGTERM:
                self.stopped.add(self.lives)
            elif number == signal.SIGKILL:
                self.killed.add(self.lives)
            elif number == signal.SIGSTOP:
                self.frozen.add(self.lives)
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def reload(self, valid: bool) -> None:
        """Write the settings file anew, well-formed or not, and say so."""
        self._write(json.dumps(self._boot) if valid else '{"nodeName": 7}')
        self.signal(signal.SIGHUP)


class Nodes:
    """All processes of one system."""

    def __init__(self, count: int, folder: Path, standin: Standin) -> None:
        network, self._guard = _free_network()
        self.rows = [
            Node(
                f"n{number}",
                LOOPBACK.format(network, number + 1),
                folder,
                standin,
                suspendable=number % 2 == 1,
                small=number % SMALL_EVERY == 0,
            )
            for number in range(count)
        ]

        self.links: list[Link] = []

    def link(self, rng: random.Random) -> None:
        """Put a link before each address that the processes call or are called at by callers."""
        for node in self.rows:
            self.links += node.link(rng)

    def running(self) -> list[Node]:
        """Return those that have not ended."""
        return [node for node in self.rows if node.running]

    async def start(self, nodes: Iterable[Node] | None = None) -> None:
        """Start processes; all of them unless some are named."""
        for node in self.rows if nodes is None else nodes:
            await node.start()

    async def close(self) -> None:
        """Kill what still runs of the processes started here."""
        for node in self.running():
            node.signal(signal.SIGCONT)
            await node.kill()
        for link in self.links:
            link.close()
        self._guard.close()


def _free_network() -> tuple[int, socket.socket]:
    """Return a loopback network that no other soak uses, and what keeps it for this one."""
    for attempt in range(NETWORKS):
        network = 1 + (os.getpid() + attempt) % NETWORKS
        guard = socket.socket()
        try:
            guard.bind((LOOPBACK.format(network, GUARD_HOST), GUARD_PORT))
        except OSError:
            guard.close()
            continue
        return network, guard
    raise RuntimeError("no loopback network is free")
