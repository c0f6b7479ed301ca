"""A process of sablemount on the users' platform."""

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
from sablemount.platform import hangup
from sablemount.platform.directory import PlatformDirectory
from sablemount.platform.front import Front, metrics_server, ready_server
from sablemount.platform.settings import METRICS_PORT, BootSettings, load, member_settings
from sablemount.platform.store import PlatformStore
from sablemount.platform.workers import PlatformAdvice, PlatformWorkers

__all__ = ["Process", "main", "serve"]

EXIT_OK = 0
EXIT_SETTINGS = 2
CONNECTIONS = 24
"""Connections to one address at most."""
KEPT_SECONDS = 12.0
"""How long a connection may idle and still be used."""
STOP_SERVING = 2.4
"""Seconds after the signal for which new connections are still served: the platform asks each
second whether a process is ready, and takes it out at the second miss."""
STOP_MARGIN = 0.8
"""Seconds before the end of the grace at which the process ends in any case."""
STOP_POLL = 0.05
"""Seconds between looks at whether what is in flight has ended."""

_logger = logging.getLogger("sablemount.platform.main")


class Process:
    """Wires the product to the platform."""

    def __init__(
        self,
        boot: BootSettings,
        metrics_port: int = METRICS_PORT,
        log: structured_logs.BoundedHandler | None = None,
    ) -> None:
        self.boot = boot
        self._log = log
        self._background = Background(error_logger(_logger))
        self._pool = UpstreamPool(CONNECTIONS, KEPT_SECONDS)
        ports = LeaderPorts(
            PlatformStore(boot.platform.addr, self._pool),
            PlatformWorkers(self._pool),
            PlatformAdvice(boot.advice, self._pool),
            PlatformDirectory(boot.keyed),
        )
        self.member = Member(member_settings(boot), ports, TcpNetwork(), random.Random())
        self.front = Front(self.member, self._background.spawn)
        self._ready = ready_server(lambda: self.member.ready)
        self._metrics = metrics_server(self.member, self._log_figures)
        self.metrics_port = metrics_port
        self._stop = asyncio.Event()

    def _log_figures(self) -> dict[str, float]:
        if self._log is None:
            return {}
        return {
            "dropped_decision_lines": float(self._log.decisions.dropped),
            "dropped_run_lines": float(self._log.runs.dropped),
        }

    async def run(self) -> int:
        """Serve until the signal to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        hangup.release()
        self.member.start()
        _listen(self._ready, self.boot.listen.ready)
        _listen(self.front.server, self.boot.listen.front)
        _listen(self._metrics, f"{self.boot.ip}:{self.metrics_port}")
        _logger.info("started", extra={"node": self.boot.node_name})
        await self._stop.wait()
        await self._wind_down()
        return EXIT_OK

    def request_stop(self) -> None:
        """Begin the planned stop."""
        self._stop.set()

    def _reload(self) -> None:
        loaded = load()
        if isinstance(loaded, Err):
            fault = loaded.err_value
            _logger.error("settings refused", extra={"file": fault.file, "why": fault.reason})
            return
        self.boot = loaded.ok_value
        _logger.info("settings read again", extra={"node": self.boot.node_name})

    async def _wind_down(self) -> None:
        """Hand over, serve what still comes for a while, answer all that is in flight.

        The process leaves once no caller is connected, or as its grace ends.
        """
        started = monotonic()
        _logger.info("stopping", extra={"in_flight": self.front.in_flight})
        self.front.close_after_answers()
        handing_over = self._background.spawn(self.member.stop())
        last = started + self.boot.bounds.grace_s - STOP_MARGIN
        while monotonic() < last:
            if monotonic() - started > STOP_SERVING:
                self.front.refuse()
                if handing_over.done() and self.front.served_out:
                    break
            await asyncio.sleep(STOP_POLL)
        await self._end(handing_over)

    async def _end(self, handing_over: "asyncio.Task[None]") -> None:
        """Answer what is in flight and what may be on its way, and close."""
        if not handing_over.done():
            leader = self.member.leader
            epoch = None if leader is None else leader.epoch
            _logger.warning("hand-over cut short", extra={"epoch": epoch})
            handing_over.cancel()
        self.front.cut_short()
        left = {
            "callers": self.front.server.end(),
            "ready": self._ready.end(),
            "metrics": self._metrics.end(),
        }
        # What is sent by now reaches its caller; what is not read would have it reset.
        await asyncio.sleep(STOP_POLL)
        self.member.close()
        _logger.info("stopped", extra={"in_flight": self.front.in_flight, "ended": left})


def _listen(server: object, address: str) -> None:
    host, _, port = address.rpartition(":")
    server.listen(int(port), host)  # type: ignore[attr-defined]


async def serve(boot: BootSettings, log: structured_logs.BoundedHandler | None = None) -> int:
    """Run a process with its settings and return its exit code."""
    return await Process(boot, log=log).run()


def main() -> int:
    """Run the process that the platform has placed settings for."""
    log = structured_logs.configure()
    loaded = load()
    if isinstance(loaded, Err):
        fault = loaded.err_value
        _logger.error("settings refused", extra={"file": fault.file, "why": fault.reason})
        return EXIT_SETTINGS
    # What the imports made lives as long as the process; collections need not look at it.
    gc.freeze()
    return boottime.run(serve(loaded.ok_value, log))


if __name__ == "__main__":
    sys.exit(main())
