"""HTTP client of the command line, which returns a decoded answer or an error for operators."""

import json
from typing import Any, TypeAlias

import msgspec
from result import Err, Ok, Result
from tornado import httpclient

__all__ = ["Client", "ClientError"]

EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4
EXIT_UNCERTAIN = 5
FIRST_ERROR_STATUS = 400


class ClientError(msgspec.Struct, frozen=True):
    """Why a call failed, the exit code to end with, and the decoded response body if any."""

    message: str
    exit_code: int
    body: Any = None


CallResult: TypeAlias = Result[Any, ClientError]


class Client:
    """A client of one scheduler."""

    def __init__(self, address: str, timeout: float) -> None:
        self.address = address
        self._timeout = timeout

    def call(self, method: str, path: str, body: Any = None) -> CallResult:
        """Send one request and return the decoded JSON answer or the error."""
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
            return Err(ClientError(f"{self.address}: {error}", EXIT_UNREACHABLE))
        finally:
            client.close()
        return _decode_response(self.address, response)


def _decode_response(address: str, response: httpclient.HTTPResponse) -> CallResult:
    if response.error is not None and response.code == httpclient.HTTPError(599).code:
        return Err(ClientError(f"{address}: {response.error}", EXIT_UNREACHABLE))
    try:
        body = json.loads(response.body or b"null")
    except ValueError:
        return Err(ClientError(f"{address}: not a scheduler's answer", EXIT_UNREACHABLE))
    if response.code < FIRST_ERROR_STATUS:
        return Ok(body)
    verdict = body.get("verdict", "") if isinstance(body, dict) else ""
    detail = body.get("detail") or body.get("reason") if isinstance(body, dict) else str(body)
    exit_code = EXIT_UNCERTAIN if verdict == "MAY_HAVE_RUN" else EXIT_REFUSED
    return Err(ClientError(f"{verdict or response.code}: {detail}", exit_code, body))
