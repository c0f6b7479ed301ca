"""A cell over real sockets in one process: stand-ins of the platform and workers, schedulers."""

import asyncio
import itertools
import json
import random
import socket

import msgspec
from tornado import httpclient, httpserver

from sablemount.core.config import CoreSettings
from sablemount.entry.application import make_server
from sablemount.runtime import Runtime
from sablemount.settings import PeerAddress, Settings
from tests.fakes.servers import LOOPBACK, PlatformServer, make_workers
from tests.fakes.worker import GroundTruth

__all__ = ["Cell", "Node", "free_port"]


FIRST_PORT = 12_000
LAST_PORT = 32_000
_ports = itertools.count(FIRST_PORT + random.SystemRandom().randrange(LAST_PORT - FIRST_PORT))


def free_port() -> int:
    """Return a port on which no socket listens.

    It lies below the range of ephemeral ports, so that no outgoing connection can occupy it before
    the server binds it.
    """
    while True:
        port = FIRST_PORT + next(_ports) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


class Node:
    """A scheduler with its HTTP server."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.runtime = Runtime(settings)
        self.server: httpserver.HTTPServer = make_server(self.runtime)

    @property
    def address(self) -> str:
        """Return the address for callers and operators."""
        return self.settings.listen

    async def start(self) -> None:
        """Listen, and start the scheduler."""
        host, _, port = self.settings.listen.rpartition(":")
        self.server.listen(int(port), host)
        await self.runtime.start()

    async def close(self) -> None:
        """Stop listening, and close the scheduler and all connections."""
        self.server.stop()
        await self.runtime.close()
        await self.server.close_all_connections()


class Cell:
    """The stand-ins and the schedulers of a cell."""

    def __init__(
        self,
        schedulers: int = 3,
        workers: int = 12,
        core: CoreSettings | None = None,
        service_time: float = 0.002,
        halls: tuple[str, ...] = ("sala-norte", "sala-sur", "envigado", "bello"),
    ) -> None:
        self.truth = GroundTruth()
        self.workers = make_workers(workers, self.truth, halls, 6, service_time)
        self.platform = PlatformServer(self.workers)
        core = core or CoreSettings(shards=6)
        ports = [(free_port(), free_port()) for _ in range(schedulers)]
        peers = tuple(
            PeerAddress(f"s{index}", f"{LOOPBACK}:{peer}") for index, (_, peer) in enumerate(ports)
        )
        self.nodes = [
            Node(
                Settings(
                    name=f"s{index}",
                    hall=halls[index % len(halls)],
                    listen=f"{LOOPBACK}:{http}",
                    peer_listen=f"{LOOPBACK}:{peer}",
                    log_service=self.platform.address,
                    vm_list=self.platform.address,
                    peers=peers,
                    core=core,
                )
            )
            for index, (http, peer) in enumerate(ports)
        ]

    async def start(self) -> None:
        """Start the schedulers and wait until the recovery of every shard is complete."""
        for node in self.nodes:
            await node.start()
        shards = self.nodes[0].settings.core.shards
        while sum(self._open_shards(node) for node in self.nodes) < shards:
            await asyncio.sleep(0.05)

    def _open_shards(self, node: Node) -> int:
        held = node.runtime.scheduler.state.held_shards.values()
        return sum(1 for shard in held if shard.recovery_complete)

    async def close(self) -> None:
        """Close all schedulers."""
        for node in self.nodes:
            await node.close()

    async def call(self, node: int, method: str, path: str, body: object = None) -> object:
        """Call a scheduler's HTTP interface and return the decoded answer."""
        response = await httpclient.AsyncHTTPClient().fetch(
            f"http://{self.nodes[node].address}{path}",
            method=method,
            body=None if body is None else msgspec.json.encode(body),
            raise_error=False,
        )
        return json.loads(response.body)
