"""An emulated system in one process and in virtual time: members, store, VMs, callers, faults."""
