"""The signal that settings have changed may come at any moment of a process's start."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
SIGNALLED_AS_IT_IMPORTS = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "tornado":
            os.kill(os.getpid(), signal.SIGHUP)
        return None

sys.meta_path.insert(0, Finder())
runpy.run_path("src/sablemount_node.py", run_name="__main__")
"""
TAKEN_ONCE_RELEASED = """
import os, signal
from sablemount.platform import hangup

hangup.hold()
os.kill(os.getpid(), signal.SIGHUP)
signal.signal(signal.SIGHUP, lambda number, frame: print("taken"))
print("held")
hangup.release()
print("alive")
"""
SETTINGS_REFUSED = 2


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
    assert _run(SIGNALLED_AS_IT_IMPORTS).returncode == SETTINGS_REFUSED


def test_a_signal_that_came_meanwhile_is_taken_once_released() -> None:
    assert _run(TAKEN_ONCE_RELEASED).stdout.split() == ["held", "taken", "alive"]
