"""What a member needs to reach other members: connections on which either side may call."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeAlias

from sablemount.control.messages import Message, Reply

__all__ = ["CallFailed", "Handler", "Link", "Listener", "Network"]


class CallFailed(Exception):
    """No answer to a call; it may have been carried out unless ``sent`` is false.

    ``refused`` tells that nothing listens at the address, ``closed`` that the connection ended.
    """

    def __init__(
        self, reason: str, sent: bool, refused: bool = False, closed: bool = False
    ) -> None:
        super().__init__(reason)
        self.sent = sent
        self.refused = refused
        self.closed = closed


class Link(Protocol):
    """One connection; ``peer`` is the name of the other side, once it has told it."""

    peer: str

    @property
    def closed(self) -> bool:
        """Tell whether the connection is over."""
        ...

    async def call(self, message: Message, timeout: float) -> Reply:
        """Send a call and return its reply; raises ``CallFailed``."""
        ...

    async def serve(self) -> None:
        """Take calls until the connection is over."""
        ...

    def close(self) -> None:
        """Close the connection; calls without an answer fail."""
        ...


Handler: TypeAlias = Callable[[Link, Message], Awaitable[Reply]]


class Listener(Protocol):
    """A place where others connect."""

    def close_all(self) -> None:
        """Take no connections any more, and close those that are open."""
        ...


class Network(Protocol):
    """Connects members."""

    async def connect(self, address: str, handler: Handler, timeout: float) -> Link:
        """Connect to a member; raises ``CallFailed``."""
        ...

    def listen(self, address: str, handler: Handler, closed: Callable[[Link], None]) -> Listener:
        """Take connections at an address; ``closed`` is told of each that ends."""
        ...
