"""The network between emulated members, with partitions and limited bandwidth."""

import asyncio
from collections.abc import Callable

import msgspec

from sablemount.control.messages import Message, Reply
from sablemount.control.network import CallFailed, Handler, Link

DELAY_S = 0.0015


class Pipe:
    """One direction of a member's network link: it transmits frames one at a time."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        """Bytes per second."""
        self.bytes_sent = 0
        """Bytes sent so far."""
        self._free_at = 0.0

    def transmit(self, size: int) -> float:
        """Queue a frame, and return the time at which its last byte is transmitted."""
        now = asyncio.get_running_loop().time()
        self.bytes_sent += size
        self._free_at = max(now, self._free_at) + size / self.rate
        return self._free_at

    @property
    def backlog(self) -> float:
        """Return the seconds that a frame sent now would wait."""
        return max(0.0, self._free_at - asyncio.get_running_loop().time())


class MemoryLink:
    """One end of a connection."""

    def __init__(
        self, network: "EmulatedNetwork", local_address: str, remote_address: str, handler: Handler
    ) -> None:
        self.peer = ""
        self.remote_end: MemoryLink | None = None
        self._network = network
        self.local_address = local_address
        self.remote_address = remote_address
        self._handler = handler
        self._closed = asyncio.Event()
        self.on_closed: Callable[[Link], None] | None = None
        self.drops_frames = False
        """Whether all frames that this end sends are dropped without an error."""

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
            if not task.done() and not self._network.is_limited:
                # With limited bandwidth a reply uses the link even if its caller has timed out.
                task.cancel()
        if task.done() and not task.cancelled() and task.exception() is None:
            return task.result()
        raise CallFailed("no answer", True, closed=self.closed)

    async def _exchange(self, message: Message) -> Reply:
        await self._transmit(message)
        other = self.remote_end
        assert other is not None
        if other.closed:
            self.close()
            await asyncio.Event().wait()
        reply = await other._handler(other, message)
        await other._transmit(reply)
        return reply

    async def _transmit(self, frame: Message | Reply) -> None:
        if self._network.is_limited and not self.closed:
            await self._network.transmit(self.local_address, self.remote_address, frame)
        await asyncio.sleep(DELAY_S)
        if self.drops_frames:
            await asyncio.Event().wait()
        while self._network.is_partitioned(self.local_address, self.remote_address):
            await asyncio.sleep(0.05)

    async def serve(self) -> None:
        await self._closed.wait()

    def close(self) -> None:
        if self.closed:
            return
        self._closed.set()
        if self.on_closed is not None:
            self.on_closed(self)
        other = self.remote_end
        if (
            other is not None
            and not self.drops_frames
            and not self._network.is_partitioned(self.local_address, self.remote_address)
        ):
            asyncio.get_running_loop().call_later(DELAY_S, other.close)


class _Listener:
    def __init__(
        self,
        network: "EmulatedNetwork",
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
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]
        for link in self.links:
            link.close()


class EmulatedNetwork:
    """All connections; a member's address is its name."""

    def __init__(self) -> None:
        self.listeners: dict[str, _Listener] = {}
        self.unreachable: set[str] = set()
        self.partitions: set[frozenset[str]] = set()
        self.uplinks: dict[str, Pipe] = {}
        """Uplinks of the members whose bandwidth is limited, by member."""
        self.downlinks: dict[str, Pipe] = {}
        """Downlinks of the members whose bandwidth is limited, by member."""

    @property
    def is_limited(self) -> bool:
        """Whether any member's bandwidth is limited."""
        return bool(self.uplinks)

    def limit_bandwidth(self, name: str, rate: float) -> None:
        """Limit a member's bandwidth to ``rate`` bytes per second in each direction."""
        self.uplinks[name] = Pipe(rate)
        self.downlinks[name] = Pipe(rate)

    async def transmit(
        self, local_address: str, remote_address: str, frame: Message | Reply
    ) -> None:
        """Wait until a frame has passed its sender's uplink and its receiver's downlink."""
        size = len(msgspec.msgpack.encode(frame))
        for pipe in (self.uplinks.get(local_address), self.downlinks.get(remote_address)):
            if pipe is not None:
                left = pipe.transmit(size) - asyncio.get_running_loop().time()
                await asyncio.sleep(left)

    def is_partitioned(self, one: str, other: str) -> bool:
        if one in self.unreachable or other in self.unreachable:
            return True
        return frozenset((one, other)) in self.partitions

    def links(self) -> list[MemoryLink]:
        """Return both ends of all open connections."""
        remote = [
            link
            for listener in self.listeners.values()
            for link in listener.links
            if not link.closed
        ]
        return remote + [link.remote_end for link in remote if link.remote_end is not None]

    def member_network(self, name: str) -> "MemberNetwork":
        return MemberNetwork(self, name)


class MemberNetwork:
    """The network as one member uses it."""

    def __init__(self, network: EmulatedNetwork, name: str) -> None:
        self._network = network
        self._name = name

    async def connect(self, address: str, handler: Handler, timeout: float) -> Link:
        await asyncio.sleep(DELAY_S)
        if self._network.is_partitioned(self._name, address):
            await asyncio.sleep(timeout)
            raise CallFailed("no connection in time", False)
        listener = self._network.listeners.get(address)
        if listener is None:
            raise CallFailed("refused", False, refused=True)
        local = MemoryLink(self._network, self._name, address, handler)
        remote = MemoryLink(self._network, address, self._name, listener.handler)
        local.remote_end, remote.remote_end = remote, local
        remote.on_closed = listener.closed
        listener.links.append(remote)
        return local

    def listen(self, address: str, handler: Handler, closed: Callable[[Link], None]) -> _Listener:
        listener = _Listener(self._network, address, handler, closed)
        self._network.listeners[address] = listener
        return listener
