"""Metrics of the usage and waiting tasks of each organisation, bounded in number."""

from collections import defaultdict

from sablemount.jobs.caps import NO_LIMIT
from sablemount.jobs.state import State

__all__ = ["organisation_gauges"]

MAX_NAMED_ORGANISATIONS = 40
"""Maximum number of organisations with metrics of their own; all others are summed."""
OTHERS_LABEL = "others"
MILLICORES_PER_CORE = 1000.0


def organisation_gauges(state: State) -> dict[str, float]:
    """Return the cores in use, the cap in cores and the number of waiting tasks by organisation."""
    usage = state.usage
    by_use = sorted(usage.organisations(), key=lambda name: -usage.of(name).cores)
    named = set(by_use[:MAX_NAMED_ORGANISATIONS])
    gauges: defaultdict[str, float] = defaultdict(float)
    for name in by_use:
        gauges[_key("cores", name, named)] += usage.of(name).cores / MILLICORES_PER_CORE
    for step in state.open_steps.values():
        owner = step.job.organisation
        if owner:
            gauges[_key("waiting", owner, named)] += step.waiting
    for name in named & state.organisations.keys():
        gauges[f"organisation_cap/{name}"] = _cap_cores(state, name)
    return dict(gauges)


def _key(metric: str, name: str, named: set[str]) -> str:
    return f"organisation_{metric}/{name if name in named else OTHERS_LABEL}"


def _cap_cores(state: State, name: str) -> float:
    cores = state.organisations[name].cap.cores
    return cores / MILLICORES_PER_CORE if cores else float(NO_LIMIT)
