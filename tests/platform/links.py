"""A TCP proxy on the loopback address that injects connection faults in front of one address.

Data that is held back arrives later and in order, as with packet loss and retransmission. A
connection ends by a reset or when its endpoints close it; no data is lost in the middle.
"""

import asyncio
import enum
import logging
import random
import socket

__all__ = ["LINGER_ZERO", "Direction", "Link"]

HOST = "127.0.0.1"
BACKLOG = 512
MAX_CHUNK_BYTES = 65_536
"""Maximum number of bytes that are forwarded at once."""
LINGER_ZERO = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""Value of SO_LINGER with which closing a socket resets its connection."""

_logger = logging.getLogger("sablemount.soak.links")


class Direction(enum.Enum):
    """Direction of bytes: ``THERE`` from the client to the server, ``BACK`` the opposite."""

    THERE = "there"
    BACK = "back"


class Link:
    """Forwards connections to one address with the active faults; needs a running event loop."""

    def __init__(self, target: str, rng: random.Random) -> None:
        self._target = target
        self._rng = rng
        self._socket = socket.create_server((HOST, 0), backlog=BACKLOG)
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        self.delay = 0.0
        """Maximum delay of a chunk in seconds."""
        self.reset_after: int | None = None
        """Number of bytes in either direction after which a connection is reset."""
        self._open = {direction: asyncio.Event() for direction in Direction}
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.clear_faults()
        self._socket.setblocking(False)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._accept)

    def clear_faults(self) -> None:
        """Clear all faults and forward the data that was held back."""
        self.delay = 0.0
        self.reset_after = None
        for event in self._open.values():
            event.set()

    def block(self, direction: Direction) -> None:
        """Hold back all bytes of one direction."""
        self._open[direction].clear()

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self._connections):
            connection.reset()

    def close(self) -> None:
        """Stop accepting connections and reset the open ones."""
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket)
            self._socket.close()
        self.reset()

    async def wait_until_open(self, direction: Direction) -> None:
        """Wait until bytes of a direction may be forwarded."""
        if self.delay:
            await asyncio.sleep(self._rng.uniform(0.0, self.delay))
        await self._open[direction].wait()

    def _accept(self) -> None:
        accepted, _ = self._socket.accept()
        accepted.setblocking(False)
        task = asyncio.ensure_future(self._serve(accepted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        client = await asyncio.open_connection(sock=accepted)
        host, _, port = self._target.rpartition(":")
        try:
            server = await asyncio.open_connection(host, int(port))
        except OSError as error:
            _logger.debug("cannot connect to the target", extra={"error": repr(error)})
            _reset(client[1])
            return
        connection = _Connection(self, client, server)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


_Endpoint = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Connection:
    """One connection that is forwarded in both directions."""

    def __init__(self, link: Link, client: _Endpoint, server: _Endpoint) -> None:
        self._link = link
        self._client = client
        self._server = server

    async def run(self) -> None:
        """Forward bytes until both directions have ended or the connection is reset."""
        to_server = self._pump(self._client[0], self._server[1], Direction.THERE)
        to_client = self._pump(self._server[0], self._client[1], Direction.BACK)
        try:
            await asyncio.gather(to_server, to_client)
        except OSError as error:
            _logger.debug("connection failed", extra={"error": repr(error)})
            self.reset()
        else:
            self._client[1].close()
            self._server[1].close()

    def reset(self) -> None:
        """Reset the connections to both endpoints."""
        _reset(self._client[1])
        _reset(self._server[1])

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        forwarded = 0
        while chunk := await reader.read(MAX_CHUNK_BYTES):
            await self._link.wait_until_open(direction)
            limit = self._link.reset_after
            if limit is not None and forwarded + len(chunk) > limit:
                writer.write(chunk[: max(0, limit - forwarded)])
                raise ConnectionResetError("reset after the configured number of bytes")
            writer.write(chunk)
            forwarded += len(chunk)
            await writer.drain()
        await self._link.wait_until_open(direction)
        writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    end: socket.socket = writer.get_extra_info("socket")
    if end.fileno() >= 0:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()
