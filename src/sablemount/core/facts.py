"""What the platform's VM list says of a VM."""

import msgspec

from sablemount.core.documents import Shape

__all__ = ["VmFacts"]


class VmFacts(msgspec.Struct, frozen=True, gc=False):
    """One line of the VM list."""

    vm: str
    address: str
    hall: str
    rack: str
    capacity: Shape
    leaving: bool = False
