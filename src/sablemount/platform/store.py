"""Adapter to the platform's store: an HTTP interface to topics of raw records.

Others write to some of the topics, and their keys and values may be arbitrary bytes. Bytes of a key
that are not valid UTF-8 are decoded as surrogate escapes, so that reading can continue after them.
"""

import base64
import json
from collections.abc import Iterator
from urllib.parse import quote

import msgspec

from sablemount.adapters.upstream import (
    IncompleteResponse,
    RequestNotSent,
    Response,
    StreamingWait,
    UpstreamPool,
)
from sablemount.control.progress import TransferProgress
from sablemount.control.store import (
    Appended,
    AppendResult,
    Conflict,
    Fenced,
    Page,
    PageItem,
    Producer,
    ReadResult,
    Records,
    Topic,
    Trimmed,
    Unavailable,
    WrongSequence,
)
from sablemount.jobs.records import Record

__all__ = ["PlatformStore", "decode_records", "encode_records"]

TOPICS = {
    Topic.JOBS: "keyed.sablemount-jobs",
    Topic.LEADER: "keyed.sablemount-leader",
    Topic.VMS: "keyed.servers",
    Topic.CONFIGURATION: "keyed.op",
}
PARTITION = 0
LENGTH_BYTES = 4
OFFSET_BYTES = 8
READ_MARGIN_S = 0.8
"""Seconds beyond its wait within which the response to a read has to begin, and the longest gap
between its parts."""
OK = 200
CONFLICT = 409
GONE = 410
PRECONDITION = 412
REFUSAL_STATUSES = (400, 403, 429, 503, 507)
"""Statuses that mean that nothing was written."""
MS_PER_S = 1000
KEY_ERRORS = "surrogateescape"
"""Error handler for decoding and encoding keys, which keeps bytes that are not valid UTF-8."""


class _AppendReply(msgspec.Struct, frozen=True):
    reason: str = ""
    epoch: int = 0
    seq: int = 0
    end: int = 0


class _Item(msgspec.Struct, frozen=True):
    key: str
    offset: int
    value: str = ""


class _Newest(msgspec.Struct, frozen=True):
    items: list[_Item]
    end: int
    more: bool = False


_APPEND_REPLY = msgspec.json.Decoder(_AppendReply)
_NEWEST = msgspec.json.Decoder(_Newest)


def encode_records(records: list[Record]) -> bytes:
    """Encode keyed records in the store's format."""
    parts = []
    for record in records:
        key = record.key.encode()
        length = 1 + len(key) + len(record.value)
        parts.append(length.to_bytes(LENGTH_BYTES, "big") + bytes([len(key)]) + key)
        parts.append(record.value)
    return b"".join(parts)


def decode_records(payload: bytes) -> Iterator[Record]:
    """Decode keyed records; raise ``ValueError`` if they are truncated."""
    position = 0
    while position < len(payload):
        start = position + LENGTH_BYTES
        position = start + int.from_bytes(payload[position:start], "big")
        body = payload[start:position]
        if position > len(payload) or not body or len(body) <= body[0]:
            raise ValueError("a record is cut short")
        key_end = 1 + body[0]
        yield Record(body[1:key_end].decode(errors=KEY_ERRORS), body[key_end:])


class PlatformStore:
    """Implements the product's store port with the platform's store."""

    def __init__(self, address: str, pool: UpstreamPool) -> None:
        self._address = address
        self._pool = pool

    async def append(
        self,
        topic: Topic,
        records: list[Record],
        timeout: float,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendResult:
        """Append all records or none."""
        path = f"/api/log-append?topic={TOPICS[topic]}&part={PARTITION}"
        if producer is not None:
            path += f"&producer={producer.name}&epoch={producer.epoch}&seq={producer.sequence}"
        if at is not None:
            path += f"&at={at}"
        response = await self._call("POST", path, encode_records(records), timeout)
        return response if isinstance(response, Unavailable) else _append_result(response)

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        """Return a page of the newest records of the keys that follow ``after``, in key order."""
        path = f"/api/log-newest?topic={TOPICS[topic]}&part={PARTITION}"
        if after:
            path += f"&dependsOn={_quoted(after)}"
        streaming = None if progress is None else StreamingWait(timeout, progress.add_received)
        response = await self._call("GET", path, b"", timeout, streaming=streaming)
        if isinstance(response, Unavailable):
            return response
        if response.status != OK:
            return Unavailable(f"status {response.status}")
        try:
            newest = _decode_newest(response.body)
        except ValueError as error:
            return Unavailable(f"undecodable: {error}")
        items = [PageItem(Record(item.key, _value(item)), item.offset) for item in newest.items]
        return Page(items, newest.more, newest.end)

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        """Return the records from an offset on; wait up to ``wait`` seconds for one."""
        path = f"/api/log-read?topic={TOPICS[topic]}&part={PARTITION}&from={offset}"
        path += f"&waitMs={int(wait * MS_PER_S)}"
        streaming = (
            None if progress is None else StreamingWait(READ_MARGIN_S, progress.add_received)
        )
        response = await self._call("GET", path, b"", wait + READ_MARGIN_S, wait, streaming)
        if isinstance(response, Unavailable):
            return response
        if response.status == GONE:
            return Trimmed()
        if response.status != OK:
            return Unavailable(f"status {response.status}")
        try:
            records = list(decode_records(response.body[2 * OFFSET_BYTES :]))
        except ValueError as error:
            return Unavailable(f"undecodable: {error}")
        return Records(records, offset + len(records))

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        waits: float = 0.0,
        streaming: StreamingWait | None = None,
    ) -> Response | Unavailable:
        """Call the store, which may delay its response by up to ``waits`` seconds."""
        try:
            return await self._pool.fetch(
                self._address,
                path,
                body,
                {},
                timeout,
                method=method,
                waits=waits,
                streaming=streaming,
            )
        except RequestNotSent as error:
            return Unavailable(str(error), certain=True)
        except IncompleteResponse as error:
            return Unavailable(str(error), received=error.received)


def _decode_newest(body: bytes) -> _Newest:
    """Decode a page, even if some of its keys are not valid UTF-8; raise ``ValueError``."""
    try:
        return _NEWEST.decode(body)
    except msgspec.DecodeError:
        # The strict decoder rejects such a key, and with it all other keys of the page.
        return msgspec.convert(json.loads(body.decode(errors=KEY_ERRORS)), _Newest)


def _value(item: _Item) -> bytes:
    """Return an item's decoded value; its raw text if it is not valid base64."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        return item.value.encode(errors="replace")


def _quoted(key: str) -> str:
    """Quote a key for a query string, whatever its bytes are."""
    try:
        return quote(key.encode(errors=KEY_ERRORS))
    except UnicodeEncodeError:
        return quote(key.encode(errors="surrogatepass"))


def _append_result(response: Response) -> AppendResult:
    if response.status in REFUSAL_STATUSES:
        return Unavailable(f"status {response.status}", certain=True)
    try:
        reply = _APPEND_REPLY.decode(response.body)
    except msgspec.DecodeError as error:
        return Unavailable(f"undecodable: {error}")
    if response.status == OK:
        return Appended(reply.end)
    if response.status == PRECONDITION:
        return Conflict(reply.end)
    if response.status == CONFLICT and reply.reason == "fenced":
        return Fenced(reply.epoch)
    if response.status == CONFLICT and reply.reason == "seq":
        return WrongSequence(reply.seq)
    return Unavailable(f"status {response.status}")
