"""HTTP representation of verdicts and failures."""

import msgspec

from sablemount.core.verdict import Failure, Reason, Verdict

__all__ = [
    "REQUEST_HEADER",
    "RETRY_HEADER",
    "UPSTREAM_HEADER",
    "VERDICT_HEADER",
    "FailureBody",
    "failure_body",
    "http_status",
]

VERDICT_HEADER = "Sablemount-Verdict"
UPSTREAM_HEADER = "Sablemount-Upstream"
REQUEST_HEADER = "X-Request-Id"
RETRY_HEADER = "Retry-After"

_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_TEMPLATE: 404,
    Reason.CONFLICT: 409,
    Reason.KEY_SPENT: 409,
    Reason.KEY_EXPIRED: 410,
    Reason.NO_CAPACITY: 422,
    Reason.RATE_LIMIT: 429,
    Reason.QUOTA: 429,
    Reason.DEADLINE: 504,
    Reason.UPSTREAM_CUT_SHORT: 502,
    Reason.UPSTREAM_ERROR: 502,
    Reason.PEER_LOST: 502,
}
UNAVAILABLE = 503
BAD_GATEWAY = 502


class FailureBody(msgspec.Struct, frozen=True):
    """The JSON body of every response that reports a failure."""

    verdict: Verdict
    reason: Reason
    detail: str
    request: str


def http_status(failure: Failure) -> int:
    """Return the HTTP status of a failure."""
    return _STATUS_BY_REASON.get(failure.reason, UNAVAILABLE)


def failure_body(failure: Failure, request: str) -> bytes:
    """Return the JSON body of a failure."""
    body = FailureBody(failure.verdict, failure.reason, failure.detail, request)
    return msgspec.json.encode(body)
