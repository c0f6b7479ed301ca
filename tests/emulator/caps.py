"""The caps of organisations as the operator has published them, with the times of that."""

from collections.abc import Sequence

from sablemount.jobs.model import Organisation, Shape

__all__ = ["PublishedCaps"]

APPLY_TIME_S = 3.0
"""Seconds for which a cap may still be applied after the next configuration was published."""


class PublishedCaps:
    """All caps that each organisation has had."""

    def __init__(self) -> None:
        self._caps: dict[str, list[tuple[float, Shape]]] = {}

    def record(self, organisations: Sequence[Organisation], now: float) -> None:
        """Record the caps that the operator has published."""
        for organisation in organisations:
            self._caps.setdefault(organisation.name, []).append((now, organisation.cap))

    def highest_cores(self, name: str, now: float) -> int:
        """Return the highest cap that may be in force, in thousandths of a core; 0 for no limit."""
        caps = self._caps.get(name, [(now, Shape())])
        ends = [since for since, _ in caps[1:]] + [now]
        cores = [
            cap.cores for (_, cap), end in zip(caps, ends, strict=True) if end > now - APPLY_TIME_S
        ]
        return 0 if 0 in cores else max(cores, default=0)
