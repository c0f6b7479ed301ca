"""Burn rates of service-level objectives: how fast each template uses up its error budget.

Every scheduler keeps a history, in steps of one minute, of the starts within and beyond the
objective and of the failures by class. The report adds up the counts of the schedulers that answer,
and names those that are missing.
"""

from collections import Counter, deque
from collections.abc import Iterable

import msgspec

from sablemount.boottime import monotonic
from sablemount.core.documents import Objective, TemplateDocument
from sablemount.core.state import State
from sablemount.core.verdict import Reason

__all__ = ["BurnCounts", "BurnHistory", "BurnPart", "BurnRow", "burn_part", "merge_parts"]

STEP_S = 60.0
"""Length of one step of the history."""
SHORT_WINDOW_STEPS = 5
"""Steps in the short window: five minutes."""
LONG_WINDOW_STEPS = 60
"""Steps in the long window: one hour."""
CALLER_ERRORS = frozenset(
    {Reason.BAD_REQUEST, Reason.UNKNOWN_TEMPLATE, Reason.KEY_SPENT, Reason.KEY_EXPIRED}
)
"""Failures that the caller caused; they do not count against an objective."""


class BurnCounts(msgspec.Struct, frozen=True):
    """Counts of one template over one window."""

    starts: int = 0
    within: int = 0
    failures: dict[str, int] = {}

    @property
    def total(self) -> int:
        """Return the number of requests and tasks that the objective covers."""
        return self.starts + sum(self.failures.values())

    @property
    def missed(self) -> int:
        """Return the number of requests and tasks that missed the objective."""
        return self.total - self.within

    def plus(self, other: "BurnCounts") -> "BurnCounts":
        """Return the sum of two counts."""
        failures = Counter(self.failures)
        failures.update(other.failures)
        return BurnCounts(self.starts + other.starts, self.within + other.within, dict(failures))


class BurnPart(msgspec.Struct, frozen=True):
    """One scheduler's counts by template, over the short and the long window."""

    scheduler: str
    short: dict[str, BurnCounts]
    long: dict[str, BurnCounts]
    objectives: dict[str, Objective]
    members: list[str]


class BurnRow(msgspec.Struct, frozen=True):
    """One line of the report; at a burn rate of 1 the error budget lasts exactly for the period."""

    organisation: str
    template: str
    target: float
    within: float
    total: int
    budget_left: float
    burn_short: float
    burn_long: float
    failures: dict[str, int]


class BurnHistory:
    """Keeps the counters at each step; the counts over a window are their increase since a step."""

    def __init__(self) -> None:
        self._steps: deque[tuple[float, Counter[tuple[str, str]]]] = deque(
            maxlen=LONG_WINDOW_STEPS + 1
        )

    def record_step(self, now: float, counters: Counter[tuple[str, str]]) -> None:
        """Store a copy of the counters if the length of a step has passed since the last copy."""
        if self._steps and now - self._steps[-1][0] < STEP_S:
            return
        selected = {key: value for key, value in counters.items() if key[0] in OBJECTIVE_COUNTERS}
        self._steps.append((now, Counter(selected)))

    def counts_over(self, steps: int, counters: Counter[tuple[str, str]]) -> dict[str, BurnCounts]:
        """Return the counts of the last ``steps`` steps, or since the start if that is shorter."""
        before = self._steps[-steps][1] if len(self._steps) >= steps else Counter()
        return _counts_since(counters, before)


OBJECTIVE_COUNTERS = frozenset({"starts", "starts_within_objective", "failures"})


def _counts_since(
    counters: Counter[tuple[str, str]], before: Counter[tuple[str, str]]
) -> dict[str, BurnCounts]:
    by_template: dict[str, BurnCounts] = {}
    for (name, label), value in counters.items():
        increase = value - before[name, label]
        if name not in OBJECTIVE_COUNTERS or not increase:
            continue
        template, _, reason = label.partition(":")
        if name == "starts":
            added = BurnCounts(starts=increase)
        elif name == "starts_within_objective":
            added = BurnCounts(within=increase)
        elif reason in CALLER_ERRORS:
            continue
        else:
            added = BurnCounts(failures={reason: increase})
        by_template[template] = by_template.get(template, BurnCounts()).plus(added)
    return by_template


def burn_part(state: State, counters: Counter[tuple[str, str]], history: BurnHistory) -> BurnPart:
    """Return this scheduler's part of the report."""
    history.record_step(monotonic(), counters)
    objectives = {
        key: row.document.objective
        for key, row in state.ledger.documents.items()
        if isinstance(row.document, TemplateDocument)
    }
    return BurnPart(
        state.writer.name,
        history.counts_over(SHORT_WINDOW_STEPS, counters),
        history.counts_over(LONG_WINDOW_STEPS, counters),
        objectives,
        sorted(state.ledger.members),
    )


def merge_parts(parts: Iterable[BurnPart]) -> list[BurnRow]:
    """Return the report over all schedulers, highest short-window burn rate first."""
    short: dict[str, BurnCounts] = {}
    long: dict[str, BurnCounts] = {}
    objectives: dict[str, Objective] = {}
    for part in parts:
        objectives.update(part.objectives)
        for key, counts in part.short.items():
            short[key] = short.get(key, BurnCounts()).plus(counts)
        for key, counts in part.long.items():
            long[key] = long.get(key, BurnCounts()).plus(counts)
    rows = [
        _report_row(key, objective, short.get(key, BurnCounts()), long.get(key, BurnCounts()))
        for key, objective in objectives.items()
    ]
    return sorted(rows, key=lambda row: (-row.burn_short, row.organisation, row.template))


def _report_row(key: str, objective: Objective, short: BurnCounts, long: BurnCounts) -> BurnRow:
    organisation, _, template = key.partition("/")
    error_budget = 1.0 - objective.target
    return BurnRow(
        organisation,
        template,
        objective.target,
        objective.within,
        long.total,
        1.0 - _burn_rate(long, error_budget),
        _burn_rate(short, error_budget),
        _burn_rate(long, error_budget),
        long.failures,
    )


def _burn_rate(counts: BurnCounts, error_budget: float) -> float:
    if not counts.total:
        return 0.0
    return counts.missed / counts.total / error_budget
