"""Interface to other members: connections on which either side may call the other."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeAlias

from sablemount.control.messages import Message, Reply

__all__ = ["CallFailed", "Handler", "Link", "Listener", "Network"]


class CallFailed(Exception):
    """A call had no answer; unless ``may_have_run`` is false, it may have taken effect.

    ``refused`` means that nothing listens at the address, ``closed`` that the connection ended.
    """

    def __init__(
        self, reason: str, may_have_run: bool, refused: bool = False, closed: bool = False
    ) -> None:
        super().__init__(reason)
        self.may_have_run = may_have_run
        self.refused = refused
        self.closed = closed


class Link(Protocol):
    """One connection; ``peer`` is the name of the other side, once it is known."""

    peer: str

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        ...

    async def call(self, message: Message, timeout: float) -> Reply:
        """Send a call and return its reply; raises ``CallFailed``."""
        ...

    async def serve(self) -> None:
        """Answer calls until the connection is closed."""
        ...

    def close(self) -> None:
        """Close the connection; unanswered calls fail."""
        ...


Handler: TypeAlias = Callable[[Link, Message], Awaitable[Reply]]


class Listener(Protocol):
    """A listening address."""

    def close_all(self) -> None:
        """Stop listening and close all open connections."""
        ...


class Network(Protocol):
    """Connects members."""

    async def connect(self, address: str, handler: Handler, timeout: float) -> Link:
        """Connect to a member; raises ``CallFailed``."""
        ...

    def listen(self, address: str, handler: Handler, closed: Callable[[Link], None]) -> Listener:
        """Accept connections at an address; ``closed`` is called for each that ends."""
        ...
