"""Limits on requests: rate and concurrency, retry budget, and ejection of failing VMs."""

from sablemount.core.documents import OrganisationDocument
from sablemount.core.state import State
from sablemount.core.tables import VmRow
from sablemount.core.verdict import Failure, Reason, Verdict

__all__ = ["Ejection", "OrganisationLimits", "RetryBudget"]

BURST_S = 1.0
"""Size of the token bucket, as the time in which the rate fills it."""
MAX_SAVED_RETRIES = 100.0
"""Upper bound of the retry budget."""
EJECTING_REASONS = frozenset(
    {Reason.UPSTREAM_UNREACHABLE, Reason.UPSTREAM_CUT_SHORT, Reason.DEADLINE}
)


class OrganisationLimits:
    """Limits each organisation's rate and concurrency at this scheduler."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}
        self._filled_at: dict[str, float] = {}
        self._in_flight: dict[str, int] = {}

    def check(self, document: OrganisationDocument, now: float) -> Failure | None:
        """Return why a request is refused, or take a token and return ``None``."""
        name = document.organisation
        limit = document.concurrency
        if limit is not None and self._in_flight.get(name, 0) >= limit:
            detail = f"{name} has {limit} requests in flight"
            return Failure(Verdict.NOT_RUN, Reason.RATE_LIMIT, detail, 0.1)
        rate = document.requests_per_second
        if rate is None:
            return None
        tokens = self._refill(name, rate, now)
        if tokens < 1.0:
            detail = f"{name} is limited to {rate:g} requests a second"
            return Failure(Verdict.NOT_RUN, Reason.RATE_LIMIT, detail, (1.0 - tokens) / rate)
        self._tokens[name] = tokens - 1.0
        return None

    def _refill(self, name: str, rate: float, now: float) -> float:
        burst = max(1.0, rate * BURST_S)
        elapsed = now - self._filled_at.get(name, now - BURST_S)
        tokens = min(burst, self._tokens.get(name, burst) + elapsed * rate)
        self._tokens[name] = tokens
        self._filled_at[name] = now
        return tokens

    def request_started(self, organisation: str) -> None:
        """Count a request as in flight."""
        self._in_flight[organisation] = self._in_flight.get(organisation, 0) + 1

    def request_ended(self, organisation: str) -> None:
        """Count a request as no longer in flight."""
        self._in_flight[organisation] -= 1


class RetryBudget:
    """A budget of retries, a fixed share of the requests, for the whole process."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = MAX_SAVED_RETRIES / 10

    def add_request(self) -> None:
        """Add a new request's share to the budget."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + self._share)

    def take_retry(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


class Ejection:
    """Ejects failing VMs for ``eject_seconds``, up to ``eject_share`` of the held shards' VMs."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._ejected: dict[str, float] = {}

    def record_outcome(self, row: VmRow, failure: Failure | None) -> None:
        """Record the outcome of an attempt on a VM."""
        if failure is None:
            row.consecutive_failures = 0
        elif failure.reason in EJECTING_REASONS:
            row.consecutive_failures += 1
            if row.consecutive_failures >= self._state.settings.eject_after and self._may_eject(
                row
            ):
                self._eject(row)

    def _may_eject(self, row: VmRow) -> bool:
        total = sum(len(self._state.shard_vms[shard]) for shard in self._state.held_shards)
        limit = self._state.settings.eject_share * total
        return row.vm not in self._ejected and len(self._ejected) + 1 <= limit

    def _eject(self, row: VmRow) -> None:
        settings = self._state.settings
        row.ejected_until = self._state.now + settings.eject_seconds
        self._ejected[row.vm] = row.ejected_until
        # The next failure after the ejection ejects it again; one success resets the count.
        row.consecutive_failures = settings.eject_after - 1
        self._state.meter.count("ejections")

    def run(self) -> None:
        """Readmit the VMs whose ejection has ended; their next request serves as a probe."""
        now = self._state.now
        for vm in [vm for vm, until in self._ejected.items() if until <= now]:
            del self._ejected[vm]
            row = self._state.vms.get(vm)
            if row is not None:
                self._state.reindex(row)
