"""The platform's store: an HTTP interface to topics of raw records.

Others write to some of the topics, and their keys and values may be any bytes. Bytes of a key that
are no text are kept as surrogate escapes, so that reading goes on after them.
"""

import base64
import json
from collections.abc import Iterator
from urllib.parse import quote

import msgspec

from sablemount.adapters.upstream import Answer, CutShort, NotSent, Parts, UpstreamPool
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
PART = 0
LENGTH_BYTES = 4
OFFSET_BYTES = 8
READ_SLACK = 0.8
"""Seconds beyond its wait in which a read's answer begins, and that may lie between its parts."""
OK = 200
CONFLICT = 409
GONE = 410
PRECONDITION = 412
SERVER_REFUSALS = (400, 403, 429, 503, 507)
"""Answers that say that nothing was done."""
MS = 1000
ANY_BYTES = "surrogateescape"


class _Refusal(msgspec.Struct, frozen=True):
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


_REFUSAL = msgspec.json.Decoder(_Refusal)
_NEWEST = msgspec.json.Decoder(_Newest)


def encode_records(records: list[Record]) -> bytes:
    """Encode keyed records as the store takes them."""
    parts = []
    for record in records:
        key = record.key.encode()
        length = 1 + len(key) + len(record.value)
        parts.append(length.to_bytes(LENGTH_BYTES, "big") + bytes([len(key)]) + key)
        parts.append(record.value)
    return b"".join(parts)


def decode_records(payload: bytes) -> Iterator[Record]:
    """Decode keyed records; raises ``ValueError`` if they are cut short."""
    position = 0
    while position < len(payload):
        start = position + LENGTH_BYTES
        position = start + int.from_bytes(payload[position:start], "big")
        body = payload[start:position]
        if position > len(payload) or not body or len(body) <= body[0]:
            raise ValueError("a record is cut short")
        key_end = 1 + body[0]
        yield Record(body[1:key_end].decode(errors=ANY_BYTES), body[key_end:])


class PlatformStore:
    """Implements the product's store."""

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
        """Append records, all or none."""
        path = f"/api/log-append?topic={TOPICS[topic]}&part={PART}"
        if producer is not None:
            path += f"&producer={producer.name}&epoch={producer.epoch}&seq={producer.sequence}"
        if at is not None:
            path += f"&at={at}"
        answer = await self._call("POST", path, encode_records(records), timeout)
        return answer if isinstance(answer, Unavailable) else _appended(answer)

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        """Return a page of the newest records."""
        path = f"/api/log-newest?topic={TOPICS[topic]}&part={PART}"
        if after:
            path += f"&dependsOn={_quoted(after)}"
        parts = None if progress is None else Parts(timeout, progress.add_received)
        answer = await self._call("GET", path, b"", timeout, parts=parts)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status != OK:
            return Unavailable(f"status {answer.status}")
        try:
            newest = _decode_newest(answer.body)
        except ValueError as error:
            return Unavailable(f"undecodable: {error}")
        items = [PageItem(Record(item.key, _value(item)), item.offset) for item in newest.items]
        return Page(items, newest.more, newest.end)

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        """Return what follows an offset."""
        path = f"/api/log-read?topic={TOPICS[topic]}&part={PART}&from={offset}"
        path += f"&waitMs={int(wait * MS)}"
        parts = None if progress is None else Parts(READ_SLACK, progress.add_received)
        answer = await self._call("GET", path, b"", wait + READ_SLACK, wait, parts)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == GONE:
            return Trimmed()
        if answer.status != OK:
            return Unavailable(f"status {answer.status}")
        try:
            records = list(decode_records(answer.body[2 * OFFSET_BYTES :]))
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
        parts: Parts | None = None,
    ) -> Answer | Unavailable:
        """Call the store, which is asked to hold its answer back for some seconds."""
        try:
            return await self._pool.fetch(
                self._address, path, body, {}, timeout, method=method, waits=waits, parts=parts
            )
        except NotSent as error:
            return Unavailable(str(error), certain=True)
        except CutShort as error:
            return Unavailable(str(error), received=error.received)


def _decode_newest(body: bytes) -> _Newest:
    """Decode a page, also one with keys that are no text; raises ``ValueError``."""
    try:
        return _NEWEST.decode(body)
    except msgspec.DecodeError:
        # The strict decoder takes no such key, and one would hide all others of its page.
        return msgspec.convert(json.loads(body.decode(errors=ANY_BYTES)), _Newest)


def _value(item: _Item) -> bytes:
    """Return an item's value; as it stands if it is not encoded as it has to be."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        return item.value.encode(errors="replace")


def _quoted(key: str) -> str:
    """Return a key as it stands in a query, whatever its bytes are."""
    try:
        return quote(key.encode(errors=ANY_BYTES))
    except UnicodeEncodeError:
        return quote(key.encode(errors="surrogatepass"))


def _appended(answer: Answer) -> AppendResult:
    if answer.status in SERVER_REFUSALS:
        return Unavailable(f"status {answer.status}", certain=True)
    try:
        told = _REFUSAL.decode(answer.body)
    except msgspec.DecodeError as error:
        return Unavailable(f"undecodable: {error}")
    if answer.status == OK:
        return Appended(told.end)
    if answer.status == PRECONDITION:
        return Conflict(told.end)
    if answer.status == CONFLICT and told.reason == "fenced":
        return Fenced(told.epoch)
    if answer.status == CONFLICT and told.reason == "seq":
        return WrongSequence(told.seq)
    return Unavailable(f"status {answer.status}")
