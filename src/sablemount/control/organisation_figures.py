"""What each organisation runs and waits for, as figures of a bounded number."""

from collections import defaultdict

from sablemount.jobs.caps import NO_LIMIT
from sablemount.jobs.state import State

__all__ = ["organisation_gauges"]

MOST_NAMED = 40
"""Organisations with figures of their own; the rest are added up, whatever their number."""
REST = "others"
CORES = 1000.0


def organisation_gauges(state: State) -> dict[str, float]:
    """Return cores in use, cores of the cap and waiting tasks, by organisation."""
    usage = state.usage
    by_use = sorted(usage.organisations(), key=lambda name: -usage.of(name).cores)
    named = set(by_use[:MOST_NAMED])
    figures: defaultdict[str, float] = defaultdict(float)
    for name in by_use:
        figures[_key("cores", name, named)] += usage.of(name).cores / CORES
    for step in state.open_steps.values():
        owner = step.job.organisation
        if owner:
            figures[_key("waiting", owner, named)] += step.waiting
    for name in named & state.organisations.keys():
        figures[f"organisation_cap/{name}"] = _cap(state, name)
    return dict(figures)


def _key(figure: str, name: str, named: set[str]) -> str:
    return f"organisation_{figure}/{name if name in named else REST}"


def _cap(state: State, name: str) -> float:
    cores = state.organisations[name].cap.cores
    return cores / CORES if cores else float(NO_LIMIT)
