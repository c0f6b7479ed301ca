"""Real processes of the product, started as by the platform, against the stand-in platform."""

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
PROGRAM = Path(__file__).parents[1] / "src" / "sablemount_node.py"
LOOPBACK_PATTERN = "127.{}.0.{}"
"""Each process has a loopback address of its own, because its metrics port is fixed."""
NETWORKS = 250
SMALL_LIMITS = {"cpuShare": 0.5, "cores": 1, "memoryMb": 200, "maxFds": 4000, "linkMbps": 10}
"""Machine limits in the settings of every third process, which make it unsuitable as leader."""
SMALL_ONE_IN = 3
GUARD_HOST = 254
GUARD_PORT = 11_999
"""Address at which a soak binds a socket to reserve its network against other soaks."""


class Node:
    """A process that can be restarted under the same name and addresses."""

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
        self._wrapper = ["-m", "benchmarks.suspendable"] if suspendable else []
        """Module that runs the program, if any; ``SIGSTOP`` then acts like a suspended machine."""
        self.front = f"{host}:{free_port()}"
        self.caller_address = self.front
        """Address for callers; it differs from ``front`` if a link forwards their calls."""
        self.ready = f"{host}:{free_port()}"
        self.process: asyncio.subprocess.Process | None = None
        self._pidfd: int | None = None
        """File descriptor of the current process, until its exit code is known."""
        self.unexpected_exit_codes: list[int] = []
        """Exit codes of processes that were neither stopped nor killed by the soak."""
        self.start_count = 0
        """Number of starts; it identifies the current process in the sets below."""
        self.stopped: set[int] = set()
        """Starts whose process was asked to stop gracefully."""
        self.killed: set[int] = set()
        self.frozen: set[int] = set()
        self.is_lost = False
        """Whether the machine of the process was lost for good."""
        self._start_lock = asyncio.Lock()
        self._settings_file = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        port = free_port()
        self._boot_settings: dict[str, Any] = {
            "nodeName": name,
            "ip": host,
            "listen": {"front": self.front, "ready": self.ready},
            "portRange": [port, port + 1],
            "platform": {"addr": standin.store_address},
            "advice": standin.advice_address,
            "bounds": {"graceS": 6, "holdMaxMs": int(standin.cell.max_lease_s * 1000.0)},
            "limits": SMALL_LIMITS if small else {},
        }

    def add_links(self, rng: random.Random) -> list[Link]:
        """Route the connections of callers, the store and the advice service over links."""
        front = Link(self.front, rng)
        store = Link(str(self._boot_settings["platform"]["addr"]), rng)
        advice = Link(str(self._boot_settings["advice"]), rng)
        self.caller_address = front.address
        self._boot_settings["platform"] = {"addr": store.address}
        self._boot_settings["advice"] = advice.address
        return [front, store, advice]

    async def start(self) -> None:
        """Start the process with its settings file, unless it is running."""
        async with self._start_lock:
            if not self.running and not self.is_lost:
                await self._start()

    async def _start(self) -> None:
        self._write(json.dumps(self._boot_settings))
        self.start_count += 1
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._wrapper,
                str(PROGRAM),
                cwd=ROOT,
                env={**os.environ, "SABLEMOUNT_BOOT": str(self._settings_file)},
                stdout=log,
                stderr=log,
            )
        self._pidfd = _open_pidfd(self.process.pid)
        asyncio.ensure_future(self._watch(self.process, self._pidfd, self.start_count))

    async def _watch(
        self, process: asyncio.subprocess.Process, pidfd: int | None, start_count: int
    ) -> None:
        code = await process.wait()
        if pidfd is not None:
            os.close(pidfd)
        if self._pidfd == pidfd:
            self._pidfd = None
        if start_count not in self.stopped | self.killed:
            self.unexpected_exit_codes.append(code)

    def _write(self, settings: str) -> None:
        """Replace the settings file atomically."""
        new_file = self._settings_file.with_suffix(".new")
        new_file.write_text(settings)
        new_file.replace(self._settings_file)

    async def listens(self) -> bool:
        """Return whether the process accepts connections, and so handles signals."""
        host, _, port = self.ready.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running, and remember it for its exit code."""
        if self._pidfd is not None and self.running and not self.is_lost:
            if number == signal.SIGTERM:
                self.stopped.add(self.start_count)
            elif number == signal.SIGKILL:
                self.killed.add(self.start_count)
            elif number == signal.SIGSTOP:
                self.frozen.add(self.start_count)
            _send_signal(self._pidfd, number)

    def lose(self) -> None:
        """Lose the machine for good: the process stands still, and its connections stay open."""
        self.signal(signal.SIGSTOP)
        self.is_lost = True

    async def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def reload(self, valid: bool) -> None:
        """Write valid or invalid settings, and signal the process to reload them."""
        self._write(json.dumps(self._boot_settings) if valid else '{"nodeName": 7}')
        self.signal(signal.SIGHUP)


class Nodes:
    """All processes of one system."""

    def __init__(self, count: int, folder: Path, standin: Standin) -> None:
        self._network, self._guard = _free_network()
        self._folder = folder
        self._standin = standin
        self._created = 0
        self.rows = [self._create() for _ in range(count)]
        self.lost: list[Node] = []
        """Processes whose machines were lost; others have taken their places in ``rows``."""
        self.links: list[Link] = []

    def _create(self) -> Node:
        number = self._created
        self._created += 1
        return Node(
            f"n{number}",
            LOOPBACK_PATTERN.format(self._network, number + 1),
            self._folder,
            self._standin,
            suspendable=number % 2 == 1,
            small=number % SMALL_ONE_IN == 0,
        )

    def lose(self, node: Node) -> Node:
        """Lose a machine; return the process that is to take its place, on a machine of its own."""
        node.lose()
        self.lost.append(node)
        new = self.rows[self.rows.index(node)] = self._create()
        return new

    def add_links(self, rng: random.Random) -> None:
        """Insert a link before each address that the processes call or that callers call."""
        for node in self.rows:
            self.links += node.add_links(rng)

    def running(self) -> list[Node]:
        """Return the running processes."""
        return [node for node in self.rows if node.running and not node.is_lost]

    async def start(self, nodes: Iterable[Node] | None = None) -> None:
        """Start the given processes, or all."""
        for node in self.rows if nodes is None else nodes:
            await node.start()

    async def close(self) -> None:
        """Kill the processes that are still running, and close the links."""
        for node in self.lost:
            node.is_lost = False
        for node in self.lost + self.rows:
            if node.running:
                node.signal(signal.SIGCONT)
                await node.kill()
        for link in self.links:
            link.close()
        self._guard.close()


def _open_pidfd(pid: int) -> int | None:
    """Return a file descriptor of a process, or ``None`` if the process was reaped already."""
    try:
        return os.pidfd_open(pid)
    except ProcessLookupError:
        return None


def _send_signal(pidfd: int, number: signal.Signals) -> None:
    """Send a signal to a process unless it has ended.

    ``Process.send_signal`` of asyncio reaps a process that has ended, so that the child watcher
    cannot read the exit code and reports 255.
    """
    try:
        signal.pidfd_send_signal(pidfd, number)
    except ProcessLookupError:
        return


def _free_network() -> tuple[int, socket.socket]:
    """Return the number of a free loopback network, and the socket that reserves it."""
    for attempt in range(NETWORKS):
        network = 1 + (os.getpid() + attempt) % NETWORKS
        guard = socket.socket()
        try:
            guard.bind((LOOPBACK_PATTERN.format(network, GUARD_HOST), GUARD_PORT))
        except OSError:
            guard.close()
            continue
        return network, guard
    raise RuntimeError("no loopback network is free")
