"""Loads of organisations that compete for too little room."""

import random
from dataclasses import replace

from sablemount.jobs.model import Organisation
from tests.jobs.replay import Arrival, Kind, Outcome, Replay, arrivals, queue

__all__ = ["BATCH", "CHECK", "GANG", "QUEUES", "VMS", "load", "organisations", "play"]

CHECK = queue("check", 0, 1.5, 255.0)
BATCH = queue("batch", 2, 4.0, 3006.0)
GANG = queue("gang", 1, 2.2, 1005.0)
QUEUES = (CHECK, GANG, BATCH)
WEIGHTS = {"a": 6, "b": 3, "c": 2, "d": 1, "e": 1, "f": 1}
CHECKS = Kind(CHECK, 7.0, 3, 2500, 0.8, off=0.2)
BATCHES = Kind(BATCH, 1.3, 20, 1700, 3.4, off=0.2)
GANGS = Kind(GANG, 0.5, 12, 4500, 4.0, gang=True, off=0.2)
VMS = 24
HOT = 6.0


def organisations() -> tuple[Organisation, ...]:
    return tuple(Organisation(name, (), weight) for name, weight in WEIGHTS.items())


def load(seed: int, hot: str = "") -> list[Arrival]:
    """Return twenty seconds of all kinds, with a burst of batches, and one organisation hot."""
    rng = random.Random(seed)
    found = []
    for name, weight in WEIGHTS.items():
        share = weight / sum(WEIGHTS.values())
        for kind in (CHECKS, BATCHES, GANGS):
            usual = replace(kind, per_second=kind.per_second * share)
            found += arrivals(rng, usual, 0.0, 20.0, name)
            if name == hot:
                more = replace(usual, per_second=usual.per_second * (HOT - 1.0))
                found += arrivals(rng, more, 6.0, 12.0, name)
        burst = replace(BATCHES, per_second=BATCHES.per_second * share)
        found += arrivals(rng, burst, 3.0, 9.0, name)
    return found


def play(arrived: list[Arrival]) -> Outcome:
    return Replay([1.0] * VMS, QUEUES, organisations()).play(arrived)
