"""Invalid settings, requests and commands are rejected with the field and reason; nothing runs."""

import asyncio
import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err
from tornado import httpclient
from typer.testing import CliRunner

from benchmarks.cellproc import Cell
from sablemount.cli.app import app
from sablemount.core.config import CoreSettings
from sablemount.core.documents import Document, Shape
from sablemount.core.systems.requests import parse_key
from sablemount.settings import parse_settings
from tests.documents import ALL_DOCUMENTS, LONG, QUOTE

VALID_SETTINGS = {
    "name": "s0",
    "hall": "sala-norte",
    "listen": "127.0.0.1:8080",
    "peer_listen": "127.0.0.1:8081",
    "log_service": "127.0.0.1:9000",
    "vm_list": "127.0.0.1:9000",
}


# -- Settings --------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "change",
    [
        {"listen": "scheduler.example:80"},
        {"listen": "127.0.0.1:99999"},
        {"core": {"shards": 0}},
        {"core": {"clam_delay": 2}},
        {"core": {"claim_delay": "2s"}},
        {"peers": [{"name": "s1", "address": "10.0.0.1:1"}, {"name": "S1", "address": "x"}]},
        {"peers": [{"name": "a", "address": "1.1.1.1:1"}, {"name": "a", "address": "1.1.1.1:2"}]},
        {"logging": {"format": "xml"}},
        {"name": None},
    ],
    ids=lambda change: json.dumps(change),
)
def test_settings_errors_name_the_field(change: dict[str, Any], snapshot: Any) -> None:
    loaded = parse_settings(json.dumps({**VALID_SETTINGS, **change}).encode(), "s0.json")
    assert isinstance(loaded, Err)
    assert str(loaded.err_value) == snapshot


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.one_of(st.binary(max_size=80), st.text(max_size=80).map(str.encode)))
def test_settings_parser_never_raises(payload: bytes) -> None:
    assert isinstance(parse_settings(payload, "x"), Err)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["type", "shape", "kind", "cores", "name"]), inner)
    ),
    max_leaves=12,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(JSON_VALUES)
def test_document_parser_raises_only_its_own_error(value: Any) -> None:
    try:
        msgspec.json.decode(json.dumps(value), type=Document)  # type: ignore[arg-type]
    except msgspec.DecodeError as error:
        assert str(error)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(max_size=20))
def test_keys_are_read_or_refused(key: str) -> None:
    issued = parse_key(key)
    assert issued is None or re.fullmatch(rf"0*{issued}\..+", key, re.DOTALL)


# -- HTTP ------------------------------------------------------------------------------------

VALID_JOB = {"template": "rueda/plan", "job": "never"}
INVALID_CALLS: list[tuple[str, str, Any, dict[str, str]]] = [
    ("POST", "/v1/jobs", b"{", {}),
    ("POST", "/v1/jobs", {**VALID_JOB, "count": "two"}, {}),
    ("POST", "/v1/jobs", {**VALID_JOB, "count": 0}, {}),
    ("POST", "/v1/jobs", {**VALID_JOB, "colour": 1}, {}),
    ("POST", "/v1/jobs", {**VALID_JOB, "template": "rueda/none"}, {}),
    ("POST", "/v1/jobs", {**VALID_JOB, "template": "rueda/quote"}, {}),
    ("POST", "/v1/jobs", {**VALID_JOB, "parameters": {"zone": "x"}}, {}),
    ("POST", "/v1/jobs", {**VALID_JOB, "deadline_seconds": -1}, {}),
    ("PUT", "/v1/documents/rueda/other", {"document": msgspec.to_builtins(LONG)}, {}),
    ("PUT", "/v1/documents/rueda/long", {"document": {"type": "template"}}, {}),
    (
        "PUT",
        "/v1/documents/rueda/quote",
        {"document": msgspec.to_builtins(msgspec.structs.replace(QUOTE, shape=Shape(cores=1)))},
        {},
    ),
    (
        "PUT",
        "/v1/documents/rueda/long",
        {"document": msgspec.to_builtins(msgspec.structs.replace(LONG, shape=Shape(cores=99)))},
        {},
    ),
    ("POST", "/v1/vms/vm-none/drain", {"drain": True}, {}),
    ("GET", "/v1/tasks/none", None, {}),
    ("GET", "/v1/nowhere", None, {}),
    ("POST", "/v1/requests/rueda/none", b"x", {}),
    ("POST", "/v1/requests/rueda/quote", b"x", {"Deadline-Ms": "soon"}),
    ("POST", "/v1/requests/rueda/quote", b"x", {"Deadline-Ms": "-5"}),
    ("POST", "/v1/requests/rueda/quote", b"x", {"Deadline-Ms": "1e12"}),
    ("GET", "/v1/requests/rueda/quote", None, {}),
    ("POST", "/v1/requests/yard/stock", b"x", {}),
    ("POST", "/v1/requests/yard/stock", b"x", {"Idempotency-Key": "yesterday"}),
    ("POST", "/v1/requests/yard/stock", b"x", {"Idempotency-Key": "1.old"}),
    ("POST", "/v1/requests/yard/stock", b"x", {"Idempotency-Key": "99999999999.new"}),
]


async def run_in_cell(scenario: Any) -> Cell:
    cell = Cell(schedulers=1, workers=2, core=CoreSettings(shards=2))
    await cell.start()
    try:
        for document in ALL_DOCUMENTS:
            key = f"{document.organisation}/{document.name}"
            body = {"document": document, "author": "operator"}
            await cell.call(0, "PUT", f"/v1/documents/{key}", body)
        await scenario(cell)
    finally:
        await cell.close()
    return cell


def test_http_refusals_name_the_field_and_run_nothing(snapshot: Any) -> None:
    observed = []

    async def scenario(cell: Cell) -> None:
        client = httpclient.AsyncHTTPClient()
        for method, path, body, headers in INVALID_CALLS:
            encoded = body if isinstance(body, bytes | None) else json.dumps(body).encode()
            headers = {"X-Request-Id": "t", **headers}
            response = await client.fetch(
                f"http://{cell.nodes[0].address}{path}",
                method=method,
                body=encoded,
                headers=headers,
                raise_error=False,
            )
            answer = json.loads(response.body)
            verdict = response.headers["Sablemount-Verdict"]
            detail = answer["detail"]
            observed.append(
                f"{method} {path}: {response.code} {verdict} {answer['reason']} {detail}"
            )

    cell = asyncio.run(run_in_cell(scenario))
    assert "\n".join(observed) == snapshot
    assert all(" NOT_RUN " in line for line in observed)
    assert cell.truth.starts.total() == 0
    assert cell.truth.executions.total() == 0


def test_an_oversized_body_is_refused() -> None:
    async def scenario(cell: Cell) -> None:
        response = await httpclient.AsyncHTTPClient().fetch(
            f"http://{cell.nodes[0].address}/v1/requests/rueda/quote",
            method="POST",
            body=b"x" * (2 * 1024 * 1024),
            raise_error=False,
        )
        assert response.code in (400, 413, 599)

    assert asyncio.run(run_in_cell(scenario)).truth.executions.total() == 0


# -- The command line ------------------------------------------------------------------------


def invalid_command_lines(folder: Path) -> Iterator[list[str]]:
    (folder / "bad.json").write_text('{"type": "template", "organisation": "Rueda"}')
    (folder / "torn.json").write_text("{")
    yield ["template", "publish", str(folder / "none.json")]
    yield ["template", "publish", str(folder / "bad.json")]
    yield ["template", "publish", str(folder / "torn.json")]
    yield ["task", "submit", "rueda/plan", "--count", "0"]
    yield ["task", "submit", "rueda/plan", "--parameter", "zone"]
    yield ["--address", "127.0.0.1:9", "vms"]
    yield ["report", "burn", "--scheduler", "127.0.0.1:9"]


def test_command_line_errors_have_codes_and_no_traceback(tmp_path: Path, snapshot: Any) -> None:
    observed = []
    for arguments in invalid_command_lines(tmp_path):
        result = CliRunner().invoke(app, arguments, env={"COLUMNS": "100", "TERM": "dumb"})
        text = result.output.replace(str(tmp_path), "")
        text_lines = [line for line in text.splitlines() if line.strip(" ─╭╮╰╯│")]
        shown = text_lines[-1].strip(" │")
        shown = re.sub(r"\[Errno \d+\] ", "", shown)
        observed.append(
            f"{' '.join(arguments).replace(str(tmp_path), '')}: {result.exit_code} {shown}"
        )
        assert result.exception is None or isinstance(result.exception, SystemExit)
    assert "\n".join(observed) == snapshot


def test_the_command_line_works_a_cell(tmp_path: Path) -> None:
    (tmp_path / "long.json").write_bytes(
        msgspec.json.encode(msgspec.structs.replace(LONG, expected_seconds=0.5))
    )

    async def scenario(cell: Cell) -> None:
        address = cell.nodes[0].address

        async def run(*arguments: str) -> Any:
            invoked = ["--address", address, *arguments]
            return await asyncio.to_thread(CliRunner().invoke, app, invoked)

        published = await run("template", "publish", str(tmp_path / "long.json"))
        assert published.output == "rueda/long is at revision 2\n"
        stale = await run("template", "publish", str(tmp_path / "long.json"), "--expected", "1")
        assert stale.exit_code == 3
        assert "revision 2 by operator" in stale.output
        submitted = await run("task", "submit", "rueda/long", "--job", "j", "--count", "3")
        assert submitted.output == "accepted j (3 tasks)\n"
        waited = await run("task", "wait", "j", "--seconds", "20")
        assert (waited.exit_code, waited.output) == (0, "3 done, 0 not\n")
        shown = json.loads((await run("task", "show", "j.1")).output)
        assert shown["verdict"] == "DONE"
        drained = await run("drain", "vm-00")
        assert drained.output == "vm-00 is draining\n"
        rows = json.loads((await run("vms", "--json")).output)
        assert [row["leaving"] for row in rows] == [True, False]
        burn = json.loads((await run("report", "burn", "--json")).output)
        assert burn["answered"] == ["s0"]
        (row,) = [row for row in burn["rows"] if row["template"] == "long"]
        assert row["total"] == 3
        page = tmp_path / "burn.html"
        assert (await run("report", "burn", "--html", str(page))).exit_code == 0
        assert "rueda" in page.read_text()

    asyncio.run(run_in_cell(scenario))
