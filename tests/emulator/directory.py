"""Entries of the emulated VMs, and configurations as the emulation encodes them."""

import json

import msgspec

from sablemount.jobs.model import Configuration
from sablemount.jobs.records import Record
from sablemount.platform.directory import PlatformDirectory
from tests.emulator.vm import Vm
from tests.emulator.vms import loop_time

__all__ = ["Codec", "directory_entry"]


def directory_entry(vm: Vm) -> bytes:
    """Return a VM's directory entry as it stands in the store."""
    info = vm.info
    fields = {
        "service": info.pool,
        "addr": info.address,
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "draining" if info.draining else "ready",
        "capacity": {"cpu": info.capacity.cores, "memMb": info.capacity.memory},
        "labels": info.labels,
        "machine": info.machine,
        "remainingMs": vm.remaining_ms(loop_time()),
        "seq": info.revision,
        "born": vm.started_at_ms,
    }
    return json.dumps(fields).encode()


class Codec(PlatformDirectory):
    """Reads VM entries as the product does, and configurations as the emulation encodes them."""

    def configuration(self, record: Record) -> Configuration | None:
        if record.key != "config" or not record.value:
            return None
        return msgspec.msgpack.decode(record.value, type=Configuration)
