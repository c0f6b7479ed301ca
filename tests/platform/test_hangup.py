"""SIGHUP, which announces changed settings, may arrive at any time."""

import asyncio
import json
import logging
import os
import subprocess
import sys
from pathlib import Path

import pytest

from sablemount.platform.main import Process
from sablemount.platform.settings import PATH_VARIABLE, load

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


def _settings(advice: str, store: str) -> str:
    return json.dumps(
        {
            "nodeName": "n0",
            "ip": "127.0.0.1",
            "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
            "portRange": [0, 0],
            "platform": {"addr": store},
            "advice": advice,
        }
    )


def test_calls_for_advice_go_to_the_address_of_the_settings_in_force(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The address of the start was used for good."""
    file = tmp_path / "settings.json"
    monkeypatch.setenv(PATH_VARIABLE, str(file))
    file.write_text(_settings("127.0.0.1:1", "127.0.0.1:2"))

    async def scenario() -> None:
        process = Process(load().unwrap())
        file.write_text(_settings("127.0.0.1:3", "127.0.0.1:4"))
        process._reload()
        assert process._advice.address == "127.0.0.1:3"
        assert process.member.ports.advice is process._advice

    with caplog.at_level(logging.INFO):
        asyncio.run(scenario())
    (line,) = [line for line in caplog.records if line.message == "settings reloaded"]
    assert line.needs_restart == ["platform"]  # type: ignore[attr-defined]
