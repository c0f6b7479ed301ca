"""The request path over real sockets: throughput and added latency of scheduler processes.

Stand-ins, daemons and load generators each run in processes of their own. ``direct`` calls the
stand-in workers from the same load process, over the same kind of persistent connections.
"""

import asyncio
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import numpy
from tornado import curl_httpclient, httpclient, simple_httpclient

from benchmarks.cellproc import free_port
from benchmarks.documents import demo_documents
from sablemount.adapters.upstream import UpstreamPool
from sablemount.core.config import CoreSettings
from sablemount.core.documents import document_key
from sablemount.settings import PeerAddress, Settings

__all__ = ["Figures", "RequestBench", "compare_clients", "load"]

LOOPBACK = "127.0.0.1"
PATH = "/v1/requests/rueda-andina/quote"
LOAD_S = 3.0
BODY = b'{"from": "laureles", "to": "envigado", "parcels": 2}'


class Figures(msgspec.Struct, frozen=True):
    """Requests per second, latency in milliseconds, and the number of wrong or failed answers."""

    rate: float
    p50_ms: float
    p99_ms: float
    bad: int


def load(targets: list[tuple[str, str]], connections: int, seconds: float = LOAD_S) -> Figures:
    """Send requests to the targets over persistent connections, and return the figures."""
    return asyncio.run(_load(targets, connections, seconds))


async def _load(targets: list[tuple[str, str]], connections: int, seconds: float) -> Figures:
    pool = UpstreamPool(connections)
    latencies: list[float] = []
    bad = 0
    end = time.perf_counter() + seconds

    async def caller(number: int) -> None:
        nonlocal bad
        address, path = targets[number % len(targets)]
        count = 0
        while time.perf_counter() < end:
            count += 1
            headers = {"X-Request-Id": f"{number}-{count}"}
            begun = time.perf_counter()
            answer = await pool.fetch(address, path, BODY, headers, 10.0)
            latencies.append(time.perf_counter() - begun)
            bad += answer.status != 200 or answer.body != b"quote for " + BODY

    begun = time.perf_counter()
    await asyncio.gather(*(caller(number) for number in range(connections)))
    elapsed = time.perf_counter() - begun
    pool.close()
    p50, p99 = numpy.percentile(latencies, [50, 99]) * 1000
    return Figures(len(latencies) / elapsed, float(p50), float(p99), bad)


class RequestBench:
    """Starts and ends the processes of stand-ins and daemons."""

    def __init__(
        self,
        schedulers: int,
        workers: int = 4,
        worker_processes: int = 1,
        service_time: float = 0.0,
        shards: int = 16,
    ) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._processes: list[subprocess.Popen[bytes]] = []
        self._shards = shards
        facts: list[dict[str, str]] = []
        for index in range(worker_processes):
            arguments = ["workers", str(workers), str(service_time), f"vm-{index}"]
            facts += self._standin(arguments)
        self.workers = [row["address"] for row in facts]
        self._platform: str = self._standin(["platform"], facts)
        self._first_daemon = len(self._processes)
        ports = [(free_port(), free_port()) for _ in range(schedulers)]
        self.schedulers = [f"{LOOPBACK}:{http}" for http, _ in ports]
        peers = tuple(
            PeerAddress(f"s{index}", f"{LOOPBACK}:{peer}") for index, (_, peer) in enumerate(ports)
        )
        for index in range(schedulers):
            self._start(index, peers)

    def _start(self, index: int, peers: tuple[PeerAddress, ...]) -> None:
        settings = Settings(
            name=f"s{index}",
            hall="sala-norte",
            listen=self.schedulers[index],
            peer_listen=peers[index].address,
            log_service=self._platform,
            vm_list=self._platform,
            peers=peers,
            core=CoreSettings(shards=self._shards),
        )
        path = Path(self._folder.name) / f"s{index}.json"
        path.write_bytes(msgspec.json.encode(settings))
        command = [sys.executable, "-m", "sablemount.daemon", str(path)]
        self._processes.append(subprocess.Popen(command))

    def _standin(self, arguments: list[str], input_value: object = None) -> Any:
        """Start a process of stand-ins and return the JSON value that it prints."""
        command = [sys.executable, "-m", "benchmarks.standin", *arguments]
        process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self._processes.append(process)
        assert process.stdin is not None
        assert process.stdout is not None
        if input_value is not None:
            process.stdin.write(json.dumps(input_value).encode() + b"\n")
            process.stdin.flush()
        return json.loads(process.stdout.readline())

    @property
    def daemons(self) -> list[int]:
        """Return the process ids of the daemons."""
        return [process.pid for process in self._processes[self._first_daemon :]]

    def prepare(self) -> None:
        """Publish the documents, and wait until every scheduler answers requests."""
        client = httpclient.HTTPClient()
        end = time.monotonic() + 30.0
        for document in demo_documents():
            body = msgspec.json.encode({"document": document})
            url = f"http://{self.schedulers[0]}/v1/documents/{document_key(document)}"
            _retry_until(lambda u=url, b=body: client.fetch(u, method="PUT", body=b), end)
        time.sleep(3.0)
        for address in self.schedulers:
            url = f"http://{address}{PATH}"
            _retry_until(lambda u=url: client.fetch(u, method="POST", body=BODY), end)
        client.close()

    def direct(self) -> list[tuple[str, str]]:
        """Return the workers as targets."""
        return [(address, "/serve") for address in self.workers]

    def through(self) -> list[tuple[str, str]]:
        """Return the schedulers as targets."""
        return [(address, PATH) for address in self.schedulers]

    def close(self) -> None:
        """Kill all processes of this benchmark."""
        for process in reversed(self._processes):
            process.kill()
            process.wait()
        self._folder.cleanup()


def _retry_until(call: Callable[[], object], end: float) -> None:
    while True:
        try:
            call()
            return
        except (OSError, httpclient.HTTPError):
            if time.monotonic() > end:
                raise
            time.sleep(0.1)


def spread_load(
    targets: list[tuple[str, str]], connections: int, processes: int, seconds: float = LOAD_S
) -> Figures:
    """Load the targets from several processes at once, and return their combined figures."""
    with ProcessPoolExecutor(processes) as pool:
        futures = [pool.submit(load, targets, connections, seconds) for _ in range(processes)]
        results = [future.result() for future in futures]
    return Figures(
        sum(part.rate for part in results),
        float(numpy.median([part.p50_ms for part in results])),
        max(part.p99_ms for part in results),
        sum(part.bad for part in results),
    )


def compare_clients(address: str, connections: int, seconds: float = LOAD_S) -> dict[str, Figures]:
    """Measure tornado's two clients and the persistent connections against one worker."""
    return {
        "simple client": asyncio.run(
            _load_client(simple_httpclient.SimpleAsyncHTTPClient, address, connections, seconds)
        ),
        "curl client": asyncio.run(
            _load_client(curl_httpclient.CurlAsyncHTTPClient, address, connections, seconds)
        ),
        "kept connections": load([(address, "/serve")], connections, seconds),
    }


async def _load_client(
    kind: type[httpclient.AsyncHTTPClient], address: str, connections: int, seconds: float
) -> Figures:
    client = kind(force_instance=True, max_clients=connections)
    latencies: list[float] = []
    end = time.perf_counter() + seconds

    async def caller(number: int) -> None:
        count = 0
        while time.perf_counter() < end:
            count += 1
            headers = {"X-Request-Id": f"{number}-{count}"}
            begun = time.perf_counter()
            await client.fetch(f"http://{address}/serve", method="POST", body=BODY, headers=headers)
            latencies.append(time.perf_counter() - begun)

    await asyncio.gather(*(caller(number) for number in range(connections)))
    client.close()
    p50, p99 = numpy.percentile(latencies, [50, 99]) * 1000
    return Figures(len(latencies) / seconds, float(p50), float(p99), 0)
