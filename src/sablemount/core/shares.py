"""Hard quotas, divided over the shards.

Each shard holds a share of each organisation's quota, and only the shard's owner grants work from
it. The shares of all shards never add up to more than the quota, so the quota is never exceeded
although no decision needs a round trip. An owner whose share is used up asks for a part of another
shard's share, which the owner of that shard transfers by a record in the log.
"""

from collections.abc import Iterator

from sablemount.core.documents import Quota

__all__ = ["QuotaShares"]


class QuotaShares:
    """Shares of each organisation's quota, by shard."""

    def __init__(self, shard_count: int) -> None:
        self._shard_count = shard_count
        self._cores: dict[str, list[int] | None] = {}
        self._accelerators: dict[str, list[int] | None] = {}

    def revise(self, organisation: str, quota: Quota) -> None:
        """Divide a new or changed quota over the shards."""
        self._cores[organisation] = self._resize(self._cores.get(organisation), quota.cores)
        self._accelerators[organisation] = self._resize(
            self._accelerators.get(organisation), quota.accelerators
        )

    def _resize(self, shares: list[int] | None, limit: int | None) -> list[int] | None:
        if limit is None:
            return None
        if shares is None:
            return self._divide(limit)
        total = sum(shares)
        if limit >= total:
            extra = self._divide(limit - total)
            return [share + more for share, more in zip(shares, extra, strict=True)]
        # Scaling down increases no share, so running work and work that may still be started never
        # exceed the previous quota.
        return [share * limit // total for share in shares]

    def _divide(self, limit: int) -> list[int]:
        quotient, remainder = divmod(limit, self._shard_count)
        return [quotient + (1 if index < remainder else 0) for index in range(self._shard_count)]

    def cores(self, organisation: str, shard: int) -> int | None:
        """Return the cores that a shard may grant to an organisation; ``None`` is no limit."""
        shares = self._cores.get(organisation)
        return None if shares is None else shares[shard]

    def accelerators(self, organisation: str, shard: int) -> int | None:
        """Return the accelerators that a shard may grant; ``None`` is no limit."""
        shares = self._accelerators.get(organisation)
        return None if shares is None else shares[shard]

    def has_quota(self, organisation: str) -> bool:
        """Return whether an organisation has a quota of any kind."""
        limits = (self._cores.get(organisation), self._accelerators.get(organisation))
        return any(shares is not None for shares in limits)

    def move(self, organisation: str, source: int, to: int, cores: int, accelerators: int) -> str:
        """Move a part of one shard's share to another shard; return an error, or ``""``."""
        if min(cores, accelerators) < 0:
            return "a negative amount"
        if not self._holds(self._cores, organisation, source, cores):
            return f"shard {source} holds fewer cores"
        if not self._holds(self._accelerators, organisation, source, accelerators):
            return f"shard {source} holds fewer accelerators"
        _transfer(self._cores.get(organisation), source, to, cores)
        _transfer(self._accelerators.get(organisation), source, to, accelerators)
        return ""

    def _holds(
        self, table: dict[str, list[int] | None], organisation: str, shard: int, amount: int
    ) -> bool:
        shares = table.get(organisation)
        return amount == 0 or (shares is not None and shares[shard] >= amount)

    def rows(self) -> Iterator[tuple[str, list[int] | None, list[int] | None]]:
        """Yield each organisation with its shares of cores and of accelerators."""
        for name, cores in self._cores.items():
            yield name, cores, self._accelerators.get(name)

    def restore(
        self, organisation: str, cores: list[int] | None, accelerators: list[int] | None
    ) -> None:
        """Restore the shares of one organisation from a snapshot."""
        self._cores[organisation] = cores
        self._accelerators[organisation] = accelerators


def _transfer(shares: list[int] | None, source: int, to: int, amount: int) -> None:
    if shares is not None:
        shares[source] -= amount
        shares[to] += amount
