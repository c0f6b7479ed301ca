"""A process that cannot listen at an address says so in one line, and ends with a code for it."""

import json
import os
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from sablemount.listening import EXIT_ADDRESS, ListenError, listen
from sablemount.platform.settings import METRICS_PORT, PATH_VARIABLE

HOST = f"127.{1 + os.getpid() % 250}.7.1"
NODE_PROGRAM = Path(__file__).parents[1] / "src" / "sablemount_node.py"
TIMEOUT_S = 30.0


def _free_address() -> str:
    sock, port = bind_unused_port(address=HOST)
    sock.close()
    return f"{HOST}:{port}"


def _boot() -> dict[str, object]:
    rpc = int(_free_address().rpartition(":")[2])
    return {
        "nodeName": "n0",
        "ip": HOST,
        "listen": {"front": _free_address(), "ready": _free_address()},
        "portRange": [rpc, rpc],
        "platform": {"addr": _free_address()},
    }


Address = Callable[[dict[str, object]], str]


def _front(boot: dict[str, object]) -> str:
    return str(boot["listen"]["front"])  # type: ignore[index]


def _ready(boot: dict[str, object]) -> str:
    return str(boot["listen"]["ready"])  # type: ignore[index]


def _members(boot: dict[str, object]) -> str:
    return f"{HOST}:{boot['portRange'][0]}"  # type: ignore[index]


def _metrics(boot: dict[str, object]) -> str:
    return f"{HOST}:{METRICS_PORT}"


@pytest.mark.parametrize(
    ("address_of", "purpose"),
    [
        (_front, "callers"),
        (_ready, "readiness checks"),
        (_members, "other members"),
        (_metrics, "metrics"),
    ],
)
def test_a_node_whose_port_is_in_use_names_it_and_ends(
    tmp_path: Path, address_of: Address, purpose: str
) -> None:
    # Guards against a traceback in place of the address that is in use.
    boot = _boot()
    (tmp_path / "boot.json").write_text(json.dumps(boot))
    address = address_of(boot)
    with socket.create_server((HOST, int(address.rpartition(":")[2]))):
        ended = subprocess.run(
            [sys.executable, str(NODE_PROGRAM)],
            env={**os.environ, PATH_VARIABLE: str(tmp_path / "boot.json")},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
    assert ended.stderr == ""
    (line,) = [json.loads(line) for line in ended.stdout.splitlines() if '"error"' in line]
    assert (line["message"], line["address"], line["purpose"]) == (
        "cannot listen",
        address,
        purpose,
    )
    assert line["why"] == "Address already in use"
    assert ended.returncode == EXIT_ADDRESS


@pytest.mark.parametrize("port", ["none", "-1", "70000", ""])
def test_a_port_that_is_none_is_named(port: str) -> None:
    address = f"{HOST}:{port}"
    with pytest.raises(ListenError, match=f"cannot listen at {address} for callers") as raised:
        listen(HTTPServer(lambda request: None), address, "callers")
    assert raised.value.reason == "the port is not a number up to 65535"


@pytest.mark.parametrize(
    ("field", "purpose"), [("listen", "callers"), ("peer_listen", "other members")]
)
def test_a_scheduler_whose_port_is_in_use_names_it_and_ends(
    tmp_path: Path, field: str, purpose: str
) -> None:
    fields = ("listen", "peer_listen", "log_service", "vm_list")
    settings = {"name": "s0", "hall": "north", **{name: _free_address() for name in fields}}
    (tmp_path / "s0.json").write_text(json.dumps(settings))
    with socket.create_server((HOST, int(settings[field].rpartition(":")[2]))):
        ended = subprocess.run(
            [sys.executable, "-m", "sablemount.daemon", str(tmp_path / "s0.json")],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
    output = ended.stdout + ended.stderr
    assert f"cannot listen at {settings[field]} for {purpose}" in output
    assert "Traceback" not in output
    assert ended.returncode == EXIT_ADDRESS
