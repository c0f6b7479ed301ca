"""Verdicts: what a caller may conclude about its own request.

The rule behind every value: ``NOT_RUN`` is a promise that nothing ran, and is given only when no
byte reached a worker or when the worker refused by its protocol.
"""

import enum
from typing import TypeAlias

import msgspec
from result import Result

__all__ = ["Failure", "Reason", "Served", "ServeResult", "Verdict"]


class Verdict(enum.StrEnum):
    """Whether a request may have run."""

    DONE = "DONE"
    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"


class Reason(enum.StrEnum):
    """Why a request failed; the label of the failure counters."""

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
    """A request that has no answer, and what is known of it.

    ``retry_after`` is in seconds; ``None`` means that trying again will not help.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ""
    retry_after: float | None = None


class Served(msgspec.Struct, frozen=True):
    """A whole answer from an upstream."""

    body: bytes
    upstream: str
    status: int = 200


ServeResult: TypeAlias = Result[Served, Failure]
