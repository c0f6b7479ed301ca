"""Listens at an address, with an error that names the address and what it is for."""

from tornado.tcpserver import TCPServer

__all__ = ["EXIT_ADDRESS", "ListenError", "listen"]

EXIT_ADDRESS = 71
"""Exit code of a process that cannot listen at one of its addresses."""
MAX_PORT = 65_535
DEFAULT_BACKLOG = 128
"""Connections that may wait to be accepted."""


class ListenError(Exception):
    """An address that cannot be listened at, and what it is for."""

    def __init__(self, address: str, purpose: str, reason: str) -> None:
        super().__init__(f"cannot listen at {address} for {purpose}: {reason}")
        self.address = address
        self.purpose = purpose
        self.reason = reason

    def log_fields(self) -> dict[str, str]:
        """Return the fields of a log line about this error."""
        return {"address": self.address, "purpose": self.purpose, "why": self.reason}


def listen(server: TCPServer, address: str, purpose: str, backlog: int = DEFAULT_BACKLOG) -> None:
    """Have a server accept connections at ``HOST:PORT``; raises ``ListenError``."""
    host, _, port = address.rpartition(":")
    if not port.isdecimal() or int(port) > MAX_PORT:
        raise ListenError(address, purpose, f"the port is not a number up to {MAX_PORT}")
    try:
        server.listen(int(port), host.strip("[]"), backlog=backlog)
    except OSError as error:
        raise ListenError(address, purpose, error.strerror or str(error)) from error
