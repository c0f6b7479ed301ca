"""SIGHUP, which announces changed settings, may arrive at any time while a process starts."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
SIGNAL_DURING_IMPORTS = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "tornado":
            os.kill(os.getpid(), signal.SIGHUP)
        return None

sys.meta_path.insert(0, Finder())
runpy.run_path("src/sablemount_node.py", run_name="__main__")
"""
SIGNAL_WHILE_BLOCKED = """
import os, signal
from sablemount.platform import hangup

hangup.block()
os.kill(os.getpid(), signal.SIGHUP)
signal.signal(signal.SIGHUP, lambda number, frame: print("taken"))
print("held")
hangup.unblock()
print("alive")
"""
EXIT_SETTINGS = 2


def _run(script: str) -> "subprocess.CompletedProcess[str]":
    environment = {**os.environ, "PYTHONPATH": str(ROOT / "src"), "SABLEMOUNT_BOOT": "/nowhere"}
    return subprocess.run(
        [sys.executable, "-c", script],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )


def test_a_process_that_is_signalled_while_it_imports_lives_on() -> None:
    assert _run(SIGNAL_DURING_IMPORTS).returncode == EXIT_SETTINGS


def test_a_signal_that_came_meanwhile_is_taken_once_released() -> None:
    assert _run(SIGNAL_WHILE_BLOCKED).stdout.split() == ["held", "taken", "alive"]
