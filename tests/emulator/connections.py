"""The connections that a member holds to the emulated VMs, each of which takes a limited number.

A VM resets connections beyond its limit as they open. Those of a member whose machine is lost stay
open at the VMs for good.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from sablemount.adapters.upstream import IncompleteResponse
from tests.emulator.vm import Vm

__all__ = ["MemberConnections"]

IDLE_TIMEOUT_S = 12.0
"""Seconds after which a member closes an idle connection."""


class _Connection:
    """An open connection to one incarnation of a VM."""

    __slots__ = ("vm", "timer")

    def __init__(self, vm: Vm) -> None:
        self.vm = vm
        self.timer: asyncio.TimerHandle | None = None
        vm.open_connections += 1

    def close(self) -> None:
        """Close the connection."""
        self.vm.open_connections -= 1
        if self.timer is not None:
            self.timer.cancel()


class MemberConnections:
    """The connections of one member, by the address of the VM."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_Connection]] = {}
        self._in_use = 0
        self._is_lost = False

    @property
    def open_count(self) -> int:
        """Return how many connections are open."""
        return sum(map(len, self._idle.values())) + self._in_use

    def lose(self) -> None:
        """Leave all connections open from now on, as a machine that is lost does."""
        self._is_lost = True

    @contextmanager
    def call(self, vm: Vm, address: str) -> Iterator[None]:
        """Hold a connection for a call; raises ``IncompleteResponse`` if the VM resets it.

        It is kept for further calls, unless the call raises an exception.
        """
        connection = self._take(vm, address)
        self._in_use += 1
        try:
            yield
        except BaseException:
            if not self._is_lost:
                connection.close()
            raise
        finally:
            self._in_use -= 1
        self._put_back(connection, address)

    def _take(self, vm: Vm, address: str) -> _Connection:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.timer is not None:
                connection.timer.cancel()
            if connection.vm is vm:
                return connection
            connection.close()
        if vm.takes_connections():
            return _Connection(vm)
        vm.reset_connections += 1
        raise IncompleteResponse("reset", reset_on_open=True)

    def _put_back(self, connection: _Connection, address: str) -> None:
        if self._is_lost:
            return
        self._idle.setdefault(address, []).append(connection)
        loop = asyncio.get_running_loop()
        connection.timer = loop.call_later(IDLE_TIMEOUT_S, self._expire, connection, address)

    def _expire(self, connection: _Connection, address: str) -> None:
        if not self._is_lost:
            self._idle[address].remove(connection)
            connection.close()

    def close_idle(self, address: str | None = None) -> None:
        """Close the connections that no call uses, to one address or to all."""
        if self._is_lost:
            return
        for name in [address] if address is not None else list(self._idle):
            for connection in self._idle.pop(name, ()):
                connection.close()
