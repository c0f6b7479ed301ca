"""Finalizers that run while a failing test is reported must not end the test run.

The report of a failing test parses its source. If the garbage collector runs at that moment and a
finalizer logs a traceback, which parses source too, the parser of CPython 3.11 fails with "AST
constructor recursion depth mismatch (before=129, after=180)", and pytest ends the run: once after
476 of 1,150 tests, in which only a test had failed that was expected to.
"""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 60.0
CONFTEST = "from tests.whole_reports import pytest_runtest_makereport\n"
TEST_MODULE = """
import ast
import gc


class Noisy:
    busy = True

    def __init__(self):
        self.cycle = self

    def __del__(self):
        if Noisy.busy:
            Noisy()
            deep(15)


def deep(frames):
    return deep(frames - 1) if frames else ast.parse("1 + 1")


def test_fails():
    gc.set_threshold(10)
    Noisy()
    assert False


def test_passes():
    gc.set_threshold(700)
    Noisy.busy = False
"""


def test_a_test_that_fails_beside_busy_finalizers_ends_no_run(tmp_path: Path) -> None:
    (tmp_path / "conftest.py").write_text(CONFTEST)
    (tmp_path / "test_noisy.py").write_text(TEST_MODULE)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", str(tmp_path)]
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    completed = subprocess.run(
        command, cwd=tmp_path, env=environment, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    assert "INTERNALERROR" not in completed.stdout
    assert "1 failed, 1 passed" in completed.stdout
