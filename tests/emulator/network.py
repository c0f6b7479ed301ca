"""Connections between emulated members, with cuts, and with links of some bandwidth."""

import asyncio
from collections.abc import Callable

import msgspec

from sablemount.control.messages import Message, Reply
from sablemount.control.network import CallFailed, Handler, Link

DELAY = 0.0015


class Pipe:
    """One direction of a member's link: frames pass it one after the other."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        """Bytes a second."""
        self.bytes = 0
        """What has been sent into it so far."""
        self._free_at = 0.0

    def passed_at(self, size: int) -> float:
        """Take a frame, and return when its last byte has passed."""
        now = asyncio.get_running_loop().time()
        self.bytes += size
        self._free_at = max(now, self._free_at) + size / self.rate
        return self._free_at

    @property
    def backlog(self) -> float:
        """Return the seconds for which a frame that is sent now waits."""
        return max(0.0, self._free_at - asyncio.get_running_loop().time())


class MemoryLink:
    """One side of a connection."""

    def __init__(self, network: "Wires", here: str, there: str, handler: Handler) -> None:
        self.peer = ""
        self.other: MemoryLink | None = None
        self._network = network
        self.here = here
        self.there = there
        self._handler = handler
        self._closed = asyncio.Event()
        self.on_closed: Callable[[Link], None] | None = None
        self.mute = False
        """Whether nothing that this side sends arrives any more, without a word."""

    @property
    def closed(self) -> bool:
        return self._closed.is_set()

    async def call(self, message: Message, timeout: float) -> Reply:
        if self.closed:
            raise CallFailed("the connection is closed", False)
        task = asyncio.get_running_loop().create_task(self._exchange(message))
        ended = asyncio.get_running_loop().create_task(self._closed.wait())
        try:
            await asyncio.wait([task, ended], timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        finally:
            ended.cancel()
            if not task.done() and not self._network.limited:
                # Over a link of some bandwidth an answer comes also if nobody awaits it any more.
                task.cancel()
        if task.done() and not task.cancelled() and task.exception() is None:
            return task.result()
        raise CallFailed("no answer", True, closed=self.closed)

    async def _exchange(self, message: Message) -> Reply:
        await self._travel(message)
        other = self.other
        assert other is not None
        if other.closed:
            self.close()
            await asyncio.Event().wait()
        reply = await other._handler(other, message)
        await other._travel(reply)
        return reply

    async def _travel(self, frame: Message | Reply) -> None:
        if self._network.limited and not self.closed:
            await self._network.pass_links(self.here, self.there, frame)
        await asyncio.sleep(DELAY)
        if self.mute:
            await asyncio.Event().wait()
        while self._network.parted(self.here, self.there):
            await asyncio.sleep(0.05)

    async def serve(self) -> None:
        await self._closed.wait()

    def close(self) -> None:
        if self.closed:
            return
        self._closed.set()
        if self.on_closed is not None:
            self.on_closed(self)
        other = self.other
        if other is not None and not self.mute and not self._network.parted(self.here, self.there):
            asyncio.get_running_loop().call_later(DELAY, other.close)


class _Listening:
    def __init__(
        self,
        network: "Wires",
        address: str,
        handler: Handler,
        closed: Callable[[Link], None],
    ) -> None:
        self.network = network
        self.address = address
        self.handler = handler
        self.closed = closed
        self.links: list[MemoryLink] = []

    def close_all(self) -> None:
        if self.network.listening.get(self.address) is self:
            del self.network.listening[self.address]
        for link in self.links:
            link.close()


class Wires:
    """All connections; an address is a member's name."""

    def __init__(self) -> None:
        self.listening: dict[str, _Listening] = {}
        self.silent: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self.out: dict[str, Pipe] = {}
        """What members send passes these, if they have links of some bandwidth."""
        self.into: dict[str, Pipe] = {}
        """The same for what they are sent."""

    @property
    def limited(self) -> bool:
        """Tell whether some member has a link of some bandwidth."""
        return bool(self.out)

    def limit(self, name: str, rate: float) -> None:
        """Give a member a link of so many bytes a second in each direction."""
        self.out[name] = Pipe(rate)
        self.into[name] = Pipe(rate)

    async def pass_links(self, here: str, there: str, frame: Message | Reply) -> None:
        """Wait until a frame has passed its sender's link, and then its receiver's."""
        size = len(msgspec.msgpack.encode(frame))
        for pipe in (self.out.get(here), self.into.get(there)):
            if pipe is not None:
                left = pipe.passed_at(size) - asyncio.get_running_loop().time()
                await asyncio.sleep(left)

    def parted(self, one: str, other: str) -> bool:
        if one in self.silent or other in self.silent:
            return True
        return frozenset((one, other)) in self.cuts

    def links(self) -> list[MemoryLink]:
        """Return both sides of all open connections."""
        far = [link for place in self.listening.values() for link in place.links if not link.closed]
        return far + [link.other for link in far if link.other is not None]

    def port(self, name: str) -> "Port":
        return Port(self, name)


class Port:
    """A member's way to the others."""

    def __init__(self, wires: Wires, name: str) -> None:
        self._wires = wires
        self._name = name

    async def connect(self, address: str, handler: Handler, timeout: float) -> Link:
        await asyncio.sleep(DELAY)
        if self._wires.parted(self._name, address):
            await asyncio.sleep(timeout)
            raise CallFailed("no connection in time", False)
        place = self._wires.listening.get(address)
        if place is None:
            raise CallFailed("refused", False, refused=True)
        near = MemoryLink(self._wires, self._name, address, handler)
        far = MemoryLink(self._wires, address, self._name, place.handler)
        near.other, far.other = far, near
        far.on_closed = place.closed
        place.links.append(far)
        return near

    def listen(self, address: str, handler: Handler, closed: Callable[[Link], None]) -> _Listening:
        place = _Listening(self._wires, address, handler, closed)
        self._wires.listening[address] = place
        return place
