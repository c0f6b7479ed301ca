"""A cell whose schedulers are daemon processes; the stand-ins run in the calling process."""

import asyncio
import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
from tornado import httpclient

from benchmarks.cellproc import free_port
from sablemount.core.config import CoreSettings
from sablemount.settings import PeerAddress, Settings
from tests.fakes.servers import LOOPBACK, PlatformServer, make_workers
from tests.fakes.worker import GroundTruth

__all__ = ["DaemonCell", "wait_until"]

HALLS = ("sala-norte", "sala-sur", "envigado", "bello")
CALL_TIMEOUT_S = 15.0


async def wait_until(condition: Any, limit: float = 30.0) -> float:
    """Wait until an awaitable condition holds, and return the time taken, in seconds."""
    begun = time.monotonic()
    while not await condition():
        if time.monotonic() - begun > limit:
            raise TimeoutError("the condition did not hold within the limit")
        await asyncio.sleep(0.05)
    return time.monotonic() - begun


class DaemonCell:
    """Starts daemons, sends them signals, and calls their HTTP interface."""

    def __init__(
        self,
        folder: Path,
        schedulers: int = 3,
        workers: int = 6,
        core: CoreSettings | None = None,
        service_time: float = 0.002,
    ) -> None:
        self.truth = GroundTruth()
        self.workers = make_workers(workers, self.truth, HALLS, 6, service_time)
        self.platform = PlatformServer(self.workers)
        self.core = core or CoreSettings(shards=6)
        self.folder = folder
        self.names = [f"s{index}" for index in range(schedulers)]
        self.ports = {name: (free_port(), free_port()) for name in self.names}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=64)

    def settings(self, name: str) -> Settings:
        """Return the settings of one scheduler."""
        peers = tuple(PeerAddress(n, f"{LOOPBACK}:{self.ports[n][1]}") for n in self.names)
        return Settings(
            name=name,
            hall=HALLS[self.names.index(name) % len(HALLS)],
            listen=self.address(name),
            peer_listen=f"{LOOPBACK}:{self.ports[name][1]}",
            log_service=self.platform.address,
            vm_list=self.platform.address,
            peers=peers,
            core=self.core,
        )

    def address(self, name: str) -> str:
        """Return a scheduler's address for callers."""
        return f"{LOOPBACK}:{self.ports[name][0]}"

    def start(self, name: str) -> None:
        """Start one daemon."""
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(self.settings(name)))
        errors = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", "sablemount.daemon", str(path)]
        self.processes[name] = subprocess.Popen(command, stderr=errors)
        errors.close()

    async def start_all(self) -> None:
        """Start all daemons and wait until every shard is active at one of them."""
        for name in self.names:
            self.start(name)
        await wait_until(self.settled)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a daemon of this cell."""
        self.processes[name].send_signal(number)

    async def settled(self) -> bool:
        """Return whether all running daemons answer and every shard is active at one of them."""
        active = set()
        for name, process in self.processes.items():
            if process.poll() is not None:
                continue
            shards = await self.call(name, "GET", "/v1/shards", timeout=1.0)
            if shards is None:
                return False
            active |= {row["shard"] for row in shards if row["state"] == "active"}
        return len(active) == self.core.shards

    async def call(
        self, name: str, method: str, path: str, body: Any = None, timeout: float = CALL_TIMEOUT_S
    ) -> Any:
        """Call a scheduler; return the decoded answer, or ``None`` if there was none."""
        try:
            response = await self.client.fetch(
                f"http://{self.address(name)}{path}",
                method=method,
                body=None if body is None else msgspec.json.encode(body),
                request_timeout=timeout,
                connect_timeout=timeout,
                raise_error=False,
            )
        except (OSError, httpclient.HTTPError):
            return None
        if response.code == httpclient.HTTPError(599).code:
            return None
        return json.loads(response.body or b"null")

    async def publish(self, documents: list[Any]) -> None:
        """Publish documents for the first time."""
        for document in documents:
            key = document.organisation
            key += f"/{document.name}" if hasattr(document, "name") else ""
            body = {"document": document, "expected": 0, "author": "operator"}
            answer = await self.call(self.names[0], "PUT", f"/v1/documents/{key}", body)
            assert answer["revision"] == 1, answer

    async def wait_stopped(self, name: str, limit: float = 30.0) -> int:
        """Wait until a daemon has exited, and return its exit code."""
        process = self.processes[name]

        async def ended() -> bool:
            return process.poll() is not None

        await wait_until(ended, limit)
        return process.returncode

    def close(self) -> None:
        """Kill the daemons that are still running, and stop the stand-ins."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.client.close()
        self.platform.server.stop()
        for server in self.workers:
            server.server.stop()
