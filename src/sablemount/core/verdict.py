"""Verdicts, from which a caller learns whether its request may have run.

``NOT_RUN`` guarantees that nothing ran. It is returned only if no byte reached a worker, or if the
worker refused the request by its protocol.
"""

import enum
from typing import TypeAlias

import msgspec
from result import Result

__all__ = ["Failure", "Reason", "Served", "ServeResult", "Verdict"]


class Verdict(enum.StrEnum):
    """Whether a request or task ran, did not run, or may have run."""

    DONE = "DONE"
    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"


class Reason(enum.StrEnum):
    """Reason of a failure, which also labels the failure counters."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_TEMPLATE = "unknown_template"
    CONFLICT = "conflict"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    RATE_LIMIT = "rate_limit"
    QUOTA = "quota"
    KEY_SPENT = "key_spent"
    KEY_EXPIRED = "key_expired"
    LOG_UNAVAILABLE = "log_unavailable"
    NO_CAPACITY = "no_capacity"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    CANCELLED = "cancelled"
    VM_LOST = "vm_lost"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_CUT_SHORT = "upstream_cut_short"
    UPSTREAM_ERROR = "upstream_error"
    PEER_LOST = "peer_lost"


class Failure(msgspec.Struct, frozen=True):
    """Result of a request that failed.

    ``retry_after`` is in seconds; ``None`` means that a retry will not help.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ""
    retry_after: float | None = None


class Served(msgspec.Struct, frozen=True):
    """A complete answer from an upstream."""

    body: bytes
    upstream: str
    status: int = 200


ServeResult: TypeAlias = Result[Served, Failure]
