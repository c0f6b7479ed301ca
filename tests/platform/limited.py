"""An HTTP server that resets connections beyond a limit as they open."""

import socket

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from tests.platform.links import LINGER_ZERO

__all__ = ["LimitedHTTPServer"]


class LimitedHTTPServer(HTTPServer):
    """Takes ``accepted`` connections at a time; 0 for any number."""

    accepted = 0
    resets = 0

    @property
    def open_connections(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve a connection, or reset it."""
        if self.accepted and self.open_connections >= self.accepted:
            self.resets += 1
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            stream.close()
            return
        super().handle_stream(stream, address)
