"""Time spans and their overlap."""

import msgspec

__all__ = ["Span", "overlap", "spans"]


class Span(msgspec.Struct, frozen=True):
    """A time span in seconds; empty if ``end`` is before ``start``."""

    start: float
    end: float

    @property
    def seconds(self) -> float:
        """The length in seconds."""
        return max(0.0, self.end - self.start)


def spans(starts: list[float], ends: list[float]) -> list[Span]:
    """Return the spans from each start to the first end after it, without overlaps."""
    found: list[Span] = []
    for start in sorted(starts):
        if found and start < found[-1].end:
            continue
        end = min((end for end in ends if end >= start), default=None)
        if end is not None:
            found.append(Span(start, end))
    return found


def overlap(span: Span, others: list[Span]) -> float:
    """Return the seconds of a span that lie within the others, which must not overlap."""
    return sum(
        Span(max(span.start, each.start), min(span.end, each.end)).seconds for each in others
    )
