"""A short play of real processes, sockets and signals: leaders are killed while writes are late.

What is judged does not depend on how fast the machine is: what was accepted is known to every
process and ends, no task runs twice, and a process that is told to stop ends with code 0.
"""

import asyncio
from pathlib import Path

import pytest

from benchmarks import node_faults
from benchmarks.process_soak import Size, Soak

SIZE = Size(
    seconds=12.0,
    faults=(node_faults.leaders_killed, node_faults.power_lost, node_faults.planned_stop),
    fault_every=2.0,
    least_accepted=0.0,
)


async def _played(seed: int, folder: Path) -> list[str]:
    # The stand-in's servers belong to the loop in which they are made.
    return await Soak(seed, SIZE, folder).run()


@pytest.mark.parametrize("seed", [1])
def test_processes_keep_what_they_have_accepted(seed: int, tmp_path: Path) -> None:
    assert asyncio.run(_played(seed, tmp_path)) == []
