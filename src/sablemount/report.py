"""Service-level burn: how fast each template uses up its error budget.

Every scheduler keeps counts of starts within and beyond the objective, and of failures by class,
in one-minute steps. The report adds up what the schedulers return and names the missing ones.
"""

from collections import Counter, deque
from collections.abc import Iterable

import msgspec

from sablemount.boottime import monotonic
from sablemount.core.documents import Objective, TemplateDocument
from sablemount.core.state import State
from sablemount.core.verdict import Reason

__all__ = ["BurnCounts", "BurnHistory", "BurnPart", "BurnRow", "burn_of", "combine"]

STEP = 60.0
"""Length of one step of the history, in seconds."""
SHORT_WINDOW = 5
"""Steps in the short window: five minutes."""
LONG_WINDOW = 60
"""Steps in the long window: one hour."""
CALLERS_FAULT = frozenset(
    {Reason.BAD_REQUEST, Reason.UNKNOWN_TEMPLATE, Reason.KEY_SPENT, Reason.KEY_EXPIRED}
)
"""Failures that count against no objective."""


class BurnCounts(msgspec.Struct, frozen=True):
    """Counts of one template over one window."""

    starts: int = 0
    within: int = 0
    failures: dict[str, int] = {}

    @property
    def total(self) -> int:
        """Return how many requests and tasks count for the objective."""
        return self.starts + sum(self.failures.values())

    @property
    def bad(self) -> int:
        """Return how many of them missed it."""
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
    """One line of the report; a burn rate of 1 uses the budget up exactly over the period."""

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
    """Remembers the counters at each step, so that a window is a difference."""

    def __init__(self) -> None:
        self._steps: deque[tuple[float, Counter[tuple[str, str]]]] = deque(maxlen=LONG_WINDOW + 1)

    def note(self, now: float, counters: Counter[tuple[str, str]]) -> None:
        """Keep a copy of the counters if a step has passed."""
        if self._steps and now - self._steps[-1][0] < STEP:
            return
        kept = {key: value for key, value in counters.items() if key[0] in WATCHED}
        self._steps.append((now, Counter(kept)))

    def window(self, steps: int, counters: Counter[tuple[str, str]]) -> dict[str, BurnCounts]:
        """Return the counts since ``steps`` steps ago, or since the start if that is later."""
        before = self._steps[-steps][1] if len(self._steps) >= steps else Counter()
        return _counts(counters, before)


WATCHED = frozenset({"starts", "starts_within_objective", "failures"})


def _counts(
    counters: Counter[tuple[str, str]], before: Counter[tuple[str, str]]
) -> dict[str, BurnCounts]:
    found: dict[str, BurnCounts] = {}
    for (name, label), value in counters.items():
        change = value - before[name, label]
        if name not in WATCHED or not change:
            continue
        template, _, reason = label.partition(":")
        if name == "starts":
            more = BurnCounts(starts=change)
        elif name == "starts_within_objective":
            more = BurnCounts(within=change)
        elif reason in CALLERS_FAULT:
            continue
        else:
            more = BurnCounts(failures={reason: change})
        found[template] = found.get(template, BurnCounts()).plus(more)
    return found


def burn_of(state: State, counters: Counter[tuple[str, str]], history: BurnHistory) -> BurnPart:
    """Return this scheduler's part of the report."""
    history.note(monotonic(), counters)
    objectives = {
        key: row.document.objective
        for key, row in state.ledger.documents.items()
        if isinstance(row.document, TemplateDocument)
    }
    return BurnPart(
        state.writer.name,
        history.window(SHORT_WINDOW, counters),
        history.window(LONG_WINDOW, counters),
        objectives,
        sorted(state.ledger.members),
    )


def combine(parts: Iterable[BurnPart]) -> list[BurnRow]:
    """Return the report over all schedulers, the fastest burning first."""
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
        _row(key, objective, short.get(key, BurnCounts()), long.get(key, BurnCounts()))
        for key, objective in objectives.items()
    ]
    return sorted(rows, key=lambda row: (-row.burn_short, row.organisation, row.template))


def _row(key: str, objective: Objective, short: BurnCounts, long: BurnCounts) -> BurnRow:
    organisation, _, template = key.partition("/")
    allowed = 1.0 - objective.target
    return BurnRow(
        organisation,
        template,
        objective.target,
        objective.within,
        long.total,
        1.0 - _rate(long, allowed),
        _rate(short, allowed),
        _rate(long, allowed),
        long.failures,
    )


def _rate(counts: BurnCounts, allowed: float) -> float:
    if not counts.total:
        return 0.0
    return counts.bad / counts.total / allowed
