"""The daemon ``sablemountd``: one scheduler process, which starts no child processes."""

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
from sablemount.listening import EXIT_ADDRESS, ListenError, listen
from sablemount.runtime import Runtime
from sablemount.settings import Settings, load_settings, settings_schema

__all__ = ["main", "serve"]

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_INTERNAL = 70
EXIT_INTERRUPTED = 75

_logger = logging.getLogger("sablemount.daemon")


async def serve(settings: Settings) -> int:
    """Run a scheduler until it stops and return the process exit code."""
    runtime = Runtime(settings)
    server = make_server(runtime)
    try:
        listen(server, settings.listen, "callers")
        await runtime.start()
    except ListenError as error:
        _logger.error("%s", error)
        return EXIT_ADDRESS
    signal_handler = _SignalHandler(runtime)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, signal_handler.on_signal)
    await runtime.stopped.wait()
    signal_handler.cancel_timer()
    server.shut_down()
    await runtime.close()
    await server.close_all_connections()
    if runtime.failed:
        return EXIT_INTERNAL
    return EXIT_INTERRUPTED if signal_handler.interrupted else EXIT_OK


class _SignalHandler:
    """Begins the planned stop at the first signal.

    A second signal, or the limit ``stop_seconds``, ends the process with work still in flight.
    """

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._stop_timer: asyncio.TimerHandle | None = None
        self.interrupted = False

    def on_signal(self) -> None:
        """Handle SIGTERM or SIGINT."""
        if self._stop_timer is not None:
            self._interrupt()
            return
        loop = asyncio.get_running_loop()
        self._stop_timer = loop.call_later(
            self._runtime.settings.limits.stop_seconds, self._interrupt
        )
        self._runtime.stop()

    def _interrupt(self) -> None:
        self.interrupted = True
        _logger.warning("stopping with work in flight")
        self._runtime.stopped.set()

    def cancel_timer(self) -> None:
        """Cancel the timer of the planned stop, if it runs."""
        if self._stop_timer is not None:
            self._stop_timer.cancel()


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
    """Run the command line of the daemon."""
    typer.run(_run)


if __name__ == "__main__":
    main()
