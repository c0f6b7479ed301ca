"""Concurrent soaks use different loopback networks, and signals leave exit codes as they are."""

import asyncio
import os
import signal
from pathlib import Path

import pytest

from benchmarks import node_processes
from benchmarks.node_processes import Node, _free_network
from tests.platform.standin import Standin


def test_no_two_soaks_have_the_same_network() -> None:
    first_network, first_guard = _free_network()
    second_network, second_guard = _free_network()
    first_guard.close()
    second_guard.close()
    assert first_network != second_network


def test_a_network_is_free_again_after_a_soak() -> None:
    network, guard = _free_network()
    guard.close()
    network_after_release, guard = _free_network()
    guard.close()
    assert network_after_release == network


EXIT_CODE = 3
PROCESSES = 20
"""Enough for a signal to meet a process that has ended and is not reaped yet."""


def _has_ended(pid: int) -> bool:
    """Return whether a process has ended, without reaping it."""
    try:
        return os.waitid(os.P_PID, pid, os.WEXITED | os.WNOHANG | os.WNOWAIT) is not None
    except ChildProcessError:
        return True


async def _signal_until_ended(node: Node) -> int:
    """Start a process that ends by itself, send it signals until then, return its exit code."""
    await node.start()
    process = node.process
    assert process is not None
    while not _has_ended(process.pid):
        node.signal(signal.SIGCONT)
    node.signal(signal.SIGCONT)
    return await process.wait()


async def _exit_codes(folder: Path) -> list[int]:
    standin = Standin()
    try:
        node = Node("n0", "127.0.0.1", folder, standin)
        return [await _signal_until_ended(node) for _ in range(PROCESSES)]
    finally:
        standin.close()


def test_a_signal_to_a_process_that_has_ended_does_not_change_its_exit_code(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The soak reported 255 for a graceful stop that had ended with 0."""
    program = tmp_path / "program.py"
    program.write_text(f"import sys; sys.exit({EXIT_CODE})")
    monkeypatch.setattr(node_processes, "PROGRAM", program)
    assert asyncio.run(_exit_codes(tmp_path)) == [EXIT_CODE] * PROCESSES
