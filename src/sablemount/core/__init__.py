"""Scheduling core, deterministic: no I/O, no clock and no global random numbers."""
