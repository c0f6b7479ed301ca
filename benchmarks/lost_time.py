"""Spans of time, and how much of one lies within others."""

import msgspec

__all__ = ["Span", "overlap", "spans"]


class Span(msgspec.Struct, frozen=True):
    """From one time to another, in seconds; empty if they are the wrong way round."""

    start: float
    end: float

    @property
    def seconds(self) -> float:
        """Return the length."""
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
    """Return the seconds of a span that lie within others, which do not overlap."""
    return sum(
        Span(max(span.start, each.start), min(span.end, each.end)).seconds for each in others
    )
