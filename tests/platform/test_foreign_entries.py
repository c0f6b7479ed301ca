"""Invalid entries, written by others to the workers' topic, add no VM and hide no valid one.

Entries with an unknown state or negative capacity were once accepted as VMs, and a single key that
is not valid UTF-8 made its whole page of the list undecodable, so that a leader knew no VMs at all.
"""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest

from sablemount.adapters.upstream import Response, UpstreamPool
from sablemount.control.store import Page, Records, Topic
from sablemount.jobs.model import Configuration, VmInfo
from sablemount.jobs.records import Record
from sablemount.platform.directory import PlatformDirectory
from sablemount.platform.store import PlatformStore
from tests.jobs.rig import CAPACITY, Rig

ENTRY = {
    "service": "desk",
    "addr": "10.1.64.10:8709",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0},
    "labels": ["a", "r1"],
    "clockMs": 482113,
    "seq": 4,
}
REQUIRED_FIELDS = ("service", "addr", "zone", "version", "slots", "state", "capacity", "seq")


def _vm(entry: object, key: str = "i-1") -> VmInfo | None:
    value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    return PlatformDirectory().vm(Record(key, value))


def test_a_vms_own_entry_is_read() -> None:
    info = _vm(ENTRY)
    assert info is not None
    assert (info.name, info.pool, info.capacity.cores) == ("i-1", "desk", 16_000)
    assert _vm({**ENTRY, "state": "draining", "remainingMs": 2000, "machine": "m-1"}) is not None
    without_defaults = {name: ENTRY[name] for name in REQUIRED_FIELDS}
    assert _vm(without_defaults) is not None


@pytest.mark.parametrize("name", REQUIRED_FIELDS)
def test_an_entry_without_a_field_names_no_vm(name: str) -> None:
    assert _vm({key: value for key, value in ENTRY.items() if key != name}) is None


@pytest.mark.parametrize("name", sorted(ENTRY))
@pytest.mark.parametrize("value", [None, [1], {"x": 1}, True], ids=repr)
def test_an_entry_with_a_field_of_another_type_names_no_vm(name: str, value: object) -> None:
    assert name == "clockMs" or _vm({**ENTRY, name: value}) is None


@pytest.mark.parametrize(
    "change",
    [
        {"state": "borrowed"},
        {"state": ""},
        {"service": ""},
        {"capacity": {"cpu": -16000, "memMb": 65536}},
        {"capacity": {"cpu": 16000, "memMb": -1}},
        {"capacity": {"cpu": 16000, "memMb": 65536, "gpu": -8}},
        {"capacity": {"cpu": 16000}},
        {"capacity": {"cpu": "16000", "memMb": 65536}},
        {"addr": ""},
        {"addr": "10.1.64.10"},
        {"addr": "10.1.64.10:"},
        {"addr": "10.1.64.10:0"},
        {"addr": "10.1.64.10:99999"},
        {"addr": "10.1.64.10:8a"},
        {"addr": "10.1.64:8709"},
        {"addr": "somewhere:8709"},
        {"slots": -1},
        {"seq": -1},
        {"coldLeftMs": -1},
        {"remainingMs": -5.0},
        {"labels": [1]},
        {"labels": "a"},
        {"machine": 7},
    ],
    ids=str,
)
def test_an_entry_with_an_invalid_value_names_no_vm(change: dict[str, object]) -> None:
    assert _vm({**ENTRY, **change}) is None


@pytest.mark.parametrize(
    "value",
    [b"\xff\xfe", b"{", b"[" * 5_000, b'{"x":' * 5_000, b"null", b"7", b'"ready"', b"\x00" * 9],
    ids=lambda value: repr(value[:8]),
)
def test_bytes_that_cannot_be_read_name_no_vm(value: bytes) -> None:
    assert _vm(value) is None


@pytest.mark.parametrize("key", ["", "a b", "a\n", "\udcff\udcfe", "é", "x" * 300, "a/b"])
def test_a_key_that_is_no_id_names_no_vm(key: str) -> None:
    assert _vm(ENTRY, key) is None


def test_what_is_wrong_with_an_entry_is_told_once(caplog: pytest.LogCaptureFixture) -> None:
    directory = PlatformDirectory()
    wrong = json.dumps({**ENTRY, "state": "borrowed"}).encode()
    with caplog.at_level("WARNING", "sablemount"):
        for _ in range(5):
            directory.vm(Record("\udcff", wrong))
            directory.vm(Record("i-2", wrong))
    assert len(caplog.records) == 2
    for line in caplog.records:
        json.dumps(line.__dict__, default=str).encode()


class _FixedResponsePool(UpstreamPool):
    """Answers all requests with one body and records their paths."""

    def __init__(self, body: bytes) -> None:
        super().__init__(1, 1.0)
        self.body = body
        self.paths: list[str] = []

    async def fetch(self, address: str, path: str, *others: Any, **named: Any) -> Response:
        self.paths.append(path)
        return Response(200, {}, self.body)  # type: ignore[arg-type]


def _item(key: bytes, value: str = "eA==") -> bytes:
    return b'{"key":"' + key + b'","value":"' + value.encode() + b'","offset":1}'


def _page(*items: bytes) -> bytes:
    return b'{"items":[' + b",".join(items) + b'],"more":true,"end":9}'


@pytest.mark.parametrize("key", [b"\xff\xfe", b"\\ud800", b"a b&c=d%41", b""])
def test_a_key_that_cannot_be_read_hides_no_other(key: bytes) -> None:
    async def scenario() -> None:
        pool = _FixedResponsePool(_page(_item(b"i-1"), _item(key), _item(b"i-3")))
        page = await PlatformStore("x", pool).newest(Topic.VMS, "", 1.0)
        assert isinstance(page, Page)
        assert [row.record.key for row in page.items if row.record.key[:2] == "i-"] == [
            "i-1",
            "i-3",
        ]

    asyncio.run(scenario())


def test_a_value_that_is_no_base64_hides_no_other() -> None:
    async def scenario() -> None:
        pool = _FixedResponsePool(_page(_item(b"i-1", "*"), _item(b"i-2")))
        page = await PlatformStore("x", pool).newest(Topic.VMS, "", 1.0)
        assert isinstance(page, Page)
        assert page.items[-1].record == Record("i-2", b"x")
        assert _vm(page.items[0].record.value) is None

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("after", "query"),
    [("i-1", "i-1"), ("a b&c", "a%20b%26c"), ("\udcff", "%FF"), ("x/é", "x/%C3%A9")],
)
def test_a_page_goes_on_after_any_key(after: str, query: str) -> None:
    async def scenario() -> None:
        pool = _FixedResponsePool(_page())
        await PlatformStore("x", pool).newest(Topic.VMS, after, 1.0)
        assert pool.paths[0].endswith(f"&dependsOn={query}")

    asyncio.run(scenario())


def test_a_record_whose_key_cannot_be_read_hides_no_other() -> None:
    async def scenario() -> None:
        body = b"\x00" * 16
        for key in (b"i-1", b"\xff\xfe", b"i-3"):
            body += (2 + len(key)).to_bytes(4, "big") + bytes([len(key)]) + key + b"v"
        result = await PlatformStore("x", _FixedResponsePool(body)).read(Topic.VMS, 5, 0.0)
        assert isinstance(result, Records)
        assert [record.key for record in result.records] == ["i-1", "\udcff\udcfe", "i-3"]
        assert result.end == 8

    asyncio.run(scenario())


def _vm_info(name: str, pool: str) -> VmInfo:
    return VmInfo(name, f"a-{name}", pool, CAPACITY)


@pytest.mark.parametrize(
    "report",
    [
        lambda rig, info: rig.scheduler.update_vm(info),
        lambda rig, info: rig.scheduler.update_vm_list([info]),
    ],
    ids=["told", "listed"],
)
def test_a_vm_of_a_service_that_is_not_named_is_used_once_it_is(
    report: Callable[[Rig, VmInfo], object],
) -> None:
    rig = Rig(vms=0)
    rig.scheduler.apply_configuration(Configuration(2, pools=frozenset({"pool"})))
    report(rig, _vm_info("x", "other"))
    assert "x" not in rig.scheduler.state.vms
    rig.commit()
    assert "w/x" not in rig.store
    rig.scheduler.apply_configuration(Configuration(3, pools=frozenset({"pool", "other"})))
    assert "x" in rig.scheduler.state.vms


def test_the_service_that_an_entry_names_is_read_from_the_configuration() -> None:
    entry = {"version": 1, "services": [{"name": "desk"}, {"name": "forge"}]}
    configuration = PlatformDirectory().configuration(Record("config", json.dumps(entry).encode()))
    assert configuration is not None
    assert configuration.pools == {"desk", "forge"}
