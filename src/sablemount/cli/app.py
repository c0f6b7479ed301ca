"""The command line ``sablemount`` for operators.

Exit codes: 0 success; 2 wrong usage or invalid input; 3 refused, nothing was run; 4 no answer
from the scheduler; 5 outcome unknown, read the state before trying again; 6 a task ended without
success.
"""

import difflib
import json
import time
from pathlib import Path
from typing import Annotated, Any, NoReturn

import msgspec
import typer
from result import Err

from sablemount.boottime import monotonic
from sablemount.cli import burn
from sablemount.cli.client import Client, ClientError
from sablemount.cli.output import show_json, show_rows
from sablemount.core.documents import Document, document_key

__all__ = ["app", "main"]

EXIT_USAGE = 2
EXIT_TASK_FAILED = 6
POLL_INTERVAL_S = 0.2
DEFAULT_ADDRESS = "127.0.0.1:8080"

app = typer.Typer(no_args_is_help=True, add_completion=False, help="Operate a sablemount cell.")
template = typer.Typer(no_args_is_help=True, help="Publish and read documents.")
task = typer.Typer(no_args_is_help=True, help="Submit and follow tasks.")
report = typer.Typer(no_args_is_help=True, help="Reports.")
app.add_typer(template, name="template")
app.add_typer(task, name="task")
app.add_typer(report, name="report")

Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]


class _Context(msgspec.Struct):
    client: Client


@app.callback()
def _options(
    context: typer.Context,
    address: Annotated[
        str,
        typer.Option(
            "--address", "-a", envvar="SABLEMOUNT_ADDRESS", help="Address of a scheduler."
        ),
    ] = DEFAULT_ADDRESS,
    timeout: Annotated[float, typer.Option(help="Seconds to wait for an answer.")] = 15.0,
) -> None:
    context.obj = _Context(Client(address, timeout))


def _client(context: typer.Context) -> Client:
    return context.obj.client


def _call(context: typer.Context, method: str, path: str, body: Any = None) -> Any:
    result = _client(context).call(method, path, body)
    if isinstance(result, Err):
        _exit_with_error(result.err_value)
    return result.ok_value


def _exit_with_error(error: ClientError) -> NoReturn:
    typer.echo(error.message, err=True)
    raise typer.Exit(error.exit_code)


def _exit_with_usage_error(message: str) -> NoReturn:
    typer.echo(message, err=True)
    raise typer.Exit(EXIT_USAGE)


def _read_document(path: Path) -> Document:
    try:
        return msgspec.json.decode(path.read_bytes(), type=Document)  # type: ignore[arg-type]
    except OSError as error:
        _exit_with_usage_error(f"{path}: {error.strerror}")
    except msgspec.DecodeError as error:
        _exit_with_usage_error(f"{path}: {error}")


# -- Documents -------------------------------------------------------------------------------


@template.command("publish")
def publish(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="Document, JSON.")],
    expected: Annotated[
        int | None, typer.Option(help="Revision to replace; 0 for a new document.")
    ] = None,
    author: Annotated[str, typer.Option(help="Name of the author.")] = "operator",
    as_json: Json = False,
) -> None:
    """Publish a document; fails if the expected revision is not the current one."""
    document = _read_document(file)
    key = document_key(document)
    if expected is None:
        expected = _current_revision(context, key)
    body = {"document": document, "expected": expected, "author": author}
    result = _client(context).call("PUT", f"/v1/documents/{key}", body)
    if isinstance(result, Err):
        _show_conflict(document, result.err_value)
        _exit_with_error(result.err_value)
    elif as_json:
        show_json(result.ok_value)
    else:
        typer.echo(f"{key} is at revision {result.ok_value['revision']}")


def _current_revision(context: typer.Context, key: str) -> int:
    current = _current_document(context, key)
    return current["revision"] if current else 0


def _current_document(context: typer.Context, key: str) -> Any:
    rows = _call(context, "GET", "/v1/documents")
    return next((row for row in rows if row["key"] == key), None)


def _show_conflict(document: Document, error: ClientError) -> None:
    current = error.body.get("current") if isinstance(error.body, dict) else None
    if current:
        typer.echo(f"revision {current['revision']} by {current['author']}:", err=True)
        for line in _diff(current["document"], msgspec.to_builtins(document)):
            typer.echo(line, err=True)


def _diff(old: Any, new: Any) -> list[str]:
    before = json.dumps(old, indent=2, sort_keys=True).splitlines()
    after = json.dumps(new, indent=2, sort_keys=True).splitlines()
    return list(difflib.unified_diff(before, after, "in force", "yours", lineterm=""))


@template.command("diff")
def diff(
    context: typer.Context, file: Annotated[Path, typer.Argument(help="Document, JSON.")]
) -> None:
    """Show how a document differs from its current revision."""
    document = _read_document(file)
    current = _current_document(context, document_key(document))
    old = current["document"] if current else {}
    for line in _diff(old, msgspec.to_builtins(document)):
        typer.echo(line)


@template.command("show")
def show(context: typer.Context, key: str) -> None:
    """Show the current revision of a document."""
    show_json(_call(context, "GET", f"/v1/documents/{key}"))


@template.command("list")
def list_documents(context: typer.Context, as_json: Json = False) -> None:
    """List the documents and their current revisions."""
    rows = _call(context, "GET", "/v1/documents")
    show_rows(rows, ["key", "revision", "author", "offset"], as_json)


# -- Tasks -----------------------------------------------------------------------------------


@task.command("submit")
def submit(
    context: typer.Context,
    template_key: Annotated[str, typer.Argument(metavar="TEMPLATE")],
    job: Annotated[str | None, typer.Option(help="Name of the job.")] = None,
    count: Annotated[int, typer.Option(min=1)] = 1,
    parameter: Annotated[list[str] | None, typer.Option(help="NAME=JSON; may be repeated.")] = None,
    as_json: Json = False,
) -> None:
    """Submit a job; the command returns once the job is accepted."""
    parameters = dict(_parse_parameter(text) for text in parameter or [])
    body: dict[str, Any] = {"template": template_key, "count": count, "parameters": parameters}
    if job:
        body["job"] = job
    answer = _call(context, "POST", "/v1/jobs", body)
    if as_json:
        show_json(answer)
    else:
        typer.echo(f"accepted {answer['job']} ({answer['count']} tasks)")


def _parse_parameter(text: str) -> tuple[str, Any]:
    name, separator, value = text.partition("=")
    if not separator:
        _exit_with_usage_error(f"--parameter {text!r}: expected NAME=JSON")
    try:
        return name, json.loads(value)
    except ValueError:
        return name, value


@task.command("show")
def show_task(context: typer.Context, name: str) -> None:
    """Show a task."""
    show_json(_call(context, "GET", f"/v1/tasks/{name}"))


@task.command("list")
def list_tasks(
    context: typer.Context,
    job: Annotated[
        str, typer.Option(help="List the tasks of this job; by default all unfinished tasks.")
    ] = "",
    as_json: Json = False,
) -> None:
    """List tasks."""
    rows = _call(context, "GET", f"/v1/tasks?job={job}" if job else "/v1/tasks")
    show_rows(rows, ["task", "template", "state", "verdict", "reason", "shard", "vm"], as_json)


@task.command("cancel")
def cancel(context: typer.Context, name: str) -> None:
    """Cancel a task."""
    show_json(_call(context, "DELETE", f"/v1/tasks/{name}"))


@task.command("wait")
def wait(
    context: typer.Context,
    job: str,
    seconds: Annotated[float, typer.Option(help="Maximum time to wait.")] = 60.0,
) -> None:
    """Wait until all tasks of a job have ended."""
    deadline = monotonic() + seconds
    while True:
        rows = _call(context, "GET", f"/v1/tasks?job={job}")
        unfinished = [row for row in rows if not row["verdict"]]
        if rows and not unfinished:
            break
        if monotonic() > deadline:
            _exit_with_error(
                ClientError(
                    f"{len(unfinished)} of {len(rows)} tasks have not ended", EXIT_TASK_FAILED
                )
            )
        time.sleep(POLL_INTERVAL_S)
    unsuccessful = [row for row in rows if row["verdict"] != "DONE" or row["reason"]]
    typer.echo(f"{len(rows) - len(unsuccessful)} done, {len(unsuccessful)} not")
    if unsuccessful:
        raise typer.Exit(EXIT_TASK_FAILED)


# -- The cell --------------------------------------------------------------------------------


@app.command("vms")
def vms(context: typer.Context, as_json: Json = False) -> None:
    """List the VMs."""
    rows = _call(context, "GET", "/v1/vms")
    show_rows(rows, ["vm", "hall", "rack", "shard", "owner", "stage", "leaving", "free"], as_json)


@app.command("shards")
def shards(context: typer.Context, as_json: Json = False) -> None:
    """List the shards and their owners."""
    rows = _call(context, "GET", "/v1/shards")
    show_rows(rows, ["shard", "owner", "epoch", "vms", "open_tasks", "state"], as_json)


@app.command("members")
def members(context: typer.Context, as_json: Json = False) -> None:
    """List the schedulers and the configuration offset that each one has applied."""
    rows = _call(context, "GET", "/v1/members")
    show_rows(rows, ["name", "hall", "shards", "offset", "heard_seconds_ago"], as_json)


@app.command("drain")
def drain(
    context: typer.Context,
    vm: str,
    undo: Annotated[bool, typer.Option("--undo", help="End the drain.")] = False,
) -> None:
    """Drain a VM: it gets no new work, and running work finishes or is moved."""
    _call(context, "POST", f"/v1/vms/{vm}/drain", {"drain": not undo})
    typer.echo(f"{vm} is {'in use' if undo else 'draining'}")


# -- Reports ---------------------------------------------------------------------------------


@report.command("burn")
def burn_report(
    context: typer.Context,
    scheduler: Annotated[
        list[str] | None, typer.Option(help="Address of a scheduler; may be repeated.")
    ] = None,
    html: Annotated[
        Path | None, typer.Option(help="Write the report to this file as HTML.")
    ] = None,
    as_json: Json = False,
) -> None:
    """Report how fast each template uses up its error budget, across all schedulers."""
    addresses = scheduler or [_client(context).address]
    collected = burn.collect(addresses)
    if html is not None:
        html.write_text(burn.page(collected), encoding="utf-8")
        typer.echo(f"wrote {html}")
    elif as_json:
        show_json(msgspec.to_builtins(collected))
    else:
        rows = [msgspec.to_builtins(row) for row in collected.rows]
        show_rows(rows, burn.COLUMNS, False)
        for line in burn.missing_part_lines(collected):
            typer.echo(line, err=True)
    if not collected.answered:
        raise typer.Exit(burn.EXIT_NO_ANSWER)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
