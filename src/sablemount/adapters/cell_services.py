"""Adapters to the platform's log service and VM list, over HTTP.

The protocols are assumptions, and only this module depends on them. Log: ``POST /append`` with one
batch as the body returns 200 once the batch is written and 503 if it certainly is not.
``GET /read?after=N`` returns the entries after an offset, the head and the first retained offset,
as MessagePack; a read that begins after an append has returned includes it. VM list: ``GET /vms``
returns a JSON list.
"""

import msgspec
from tornado import httpclient

from sablemount.boottime import monotonic
from sablemount.core.actions import AppendLog, ReadLog
from sablemount.core.events import AppendEnded, AppendStatus, LogRead, LogReadFailed, VmListRead
from sablemount.core.facts import VmFacts
from sablemount.core.meter import Meter
from sablemount.core.rows import LogEntry

__all__ = ["HttpLog", "HttpVmList", "ReadReply"]

NOT_WRITTEN_STATUS = 503
MAX_READ_ENTRIES = 500
"""Maximum number of entries in the reply to one read."""
MAX_CLIENTS = 8
MAX_REPLY_BYTES = 600 * 1024 * 1024


class ReadReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a read of the log."""

    head: int
    first: int
    entries: tuple[LogEntry, ...]


_READ_DECODER = msgspec.msgpack.Decoder(ReadReply)
_LIST_DECODER = msgspec.json.Decoder(tuple[VmFacts, ...])


def _client() -> httpclient.AsyncHTTPClient:
    return httpclient.AsyncHTTPClient(
        force_instance=True, max_clients=MAX_CLIENTS, max_body_size=MAX_REPLY_BYTES
    )


class HttpLog:
    """Reads and appends to the platform's log."""

    def __init__(
        self, address: str, meter: Meter, append_timeout: float, read_timeout: float
    ) -> None:
        self._base = f"http://{address}"
        self._meter = meter
        self._append_timeout = append_timeout
        self._read_timeout = read_timeout
        self._client = _client()

    async def append(self, action: AppendLog) -> AppendEnded:
        """Append one batch; return whether it was written, refused or may have been written."""
        self._meter.count("control_bytes", "log_append", len(action.payload))
        try:
            await self._client.fetch(
                f"{self._base}/append",
                method="POST",
                body=action.payload,
                request_timeout=self._append_timeout,
                connect_timeout=self._append_timeout,
            )
        except ConnectionRefusedError:
            return AppendEnded(action.sequence, AppendStatus.REFUSED)
        except httpclient.HTTPClientError as error:
            refused = error.code == NOT_WRITTEN_STATUS
            status = AppendStatus.REFUSED if refused else AppendStatus.UNKNOWN
            return AppendEnded(action.sequence, status)
        except OSError:
            return AppendEnded(action.sequence, AppendStatus.UNKNOWN)
        return AppendEnded(action.sequence, AppendStatus.WRITTEN)

    async def read(self, action: ReadLog) -> LogRead | LogReadFailed:
        """Read the entries after an offset."""
        sent_at = monotonic()
        try:
            response = await self._client.fetch(
                f"{self._base}/read?after={action.after}&limit={MAX_READ_ENTRIES}",
                request_timeout=self._read_timeout,
                connect_timeout=self._read_timeout,
            )
            reply = _READ_DECODER.decode(response.body)
        except (httpclient.HTTPClientError, OSError, msgspec.DecodeError):
            return LogReadFailed()
        self._meter.count("control_bytes", "log_read", len(response.body))
        return LogRead(sent_at, reply.entries, reply.head, reply.first)


class HttpVmList:
    """Reads the platform's VM list."""

    def __init__(self, address: str, timeout: float) -> None:
        self._url = f"http://{address}/vms"
        self._timeout = timeout
        self._client = _client()

    async def vms(self) -> VmListRead | None:
        """Return the list, or ``None`` if the service does not answer."""
        try:
            response = await self._client.fetch(self._url, request_timeout=self._timeout)
            return VmListRead(_LIST_DECODER.decode(response.body))
        except (httpclient.HTTPClientError, OSError, msgspec.DecodeError):
            return None
