"""Processor time and bytes of a leader's polls, pings and VM lists, by VMs and members.

Each part is measured separately on one core, against a stand-in in another process.
"""

import asyncio
import base64
import json
import os
import time
from collections.abc import Awaitable, Callable, Coroutine

import msgspec

from sablemount import boottime
from sablemount.adapters.upstream import UpstreamPool
from sablemount.control.messages import Message, Ping, Pong, Reply
from sablemount.control.network import Link
from sablemount.control.ports import HoldCall
from sablemount.control.rpc import TcpNetwork
from sablemount.control.vm_polls import HOLD_WAIT_S, IDLE_POLLS_PER_S, MAX_HOLD_WAIT_S
from sablemount.jobs.records import Record
from sablemount.platform.directory import PlatformDirectory
from sablemount.platform.workers import PlatformWorkers

__all__ = ["main"]

CONCURRENT_CALLS = 200
ROUNDS = 20
PORT = 17_711
SIZES = ((300, 30), (1_000, 100), (3_000, 300))
"""Numbers of VMs and of members."""
PING_INTERVAL_S = 0.15
HEARTBEAT_INTERVAL_S = 1.5
"""Seconds between two writes of a VM to its entry."""
HOLD_BODY = json.dumps({"clockMs": 482113.25, "running": [], "ended": [], "born": 3}).encode()
HOLD_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(HOLD_BODY) + HOLD_BODY


class _FixedReply(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        assert isinstance(self._transport, asyncio.Transport)
        self._transport.write(HOLD_REPLY)


async def _run_stand_in() -> None:
    await asyncio.get_running_loop().create_server(_FixedReply, "127.0.0.1", PORT)
    await asyncio.Event().wait()


async def _pong(link: Link, message: Message) -> Reply:
    return Pong(3, True, 0.0, roster=4, configuration=7, configuration_age=0.1)


async def _time_per_call(times: int, work: Callable[[], Awaitable[object]]) -> float:
    """Return the processor seconds per call of ``work``, run ``times`` times concurrently."""
    started_at = time.process_time()
    await asyncio.gather(*(work() for _ in range(times)))
    return (time.process_time() - started_at) / times


async def _measure_polls() -> tuple[float, float]:
    """Return the processor seconds of a poll over a new connection and over an open one."""
    workers = PlatformWorkers(UpstreamPool(CONCURRENT_CALLS, HEARTBEAT_INTERVAL_S * ROUNDS))
    call = HoldCall("a1b2c3", f"127.0.0.1:{PORT}", 1 << 32, 486_000, 57, HOLD_WAIT_S)
    first = await _time_per_call(CONCURRENT_CALLS, lambda: workers.hold(call, 5.0))
    reused = [
        await _time_per_call(CONCURRENT_CALLS, lambda: workers.hold(call, 5.0))
        for _ in range(ROUNDS)
    ]
    return first, sum(reused) / ROUNDS


async def _measure_ping() -> float:
    """Return the processor seconds of answering a ping: half of what both ends take here."""
    network = TcpNetwork()
    server = network.listen(f"127.0.0.1:{PORT + 1}", _pong, lambda link: None)
    link = await network.connect(f"127.0.0.1:{PORT + 1}", _pong, 1.0)
    serving = asyncio.get_running_loop().create_task(link.serve())
    ping = Ping("edge-north-1", "10.1.0.13:7720", 3, 12.0, roster=4, configuration=7)
    round_trip = await _time_per_call(CONCURRENT_CALLS * ROUNDS, lambda: link.call(ping, 30.0))
    serving.cancel()
    server.close_all()
    return round_trip / 2


def _entry(number: int) -> bytes:
    fields = {
        "service": "pool",
        "addr": f"10.9.{number // 250}.{number % 250 + 1}:8240",
        "zone": "north",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "seq": 4,
        "capacity": {"cpu": 32_000, "memMb": 131_072, "gpu": 0},
        "labels": ["a", f"r1-{number // 12}"],
        "machine": f"machine-{number}",
        "born": 3,
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def _measure_list(vms: int) -> tuple[float, int, int]:
    """Return the processor seconds and bytes of a VM list, and the bytes of its entries."""
    entries = [_entry(number) for number in range(vms)]
    items = [
        {"key": f"i-{number:010x}", "value": base64.b64encode(value).decode(), "offset": number}
        for number, value in enumerate(entries)
    ]
    body = msgspec.json.encode(items)
    directory = PlatformDirectory()
    started_at = time.process_time()
    for item in msgspec.json.decode(body):
        directory.vm(Record(item["key"], base64.b64decode(item["value"])))
    return time.process_time() - started_at, len(body), sum(map(len, entries))


def _fork(work: Callable[[], Coroutine[object, object, None]]) -> int:
    pid = os.fork()
    if pid == 0:
        asyncio.run(work())
    return pid


async def _measure() -> tuple[float, float, float]:
    while True:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", PORT)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        writer.close()
        first, reused = await _measure_polls()
        return first, reused, await _measure_ping()


def main() -> None:
    """Measure and print the costs."""
    child = _fork(_run_stand_in)
    try:
        first, reused, ping = boottime.run(_measure())
    finally:
        os.kill(child, 9)
        os.waitpid(child, 0)
    print(
        f"us per call: first poll {first * 1e6:.0f}, poll {reused * 1e6:.0f}, ping {ping * 1e6:.0f}"
    )
    print(
        "| VMs | members | first polls, s | polls | pings | a list, s | its kB | heartbeats, kB/s |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for vms, members in SIZES:
        wait = min(MAX_HOLD_WAIT_S, max(HOLD_WAIT_S, vms / IDLE_POLLS_PER_S))
        list_seconds, size, entries = _measure_list(vms)
        cells = (
            vms,
            members,
            f"{vms * first:.2f}",
            f"{vms / wait * reused:.2f}",
            f"{members / PING_INTERVAL_S * ping:.2f}",
            f"{list_seconds:.3f}",
            size // 1000,
            int(entries / HEARTBEAT_INTERVAL_S) // 1000,
        )
        print("| " + " | ".join(map(str, cells)) + " |")


if __name__ == "__main__":
    main()
