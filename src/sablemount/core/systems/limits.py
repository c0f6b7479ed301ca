"""Limits on requests: per organisation, on retries, and on failing upstreams."""

from sablemount.core.documents import OrganisationDocument
from sablemount.core.state import State
from sablemount.core.tables import VmRow
from sablemount.core.verdict import Failure, Reason, Verdict

__all__ = ["Ejection", "OrganisationLimits", "RetryBudget"]

BURST_SECONDS = 1.0
"""How much of a rate may be used at once, in seconds of it."""
BUDGET_CAP = 100.0
"""Retries that may be saved up."""
EJECTING = frozenset({Reason.UPSTREAM_UNREACHABLE, Reason.UPSTREAM_CUT_SHORT, Reason.DEADLINE})


class OrganisationLimits:
    """Rate and concurrency of each organisation at this scheduler."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}
        self._filled_at: dict[str, float] = {}
        self._running: dict[str, int] = {}

    def check(self, document: OrganisationDocument, now: float) -> Failure | None:
        """Return why a request may not enter, and take a token if it may."""
        name = document.organisation
        limit = document.concurrency
        if limit is not None and self._running.get(name, 0) >= limit:
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
        burst = max(1.0, rate * BURST_SECONDS)
        passed = now - self._filled_at.get(name, now - BURST_SECONDS)
        tokens = min(burst, self._tokens.get(name, burst) + passed * rate)
        self._tokens[name] = tokens
        self._filled_at[name] = now
        return tokens

    def entered(self, organisation: str) -> None:
        """Count a request in."""
        self._running[organisation] = self._running.get(organisation, 0) + 1

    def left(self, organisation: str) -> None:
        """Count a request out."""
        self._running[organisation] -= 1


class RetryBudget:
    """Retries as a share of requests, shared by the whole process."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = BUDGET_CAP / 10

    def earned(self) -> None:
        """Book a new request."""
        self._saved = min(BUDGET_CAP, self._saved + self._share)

    def take(self) -> bool:
        """Take one retry, if there is one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


class Ejection:
    """Keeps requests away from VMs that fail them, for a share of the VMs at most."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._ejected: dict[str, float] = {}

    def note(self, row: VmRow, failure: Failure | None) -> None:
        """Take the outcome of an attempt at a VM."""
        if failure is None:
            row.consecutive_failures = 0
        elif failure.reason in EJECTING:
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
        # The next failure after the pause ejects it again; one success clears it.
        row.consecutive_failures = settings.eject_after - 1
        self._state.meter.count("ejections")

    def run(self) -> None:
        """Let back in the VMs whose time is over; their next request is the probe."""
        now = self._state.now
        for vm in [vm for vm, until in self._ejected.items() if until <= now]:
            del self._ejected[vm]
            row = self._state.vms.get(vm)
            if row is not None:
                self._state.reindex(row)
