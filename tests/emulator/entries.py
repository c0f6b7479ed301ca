"""Entries of VMs in the store: each lives by the writes of its VM.

A VM writes its entry at its start, after each change, and once per heartbeat. An entry is removed
three heartbeats after the last write, whatever has stopped the writes: the end of the VM, a cut or
an outage of the store.
"""

import asyncio
from collections.abc import Callable

from sablemount.control.store import Topic
from sablemount.jobs.records import Record
from tests.emulator.loop import detached_context
from tests.emulator.store import StoreState
from tests.emulator.vm import Vm
from tests.emulator.vms import loop_time

__all__ = ["ENTRY_KEPT_S", "HEARTBEAT_S", "Entries"]

HEARTBEAT_S = 1.5
ENTRY_KEPT_S = 3 * HEARTBEAT_S
"""Seconds from the last write of an entry until its removal."""
CHECK_INTERVAL_S = 0.1
PHASE_STEP = 0.37


class Entries:
    """The entries of a cell's VMs, encoded by ``encode``."""

    def __init__(
        self,
        store: StoreState,
        encode: Callable[[Vm], bytes],
        may_write: Callable[[Vm], bool] = lambda vm: True,
    ) -> None:
        self._store = store
        self._encode = encode
        self._may_write = may_write
        """Returns whether a VM that is up reaches the store, which may be down all the same."""
        self._writers: dict[str, Vm] = {}
        """The incarnation that has written an entry last, by key."""
        self._written_at: dict[str, float] = {}
        self._next_write_at: dict[str, float] = {}
        self._count = 0
        self._task: asyncio.Task[None] | None = None

    def write(self, vm: Vm) -> None:
        """Write a VM's entry, as it does at its start and after each change."""
        self._writers[vm.info.name] = vm
        now = self._written_at[vm.info.name] = loop_time()
        # Heartbeats of VMs that start together are spread over the interval.
        self._count += 1
        phase = self._count * PHASE_STEP % 1.0
        self._next_write_at[vm.info.name] = now + HEARTBEAT_S * (1.0 - phase / 2.0)
        self._add(vm.info.name, self._encode(vm))

    def withdraw(self, vm: Vm) -> None:
        """Let a VM remove its entry for good, though it may serve on."""
        self._writers.pop(vm.info.name, None)
        self._add(vm.info.name, b"")

    def lapse(self, vm: Vm) -> None:
        """Remove an entry, as if it had not been written for long; the VM may write it again."""
        self._add(vm.info.name, b"")

    def start(self) -> None:
        """Let time pass for the entries from now on; needs a running event loop."""
        if self._task is None:
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._run(), context=detached_context())

    def close(self) -> None:
        """Let no more time pass."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for name, vm in list(self._writers.items()):
                self._pass_time(name, vm)

    def _pass_time(self, name: str, vm: Vm) -> None:
        now = loop_time()
        is_listed = name in self._store.topics[Topic.VMS].newest
        if now >= self._next_write_at[name]:
            self._next_write_at[name] = now + HEARTBEAT_S
            if vm.up and not self._store.down and self._may_write(vm):
                self._written_at[name] = now
                if not is_listed:
                    self._add(name, self._encode(vm))
        if now - self._written_at[name] >= ENTRY_KEPT_S:
            if is_listed:
                self._add(name, b"")
            if not vm.up:
                del self._writers[name]

    def _add(self, name: str, value: bytes) -> None:
        self._store.topics[Topic.VMS].add([Record(name, value)])
