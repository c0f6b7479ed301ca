"""Entries of the platform's VM list."""

import msgspec

from sablemount.core.documents import Shape

__all__ = ["VmFacts"]


class VmFacts(msgspec.Struct, frozen=True, gc=False):
    """One VM in the VM list; ``leaving`` means that the platform is about to remove it."""

    vm: str
    address: str
    hall: str
    rack: str
    capacity: Shape
    leaving: bool = False
