"""What a caller reads whose job no VM can run: the platform's status, field and time to return."""

import asyncio
import json
from http import HTTPStatus

from tornado import httputil

from sablemount.control.figures import Metrics
from sablemount.control.messages import CallerCall, CallerReply, unserved_reply
from sablemount.platform.front import Frontend
from tests.platform.standin import HOST, PREFIX

BODY = {"spec": "s", "steps": [{"count": 1, "constraints": "c"}]}


class _Feed:
    version = 1

    def subscribe(self, on_configuration: object) -> None:
        """Ignore a subscription."""


class _Member:
    """A member whose leader refuses each job."""

    def __init__(self, reply: CallerReply) -> None:
        self.feed = _Feed()
        self.metrics = Metrics()
        self._reply = reply

    async def serve(self, call: CallerCall, timeout: float, digest: bytes | None) -> CallerReply:
        return self._reply


class _Connection:
    """A connection that keeps what is written to it."""

    def write_headers(
        self, line: httputil.ResponseStartLine, headers: httputil.HTTPHeaders, body: bytes
    ) -> None:
        self.status, self.headers, self.body = line.code, headers, body

    def finish(self) -> None:
        """Ignore the end."""


def _answer(reply: CallerReply) -> _Connection:
    async def serve() -> _Connection:
        connection = _Connection()
        front = Frontend(_Member(reply), lambda work: None)  # type: ignore[arg-type]
        front.in_flight = 1
        await front._serve(
            httputil.HTTPServerRequest(
                connection=connection,  # type: ignore[arg-type]
                start_line=httputil.RequestStartLine("POST", PREFIX + "a1", "HTTP/1.1"),
                headers=httputil.HTTPHeaders({"Host": HOST}),
                body=json.dumps(BODY).encode(),
            )
        )
        return connection

    return asyncio.run(serve())


def test_a_job_that_no_vm_can_run_is_not_taken_and_its_field_has_the_platforms_name() -> None:
    told = _answer(unserved_reply("$.steps[0].label", "no VM can run step 0"))
    assert told.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert told.headers["Retry-After"] == "10"
    assert json.loads(told.body) == {
        "error": "no VM can run step 0",
        "path": "$.steps[0].constraints",
    }


def test_a_task_that_is_too_large_is_told_by_the_platforms_name_of_its_resource() -> None:
    told = _answer(unserved_reply("$.steps[2].shape.memory", "why"))
    assert json.loads(told.body)["path"] == "$.steps[2].memMb"
