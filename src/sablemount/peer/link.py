"""Links between schedulers over gRPC: messages that are sent once, and forwarded requests."""

from collections.abc import Awaitable, Callable

import grpc
from result import Err, Ok

from sablemount.boottime import monotonic
from sablemount.core.actions import Forward, SendPeer
from sablemount.core.events import RequestArrived, RequestEnded
from sablemount.core.messages import PeerMessage, decode_message, encode_message
from sablemount.core.meter import Meter
from sablemount.core.verdict import Failure, Reason, Served, ServeResult, Verdict
from sablemount.peer import peer_pb2, peer_pb2_grpc

__all__ = ["PeerLinks", "PeerServer"]

SEND_TIMEOUT = 2.0
"""How long a message may take, in seconds."""
MESSAGE_LIMIT = 256 * 1024 * 1024
NO_RETRY = -1.0
OPTIONS = (
    # Nothing below the verdicts may repeat a call.
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_receive_message_length", MESSAGE_LIMIT),
    ("grpc.max_send_message_length", MESSAGE_LIMIT),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
)


class PeerLinks:
    """Channels to the other schedulers."""

    def __init__(self, addresses: dict[str, str], meter: Meter) -> None:
        self._meter = meter
        self._channels = {
            name: grpc.aio.insecure_channel(address, options=OPTIONS)
            for name, address in addresses.items()
        }
        self._stubs = {
            name: peer_pb2_grpc.PeerStub(channel) for name, channel in self._channels.items()
        }

    async def send(self, action: SendPeer) -> None:
        """Send a message once; a lost one is not an error."""
        stub = self._stubs.get(action.peer)
        if stub is None:
            return
        payload = encode_message(action.message)
        self._meter.count("control_bytes", type(action.message).__name__.lower(), len(payload))
        try:
            await stub.Send(peer_pb2.Envelope(payload=payload), timeout=SEND_TIMEOUT)
        except grpc.aio.AioRpcError:
            self._meter.count("messages_lost", action.peer)

    async def forward(self, action: Forward) -> RequestEnded:
        """Forward a request once."""
        arrival = action.arrival
        remaining = arrival.deadline - monotonic()
        request = peer_pb2.ForwardRequest(
            request=arrival.request,
            template=arrival.template,
            body=arrival.body,
            key=arrival.key,
            remaining=remaining,
        )
        stub = self._stubs.get(action.peer)
        if stub is None:
            failure = Failure(Verdict.NOT_RUN, Reason.PEER_LOST, f"{action.peer} is unknown")
            return RequestEnded(arrival.request, "", failure, True)
        try:
            reply = await stub.Forward(request, timeout=max(0.0, remaining))
        except grpc.aio.AioRpcError as error:
            # The peer may have sent it on before the call broke.
            failure = Failure(Verdict.MAY_HAVE_RUN, Reason.PEER_LOST, error.code().name)
            return RequestEnded(arrival.request, "", failure, True)
        return _ended(arrival.request, reply)

    async def close(self) -> None:
        """Close the channels."""
        for channel in self._channels.values():
            await channel.close()


def _ended(request: str, reply: peer_pb2.ForwardReply) -> RequestEnded:
    if reply.verdict == Verdict.DONE.value:
        served = Served(reply.body, reply.upstream, reply.status)
        return RequestEnded(request, "", None, True, 0.0, served)
    retry_after = None if reply.retry_after < 0 else reply.retry_after
    failure = Failure(Verdict(reply.verdict), Reason(reply.reason), reply.detail, retry_after)
    return RequestEnded(request, "", failure, True)


class PeerServer(peer_pb2_grpc.PeerServicer):
    """Takes messages and forwarded requests from the other schedulers."""

    def __init__(
        self,
        deliver: Callable[[PeerMessage], None],
        serve: Callable[[RequestArrived], Awaitable[ServeResult]],
    ) -> None:
        self._deliver = deliver
        self._serve = serve
        self._server = grpc.aio.server(options=OPTIONS)
        peer_pb2_grpc.add_PeerServicer_to_server(self, self._server)

    async def start(self, address: str) -> int:
        """Listen on an address and return the port."""
        port = self._server.add_insecure_port(address)
        await self._server.start()
        return port

    async def stop(self, grace: float) -> None:
        """Stop after the calls in flight, for ``grace`` seconds at most."""
        await self._server.stop(grace)

    async def Send(self, request, context):  # type: ignore[no-untyped-def]  # noqa: N802, ANN001
        """Take a message."""
        self._deliver(decode_message(request.payload))
        return peer_pb2.Ack()

    async def Forward(self, request, context):  # type: ignore[no-untyped-def]  # noqa: N802, ANN001
        """Serve a forwarded request."""
        arrival = RequestArrived(
            request.request,
            request.template,
            monotonic() + request.remaining,
            request.body,
            request.key,
            True,
        )
        return _reply(await self._serve(arrival))


def _reply(result: ServeResult) -> peer_pb2.ForwardReply:
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
        retry_after=NO_RETRY if failure.retry_after is None else failure.retry_after,
    )
