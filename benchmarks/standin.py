"""Processes of stand-ins: ``workers`` runs some workers, ``platform`` the log and the VM list.

Each prints its VMs or its address as one line of JSON, and serves until its standard input is
closed. ``platform`` first reads the VM list from its standard input.
"""

import asyncio
import sys

import msgspec

from sablemount.core.facts import VmFacts
from tests.fakes.servers import PlatformServer, StaticVm, make_workers
from tests.fakes.worker import GroundTruth

__all__ = ["main"]

HALLS = ("sala-norte", "sala-sur")


async def _wait_for_end_of_input() -> None:
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.read)


async def _workers(count: int, service_time: float, prefix: str) -> None:
    truth = GroundTruth()
    servers = make_workers(count, truth, HALLS, 6, service_time, prefix)
    print(msgspec.json.encode([server.facts for server in servers]).decode(), flush=True)
    await _wait_for_end_of_input()
    if truth.violations:
        print(truth.violations[:3], file=sys.stderr)


async def _platform() -> None:
    loop = asyncio.get_running_loop()
    line = await loop.run_in_executor(None, sys.stdin.readline)
    vms = [StaticVm(facts) for facts in msgspec.json.decode(line, type=list[VmFacts])]
    platform = PlatformServer(vms)
    print(msgspec.json.encode(platform.address).decode(), flush=True)
    await _wait_for_end_of_input()


def main() -> None:
    """Run ``workers COUNT SERVICE_SECONDS PREFIX`` or ``platform``."""
    if sys.argv[1] == "workers":
        asyncio.run(_workers(int(sys.argv[2]), float(sys.argv[3]), sys.argv[4]))
    else:
        asyncio.run(_platform())


if __name__ == "__main__":
    main()
