"""Organisations, their keys and caps in the platform's configuration and over real sockets."""

import asyncio
import json
import logging
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado import httputil

from sablemount.control import rpc
from sablemount.control.gate import key_digest
from sablemount.jobs.model import RequestLimits, Shape
from sablemount.jobs.records import Record
from sablemount.platform.directory import PlatformDirectory
from sablemount.platform.front import decode_job, request_key_digest
from sablemount.structured_logs import StructuredFormatter
from tests.platform.standin import PREFIX
from tests.platform.test_whole_path import ProcessPair, run_scenario

KEYS = {"kaje80": "gkcuyj8pjbvk9m68k7b2", "huvo11": "ex5wa5xwyhks8nbkxxmi"}
SPARE_KEY = "q0j2w8kd81mvu3xs7fze"
TENANTS: list[dict[str, Any]] = [
    {
        "name": "kaje80",
        "apiKeys": [KEYS["kaje80"], SPARE_KEY],
        "priority": 1,
        "weight": 28,
        "cap": {"cpu": 2_000, "memMb": 80_947, "gpu": 0},
    },
    {"name": "huvo11", "apiKeys": [KEYS["huvo11"]], "weight": 1.5},
]
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 262_144,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
JOB = {"spec": "payload", "steps": [{"count": 2, "cpu": 500}]}


def _record(**fields: object) -> Record:
    return Record("config", json.dumps({"version": 4, **fields}).encode())


# -- The configuration -----------------------------------------------------------------------


def test_organisations_are_decoded_whole() -> None:
    configuration = PlatformDirectory().configuration(_record(tenants=TENANTS, limits=LIMITS))
    assert configuration is not None
    assert configuration.keyed
    first, second = configuration.organisations
    assert (first.name, first.weight, first.cap) == ("kaje80", 28, Shape(2_000, 80_947, 0))
    assert first.key_digests == (
        key_digest(KEYS["kaje80"].encode()),
        key_digest(SPARE_KEY.encode()),
    )
    assert second.cap == Shape()
    assert configuration.limits == RequestLimits(16_384, 262_144, 3.0, 15.0)


def test_a_public_route_is_told_apart() -> None:
    route = {"name": "r", "host": "h", "pathPrefix": "/p/", "service": "s"}
    record = _record(routes=[route, route | {"public": True}])
    configuration = PlatformDirectory().configuration(record)
    assert configuration is not None
    assert [queue.public for queue in configuration.queues] == [False, True]


def test_without_organisations_no_key_is_asked_for_unless_the_settings_say_so() -> None:
    for record in (_record(), _record(tenants=[])):
        open_to_all = PlatformDirectory().configuration(record)
        keyed = PlatformDirectory(keyed=True).configuration(record)
        assert open_to_all is not None
        assert keyed is not None
        assert (open_to_all.keyed, keyed.keyed) == (False, True)


@pytest.mark.parametrize(
    "tenants",
    [
        [{"name": "a", "cap": {"cpu": -1}}],
        [{"name": "a", "cap": {"memMb": -5}}],
        [{"name": "a", "weight": -2}],
        [{"name": ""}],
        [{"name": "a"}, {"name": "a"}],
        [{"name": "a", "apiKeys": [3]}],
        [{"name": "a", "cap": {"cpu": 1e400}}],
        "a",
    ],
)
def test_an_invalid_configuration_is_refused_as_a_whole(
    tenants: object, caplog: pytest.LogCaptureFixture
) -> None:
    logging.getLogger("sablemount").propagate = True
    assert PlatformDirectory().configuration(_record(tenants=tenants)) is None
    assert caplog.records


def test_an_undecodable_configuration_shows_no_key_in_its_log_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    logging.getLogger("sablemount").propagate = True
    broken = [{"name": "a", "apiKeys": [SPARE_KEY], "cap": SPARE_KEY}]
    assert PlatformDirectory().configuration(_record(tenants=broken)) is None
    formatter = StructuredFormatter()
    assert all(SPARE_KEY not in formatter.format(record) for record in caplog.records)


# -- The header with the key -----------------------------------------------------------------


def _headers(*lines: str) -> httputil.HTTPHeaders:
    """Return headers as the server passes them on, without blanks at the ends of a line."""
    headers = httputil.HTTPHeaders()
    for line in lines:
        headers.add("Authorization", line.strip(" \t"))
    return headers


@pytest.mark.parametrize("line", ["Bearer abc", "bearer abc", "BEARER  abc", " Bearer abc "])
def test_a_key_is_read(line: str) -> None:
    assert request_key_digest(_headers(line)) == key_digest(b"abc")


@pytest.mark.parametrize(
    "lines",
    [
        (),
        ("",),
        ("Bearer",),
        ("Bearer ",),
        ("Basic abc",),
        ("abc",),
        ("Bearer a b",),
        ("Bearer \xe4bc",),
        ("Bearer abc", "Bearer abc"),
        ("Bearer abc", "Basic abc"),
    ],
)
def test_what_is_no_key_is_none(lines: tuple[str, ...]) -> None:
    assert request_key_digest(_headers(*lines)) is None


@given(
    st.text(
        st.characters(min_codepoint=32, max_codepoint=255, exclude_characters="\x7f"), max_size=200
    )
)
def test_any_line_is_a_key_or_none(line: str) -> None:
    digest = request_key_digest(_headers("Bearer " + line.replace(",", "")))
    assert digest is None or len(digest) == 32


def test_a_long_key_is_no_key_that_is_known() -> None:
    assert request_key_digest(_headers("Bearer " + "k" * 65_536)) == key_digest(b"k" * 65_536)


# -- Over real sockets -----------------------------------------------------------------------


def _configure_tenants(
    pair: ProcessPair, version: int = 9, tenants: list[dict[str, Any]] = TENANTS
) -> None:
    pair.standin.configure(version, tenants)


async def _submit(pair: ProcessPair, number: int, job: str, organisation: str) -> int:
    pair.standin.cell.jobs[job] = decode_job(json.dumps(JOB).encode())
    key = KEYS.get(organisation, organisation)
    return (await pair.call(number, "POST", PREFIX + job, JOB, key)).code


def test_only_those_with_a_key_are_served() -> None:
    async def scenario(pair: ProcessPair) -> None:
        _configure_tenants(pair)

        async def keys_required() -> bool:
            return [(await pair.call(n, "GET", PREFIX)).code for n in (0, 1)] == [401, 401]

        await pair.until(keys_required)
        job = "5c0e7a21d94b36f8"
        assert await _submit(pair, 0, job, "") == 401
        assert await _submit(pair, 1, job, "nobodys") == 401
        assert await _submit(pair, 0, job, "kaje80") == 200
        refused = await pair.call(1, "GET", PREFIX + job)
        assert refused.headers["WWW-Authenticate"] == "Bearer"
        states = [
            (await pair.call(number, "GET", PREFIX + job, key=KEYS[name])).code
            for number in (0, 1)
            for name in ("kaje80", "huvo11")
        ]
        assert states == [200, 410, 200, 410]
        assert await _submit(pair, 1, job, "huvo11") == 409
        assert (await pair.call(1, "DELETE", PREFIX + job, key=KEYS["huvo11"])).code == 410
        assert (await pair.call(0, "DELETE", PREFIX + job, key=SPARE_KEY)).code == 200

    run_scenario(scenario)


def test_no_key_is_written_anywhere(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    frames: list[bytes] = []

    class Recording:
        """Encodes frames as usual and records those that pass between the processes."""

        def encode(self, frame: object) -> bytes:
            frames.append(msgspec.msgpack.encode(frame))
            return frames[-1]

    monkeypatch.setattr(rpc, "_ENCODER", Recording())
    logging.getLogger("sablemount").propagate = True
    caplog.set_level(logging.DEBUG, "sablemount")
    bodies: list[bytes] = []

    async def scenario(pair: ProcessPair) -> None:
        _configure_tenants(pair)

        async def keys_required() -> bool:
            return [(await pair.call(n, "GET", PREFIX)).code for n in (0, 1)] == [401, 401]

        await pair.until(keys_required)
        for number in (0, 1):
            for name in (*KEYS, SPARE_KEY, "nobodys-key"):
                await _submit(pair, number, f"{number:08x}{len(bodies):08x}", name)
                response = await pair.call(number, "GET", PREFIX, key=KEYS.get(name, name))
                bodies.append(response.body + str(response.headers).encode())
        _configure_tenants(pair, 10, TENANTS[:1])
        _configure_tenants(pair, 11, [{"name": "kaje80", "apiKeys": [SPARE_KEY], "cap": SPARE_KEY}])
        await asyncio.sleep(0.5)
        bodies.append("".join([await pair.metrics(number) for number in (0, 1)]).encode())
        own_topics = [
            topic for topic in pair.standin.store.topics if topic.value in ("jobs", "leader")
        ]
        for topic in own_topics:
            for record in pair.standin.store.topics[topic].records:
                bodies.append(record.key.encode() + record.value)

    run_scenario(scenario)
    formatter = StructuredFormatter()
    written = [formatter.format(record).encode() for record in caplog.records]
    assert frames and written and bodies
    for key in (*KEYS.values(), SPARE_KEY, "nobodys-key"):
        assert not any(key.encode() in text for text in frames + written + bodies)


def test_what_a_cap_can_never_hold_is_refused_with_its_field() -> None:
    async def scenario(pair: ProcessPair) -> None:
        _configure_tenants(pair)

        async def refused() -> bool:
            job = {"spec": "x", "steps": [{"count": 1, "cpu": 9_000}]}
            response = await pair.call(0, "POST", PREFIX + "00000000000000ad", job, KEYS["kaje80"])
            return response.code == 400 and json.loads(response.body)["path"] == "$.steps[0].cpu"

        await pair.until(refused)

    run_scenario(scenario)
