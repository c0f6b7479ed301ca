"""gRPC links between schedulers: control messages and forwarded requests, each sent once."""

from collections.abc import Awaitable, Callable

import grpc
from result import Err, Ok

from sablemount.boottime import monotonic
from sablemount.core.actions import Forward, SendPeer
from sablemount.core.events import RequestArrived, RequestEnded
from sablemount.core.messages import PeerMessage, decode_message, encode_message
from sablemount.core.meter import Meter
from sablemount.core.verdict import Failure, Reason, Served, ServeResult, Verdict
from sablemount.listening import ListenError
from sablemount.peer import peer_pb2, peer_pb2_grpc

__all__ = ["PeerLinks", "PeerServer"]

SEND_TIMEOUT_S = 2.0
MAX_MESSAGE_BYTES = 256 * 1024 * 1024
NO_RETRY_AFTER = -1.0
"""Sent in place of a missing ``retry_after``."""
CHANNEL_OPTIONS = (
    # gRPC must not repeat a call: only the layer that assigns verdicts may decide on a retry.
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
)


class PeerLinks:
    """Client channels to the other schedulers."""

    def __init__(self, addresses: dict[str, str], meter: Meter) -> None:
        self._meter = meter
        self._channels = {
            name: grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            for name, address in addresses.items()
        }
        self._stubs = {
            name: peer_pb2_grpc.PeerStub(channel) for name, channel in self._channels.items()
        }

    async def send(self, action: SendPeer) -> None:
        """Send a message once; a failure is counted, not raised."""
        stub = self._stubs.get(action.peer)
        if stub is None:
            return
        payload = encode_message(action.message)
        self._meter.count("control_bytes", type(action.message).__name__.lower(), len(payload))
        try:
            await stub.Send(peer_pb2.Envelope(payload=payload), timeout=SEND_TIMEOUT_S)
        except grpc.aio.AioRpcError:
            self._meter.count("messages_lost", action.peer)

    async def forward(self, action: Forward) -> RequestEnded:
        """Forward a request once and return its outcome."""
        arrival = action.arrival
        remaining_s = arrival.deadline - monotonic()
        request = peer_pb2.ForwardRequest(
            request=arrival.request,
            template=arrival.template,
            body=arrival.body,
            key=arrival.key,
            remaining=remaining_s,
        )
        stub = self._stubs.get(action.peer)
        if stub is None:
            failure = Failure(Verdict.NOT_RUN, Reason.PEER_LOST, f"{action.peer} is unknown")
            return RequestEnded(arrival.request, "", failure, True)
        try:
            reply = await stub.Forward(request, timeout=max(0.0, remaining_s))
        except grpc.aio.AioRpcError as error:
            # The peer may have passed the request to a worker before the call failed.
            failure = Failure(Verdict.MAY_HAVE_RUN, Reason.PEER_LOST, error.code().name)
            return RequestEnded(arrival.request, "", failure, True)
        return _request_ended(arrival.request, reply)

    async def close(self) -> None:
        """Close the channels."""
        for channel in self._channels.values():
            await channel.close()


def _request_ended(request: str, reply: peer_pb2.ForwardReply) -> RequestEnded:
    if reply.verdict == Verdict.DONE.value:
        served = Served(reply.body, reply.upstream, reply.status)
        return RequestEnded(request, "", None, True, 0.0, served)
    retry_after = None if reply.retry_after < 0 else reply.retry_after
    failure = Failure(Verdict(reply.verdict), Reason(reply.reason), reply.detail, retry_after)
    return RequestEnded(request, "", failure, True)


class PeerServer(peer_pb2_grpc.PeerServicer):
    """Receives messages and forwarded requests from the other schedulers."""

    def __init__(
        self,
        on_message: Callable[[PeerMessage], None],
        serve: Callable[[RequestArrived], Awaitable[ServeResult]],
    ) -> None:
        self._on_message = on_message
        self._serve_request = serve
        self._server = grpc.aio.server(options=CHANNEL_OPTIONS)
        peer_pb2_grpc.add_PeerServicer_to_server(self, self._server)

    async def start(self, address: str) -> int:
        """Listen on an address and return the port number; raises ``ListenError``."""
        try:
            port = self._server.add_insecure_port(address)
        except RuntimeError as error:
            raise ListenError(address, "other members", str(error)) from error
        await self._server.start()
        return port

    async def stop(self, grace_s: float) -> None:
        """Stop, waiting up to ``grace_s`` seconds for the calls in flight."""
        await self._server.stop(grace_s)

    async def Send(self, request, context):  # type: ignore[no-untyped-def]  # noqa: N802, ANN001
        """Handle a control message."""
        self._on_message(decode_message(request.payload))
        return peer_pb2.Ack()

    async def Forward(self, request, context):  # type: ignore[no-untyped-def]  # noqa: N802, ANN001
        """Serve a forwarded request and return its result."""
        arrival = RequestArrived(
            request.request,
            request.template,
            monotonic() + request.remaining,
            request.body,
            request.key,
            True,
        )
        return _forward_reply(await self._serve_request(arrival))


def _forward_reply(result: ServeResult) -> peer_pb2.ForwardReply:
    if isinstance(result, Ok):
        served = result.ok_value
        return peer_pb2.ForwardReply(
            verdict=Verdict.DONE.value,
            body=served.body,
            upstream=served.upstream,
            status=served.status,
        )
    assert isinstance(result, Err)
    failure = result.err_value
    return peer_pb2.ForwardReply(
        verdict=failure.verdict.value,
        reason=failure.reason.value,
        detail=failure.detail,
        retry_after=NO_RETRY_AFTER if failure.retry_after is None else failure.retry_after,
    )
