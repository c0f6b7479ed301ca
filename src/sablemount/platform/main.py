"""The process that runs sablemount on the users' platform."""

import asyncio
import gc
import logging
import random
import signal
import sys

from result import Err

from sablemount import boottime, structured_logs
from sablemount.adapters.upstream import UpstreamPool
from sablemount.boottime import monotonic
from sablemount.control.background import Background, error_logger
from sablemount.control.leader import LeaderPorts
from sablemount.control.member import Member
from sablemount.control.rpc import TcpNetwork
from sablemount.listening import EXIT_ADDRESS, ListenError, listen
from sablemount.platform import hangup
from sablemount.platform.directory import PlatformDirectory
from sablemount.platform.front import Frontend, metrics_server, ready_server
from sablemount.platform.settings import METRICS_PORT, BootSettings, load, member_settings
from sablemount.platform.store import PlatformStore
from sablemount.platform.workers import PlatformAdvice, PlatformWorkers

__all__ = ["Process", "main", "serve"]

EXIT_OK = 0
EXIT_SETTINGS = 2
MAX_CONNECTIONS_PER_ADDRESS = 24
"""Maximum number of connections to one address."""
IDLE_TIMEOUT_S = 12.0
"""Seconds after which an idle connection is closed."""
CALLER_BACKLOG = 512
"""Connections of callers that may wait to be accepted."""
STOP_SERVING_S = 2.4
"""Seconds after the stop signal for which new connections are still served: the platform checks
readiness every second and removes a process after the second failed check."""
STOP_MARGIN_S = 0.8
"""Seconds before the end of the grace period at which the process ends in any case."""
STOP_POLL_S = 0.05
"""Seconds between checks of whether all calls in flight have ended."""

_logger = logging.getLogger("sablemount.platform.main")


class Process:
    """Connects the components of a member with the platform's adapters and runs them."""

    def __init__(
        self,
        boot: BootSettings,
        metrics_port: int = METRICS_PORT,
        log: structured_logs.BoundedHandler | None = None,
    ) -> None:
        self.boot = boot
        self._log = log
        self._background = Background(error_logger(_logger))
        self._pool = UpstreamPool(MAX_CONNECTIONS_PER_ADDRESS, IDLE_TIMEOUT_S)
        self._vm_pool = UpstreamPool(MAX_CONNECTIONS_PER_ADDRESS, IDLE_TIMEOUT_S)
        self._advice = PlatformAdvice(boot.advice, self._pool)
        ports = LeaderPorts(
            PlatformStore(boot.platform.addr, self._pool),
            PlatformWorkers(self._vm_pool),
            self._advice,
            PlatformDirectory(boot.keyed),
        )
        network = TcpNetwork(boot.limits.memory_mb)
        settings = member_settings(boot)
        self.member = Member(settings, ports, network, random.Random())
        self.frontend = Frontend(self.member, self._background.spawn, settings.limits)
        self._ready = ready_server(lambda: self.member.ready)
        self._metrics = metrics_server(self.member, self._gauges)
        self.metrics_port = metrics_port
        self._stop = asyncio.Event()

    def _gauges(self) -> dict[str, float]:
        return self._connection_gauges() | self.frontend.server.gauges() | self._log_gauges()

    def _connection_gauges(self) -> dict[str, float]:
        return {
            "vm_connections": float(self._vm_pool.open_count),
            "vm_connections_highest": float(self._vm_pool.highest_open_count),
            "vm_connections_reset_on_open": float(self._vm_pool.resets_on_open),
            "service_connections": float(self._pool.open_count),
        }

    def _log_gauges(self) -> dict[str, float]:
        if self._log is None:
            return {}
        return {
            "dropped_decision_lines": float(self._log.decision_budget.dropped),
            "dropped_run_lines": float(self._log.run_budget.dropped),
        }

    async def run(self) -> int:
        """Serve until the stop signal; return the exit code."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        hangup.unblock()
        try:
            self._listen()
        except ListenError as error:
            _logger.error("cannot listen", extra=error.log_fields())
            return EXIT_ADDRESS
        _logger.info("started", extra={"node": self.boot.node_name})
        await self._stop.wait()
        await self._shut_down()
        return EXIT_OK

    def _listen(self) -> None:
        """Listen at all addresses and start the member; raises ``ListenError``."""
        listen(self._ready, self.boot.listen.ready, "readiness checks")
        listen(self.frontend.server, self.boot.listen.front, "callers", CALLER_BACKLOG)
        listen(self._metrics, f"{self.boot.ip}:{self.metrics_port}", "metrics")
        self.member.start()

    def request_stop(self) -> None:
        """Begin the planned stop."""
        self._stop.set()

    def _reload(self) -> None:
        loaded = load()
        if isinstance(loaded, Err):
            fault = loaded.err_value
            _logger.error("settings refused", extra={"file": fault.file, "why": fault.reason})
            return
        before, self.boot = self.boot, loaded.ok_value
        self._advice.address = self.boot.advice
        extra = {
            "node": self.boot.node_name,
            "advice": self.boot.advice,
            "needs_restart": _changed_fields(before, self.boot, applied={"advice"}),
        }
        _logger.info("settings reloaded", extra=extra)

    async def _shut_down(self) -> None:
        """Hand over leadership, serve new calls for a while, and answer all calls in flight.

        The process ends once no caller is connected, or at the end of its grace period.
        """
        started_at = monotonic()
        _logger.info("stopping", extra={"in_flight": self.frontend.in_flight})
        self.frontend.close_after_responses()
        handover = self._background.spawn(self.member.stop())
        deadline = started_at + self.boot.bounds.grace_s - STOP_MARGIN_S
        while monotonic() < deadline:
            if monotonic() - started_at > STOP_SERVING_S:
                self.frontend.refuse_new_calls()
                if handover.done() and self.frontend.is_drained:
                    break
            await asyncio.sleep(STOP_POLL_S)
        await self._close(handover)

    async def _close(self, handover: "asyncio.Task[None]") -> None:
        """Answer calls in flight and those still on their way, then close."""
        if not handover.done():
            leader = self.member.leader
            epoch = None if leader is None else leader.epoch
            _logger.warning("handover did not finish in time", extra={"epoch": epoch})
            handover.cancel()
        self.frontend.cancel_in_flight()
        closed = {
            "callers": self.frontend.server.shut_down(),
            "ready": self._ready.shut_down(),
            "metrics": self._metrics.shut_down(),
        }
        # Time to send the last responses and to read requests that are still on their way: closing
        # a connection with unread data would reset it, and its caller would lose the response.
        await asyncio.sleep(STOP_POLL_S)
        self.member.close()
        _logger.info("stopped", extra={"in_flight": self.frontend.in_flight, "ended": closed})


def _changed_fields(before: BootSettings, now: BootSettings, applied: set[str]) -> list[str]:
    """Return the settings that differ and are read only as a process starts."""
    names = set(BootSettings.__struct_fields__) - applied
    return sorted(name for name in names if getattr(before, name) != getattr(now, name))


async def serve(boot: BootSettings, log: structured_logs.BoundedHandler | None = None) -> int:
    """Run a process with the given settings and return its exit code."""
    return await Process(boot, log=log).run()


def main() -> int:
    """Run a process with the settings file that the platform provides."""
    log = structured_logs.configure()
    loaded = load()
    if isinstance(loaded, Err):
        fault = loaded.err_value
        _logger.error("settings refused", extra={"file": fault.file, "why": fault.reason})
        return EXIT_SETTINGS
    # Objects made by imports live as long as the process: exclude them from garbage collection.
    gc.freeze()
    return boottime.run(serve(loaded.ok_value, log))


if __name__ == "__main__":
    sys.exit(main())
