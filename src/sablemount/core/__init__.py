"""Pure scheduling core: no I/O, no clock and no global random numbers."""
