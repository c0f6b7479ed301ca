"""The scheduler's systems: one module each, run over the tables of the state at every tick."""
