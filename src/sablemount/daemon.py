"""The daemon ``sablemountd``: one scheduler process, without children."""

import asyncio
import json
import logging
import signal
import sys
from pathlib import Path
from typing import Annotated

import typer
from result import Err

from sablemount import boottime, logs
from sablemount.entry.application import make_server
from sablemount.runtime import Runtime
from sablemount.settings import Settings, load_settings, settings_schema

__all__ = ["main", "serve"]

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_INTERNAL = 70
EXIT_CUT_SHORT = 75

_logger = logging.getLogger("sablemount.daemon")


async def serve(settings: Settings) -> int:
    """Run a scheduler until it is stopped and return the exit code."""
    runtime = Runtime(settings)
    server = make_server(runtime)
    host, _, port = settings.listen.rpartition(":")
    server.listen(int(port), host.strip("[]"))
    await runtime.start()
    stopper = _Stopper(runtime)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopper.signalled)
    await runtime.stopped.wait()
    stopper.cancel()
    server.end()
    await runtime.close()
    await server.close_all_connections()
    if runtime.failed:
        return EXIT_INTERNAL
    return EXIT_CUT_SHORT if stopper.cut_short else EXIT_OK


class _Stopper:
    """Begins the planned stop at the first signal and ends it at the second or the deadline."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._deadline: asyncio.TimerHandle | None = None
        self.cut_short = False

    def signalled(self) -> None:
        """Take a signal."""
        if self._deadline is not None:
            self._end()
            return
        loop = asyncio.get_running_loop()
        self._deadline = loop.call_later(self._runtime.settings.limits.stop_seconds, self._end)
        self._runtime.stop()

    def _end(self) -> None:
        self.cut_short = True
        _logger.warning("stopping with work in flight")
        self._runtime.stopped.set()

    def cancel(self) -> None:
        """Forget the deadline."""
        if self._deadline is not None:
            self._deadline.cancel()


def _run(
    settings: Annotated[Path | None, typer.Argument(help="Settings file, JSON.")] = None,
    check: Annotated[bool, typer.Option("--check", help="Check the settings and exit.")] = False,
    schema: Annotated[bool, typer.Option("--schema", help="Print the JSON schema.")] = False,
) -> None:
    """Run one scheduler of a cell."""
    if schema:
        typer.echo(json.dumps(settings_schema(), indent=2))
        return
    if settings is None:
        typer.echo("a settings file is required", err=True)
        raise typer.Exit(EXIT_SETTINGS)
    loaded = load_settings(settings)
    if isinstance(loaded, Err):
        typer.echo(str(loaded.err_value), err=True)
        raise typer.Exit(EXIT_SETTINGS)
    if check:
        typer.echo(f"{settings}: ok")
        return
    logs.configure(loaded.ok_value.logging)
    sys.exit(boottime.run(serve(loaded.ok_value)))


def main() -> None:
    """Run the daemon's command line."""
    typer.run(_run)


if __name__ == "__main__":
    main()
