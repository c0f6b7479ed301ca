"""HTTP client of the command line: one call, a typed answer or a plain error."""

import json
from typing import Any, TypeAlias

import msgspec
from result import Err, Ok, Result
from tornado import httpclient

__all__ = ["Client", "Problem"]

EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4
EXIT_UNCERTAIN = 5
BAD_STATUS = 400


class Problem(msgspec.Struct, frozen=True):
    """Why a call brought no answer, and the exit code that it means."""

    message: str
    code: int
    body: Any = None


Answer: TypeAlias = Result[Any, Problem]


class Client:
    """Calls one scheduler."""

    def __init__(self, address: str, timeout: float) -> None:
        self.address = address
        self._timeout = timeout

    def call(self, method: str, path: str, body: Any = None) -> Answer:
        """Call a path and return the decoded JSON answer."""
        client = httpclient.HTTPClient()
        try:
            response = client.fetch(
                f"http://{self.address}{path}",
                method=method,
                body=None if body is None else msgspec.json.encode(body),
                request_timeout=self._timeout,
                raise_error=False,
            )
        except (OSError, ValueError) as error:
            return Err(Problem(f"{self.address}: {error}", EXIT_UNREACHABLE))
        finally:
            client.close()
        return _decode(self.address, response)


def _decode(address: str, response: httpclient.HTTPResponse) -> Answer:
    if response.error is not None and response.code == httpclient.HTTPError(599).code:
        return Err(Problem(f"{address}: {response.error}", EXIT_UNREACHABLE))
    try:
        body = json.loads(response.body or b"null")
    except ValueError:
        return Err(Problem(f"{address}: not a scheduler's answer", EXIT_UNREACHABLE))
    if response.code < BAD_STATUS:
        return Ok(body)
    verdict = body.get("verdict", "") if isinstance(body, dict) else ""
    detail = body.get("detail") or body.get("reason") if isinstance(body, dict) else str(body)
    code = EXIT_UNCERTAIN if verdict == "MAY_HAVE_RUN" else EXIT_REFUSED
    return Err(Problem(f"{verdict or response.code}: {detail}", code, body))
