"""Connections that fail: a small proxy on the loopback address, in front of one address.

What is held back arrives later and in order, as it does where packets are lost and sent again; a
connection ends by a reset or as its ends will have it, and loses nothing in its middle.
"""

import asyncio
import enum
import logging
import random
import socket

__all__ = ["Direction", "Link"]

HOST = "127.0.0.1"
BACKLOG = 512
PIECE = 65_536
"""Bytes that are passed on at once at most."""
LINGER_OFF = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""Socket option by which a close resets the connection."""

_logger = logging.getLogger("sablemount.soak.links")


class Direction(enum.Enum):
    """Whose bytes: the caller's, or the answers to them."""

    THERE = "there"
    BACK = "back"


class Link:
    """Passes connections on to one address, with the faults in force; needs a running loop."""

    def __init__(self, target: str, rng: random.Random) -> None:
        self._target = target
        self._rng = rng
        self._socket = socket.create_server((HOST, 0), backlog=BACKLOG)
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        self.delay = 0.0
        """Seconds by which a piece is held back at most."""
        self.reset_after: int | None = None
        """Bytes of either direction after which a connection is reset."""
        self._open = {direction: asyncio.Event() for direction in Direction}
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.calm()
        self._socket.setblocking(False)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._accept)

    def calm(self) -> None:
        """Let everything pass again."""
        self.delay = 0.0
        self.reset_after = None
        for event in self._open.values():
            event.set()

    def silence(self, direction: Direction) -> None:
        """Hold back all bytes of one direction."""
        self._open[direction].clear()

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self._connections):
            connection.reset()

    def close(self) -> None:
        """Take no connections any more, and reset those that there are."""
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket)
            self._socket.close()
        self.reset()

    async def pass_on(self, direction: Direction) -> None:
        """Wait until bytes of a direction may go on."""
        if self.delay:
            await asyncio.sleep(self._rng.uniform(0.0, self.delay))
        await self._open[direction].wait()

    def _accept(self) -> None:
        taken, _ = self._socket.accept()
        taken.setblocking(False)
        task = asyncio.ensure_future(self._serve(taken))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, taken: socket.socket) -> None:
        caller = await asyncio.open_connection(sock=taken)
        host, _, port = self._target.rpartition(":")
        try:
            called = await asyncio.open_connection(host, int(port))
        except OSError as error:
            _logger.debug("nothing to pass on to", extra={"error": repr(error)})
            _reset(caller[1])
            return
        connection = _Connection(self, caller, called)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


_Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Connection:
    """One connection that is passed on, in both directions."""

    def __init__(self, link: Link, caller: _Ends, called: _Ends) -> None:
        self._link = link
        self._caller = caller
        self._called = called

    async def run(self) -> None:
        """Pass bytes on until both directions have ended, or the connection is reset."""
        there = self._pump(self._caller[0], self._called[1], Direction.THERE)
        back = self._pump(self._called[0], self._caller[1], Direction.BACK)
        try:
            await asyncio.gather(there, back)
        except OSError as error:
            _logger.debug("connection broke", extra={"error": repr(error)})
            self.reset()
        else:
            self._caller[1].close()
            self._called[1].close()

    def reset(self) -> None:
        """Reset both of its ends."""
        _reset(self._caller[1])
        _reset(self._called[1])

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        passed = 0
        while piece := await reader.read(PIECE):
            await self._link.pass_on(direction)
            limit = self._link.reset_after
            if limit is not None and passed + len(piece) > limit:
                writer.write(piece[: max(0, limit - passed)])
                raise ConnectionResetError("at the byte that was drawn")
            writer.write(piece)
            passed += len(piece)
            await writer.drain()
        await self._link.pass_on(direction)
        writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    end: socket.socket = writer.get_extra_info("socket")
    if end.fileno() >= 0:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
    writer.transport.abort()
