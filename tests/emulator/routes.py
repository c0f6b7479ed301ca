"""The pools that the operator has sent the queues to."""

from collections.abc import Mapping

__all__ = ["PublishedRoutes"]


class PublishedRoutes:
    """The routes of all configurations that were published: the pool of each host and prefix."""

    def __init__(self) -> None:
        self._published: list[dict[str, str]] = []

    def record(self, pools: Mapping[str, str]) -> None:
        """Record a configuration's routes: the pool by the host and path prefix of its queue."""
        if pools not in self._published:
            self._published.append(dict(pools))

    def pools_of(self, url: str) -> set[str]:
        """Return the pools that any configuration sends a job to; the longest prefix counts."""
        found = set()
        for pools in self._published:
            prefixes = [prefix for prefix in pools if url.startswith(prefix)]
            if prefixes:
                found.add(pools[max(prefixes, key=len)])
        return found
