"""Evidence that an incarnation of a VM has ended, so that the leases there end early.

What runs on a VM is leased and goes on until the lease is over, whatever is seen of the VM
meanwhile. Only another incarnation proves an earlier end. These are signs of a VM that cannot be
reached, which may run on, so that they stop new work only:

- its connections are refused or reset, which a cut does as well;
- its entry is missing, which any cut of three heartbeats and an outage of the store cause, and a
  VM may withdraw its entry and serve on;
- it drains and the time that it announced is over, which is the least time that it stays;
- it does not answer.
"""

import enum

__all__ = ["Ending"]


class Ending(enum.Enum):
    """How it is known that an incarnation has ended; the value is logged."""

    OTHER_AT_ADDRESS = "another life answers at its address"
    """A process with another id answered: an address belongs to one incarnation at a time."""
    NEXT_INCARNATION = "its next life is there"
    """An answer or an entry names a later incarnation under its id, which starts only after a crash
    and runs nothing of the one before."""
