"""The pools that the operator has sent the queues to, and those that a process has sent them to."""

from collections.abc import Mapping

__all__ = ["AppliedRoutes", "PublishedRoutes"]


def _pool_of(pools: Mapping[str, str], url: str) -> str | None:
    """Return the pool of the longest prefix that a URL begins with; ``None`` without any."""
    prefixes = [prefix for prefix in pools if url.startswith(prefix)]
    return pools[max(prefixes, key=len)] if prefixes else None


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
        found = {_pool_of(pools, url) for pools in self._published}
        return {pool for pool in found if pool is not None}


class AppliedRoutes:
    """The routes that one process has had in force, each with the time from which it had them."""

    def __init__(self) -> None:
        self._applied: list[tuple[float, dict[str, str]]] = []

    def record(self, pools: Mapping[str, str], now: float) -> None:
        """Record the routes that are in force from now on."""
        self._applied.append((now, dict(pools)))

    def pools_of(self, url: str, since: float) -> set[str]:
        """Return the pools that a job was sent to at any time since a given one."""
        ends = [begin for begin, _ in self._applied[1:]] + [since + 1.0]
        found = {
            _pool_of(pools, url)
            for (_, pools), end in zip(self._applied, ends, strict=True)
            if end > since
        }
        return {pool for pool in found if pool is not None}
