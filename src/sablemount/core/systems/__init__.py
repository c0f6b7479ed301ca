"""Systems that run over the tables at each tick, one module each."""
