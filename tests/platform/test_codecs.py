"""Encoding and decoding of the platform's formats."""

import contextlib
import json
import random
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from sablemount.jobs.model import Shape, check_spec
from sablemount.jobs.records import Record
from sablemount.platform import settings
from sablemount.platform.directory import PlatformDirectory
from sablemount.platform.front import decode_job
from sablemount.platform.store import decode_records, encode_records
from tests.emulator.job_model import JobModel
from tests.platform.bodies import job_body

KEYS = st.text(alphabet="abc/0-", min_size=1, max_size=40)
RECORDS = st.lists(st.builds(Record, KEYS, st.binary(max_size=50)), max_size=8)


@given(RECORDS)
def test_records_come_back_as_they_went(records: list[Record]) -> None:
    assert list(decode_records(encode_records(records))) == records


@given(st.binary(max_size=60))
def test_any_bytes_decode_or_are_refused(payload: bytes) -> None:
    with contextlib.suppress(ValueError):
        list(decode_records(payload))


@given(
    st.binary(max_size=80)
    | st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(("spec", "steps", "count", "cpu", "dependsOn")), inner
            )
        ),
        max_leaves=8,
    ).map(lambda value: json.dumps(value).encode())
)
def test_any_body_is_a_job_or_refused(body: bytes) -> None:
    with contextlib.suppress(msgspec.DecodeError):
        check_spec(decode_job(body))


def test_a_job_keeps_all_that_it_says() -> None:
    step = {
        "count": 3,
        "cpu": 500,
        "memMb": 256,
        "gpu": 1,
        "estMs": 900,
        "gang": True,
        "sameRack": True,
        "constraints": "b",
        "affinity": "r1-3",
        "antiAffinity": 2,
        "speculative": True,
        "daemon": True,
        "checkpoint": True,
        "image": "img",
        "targetMs": 20,
        "fills": True,
        "mayMiss": 1,
    }
    body = {"spec": "s", "steps": [step], "maxRuns": 4, "startAtMs": 10, "intervalMs": 5}
    job = decode_job(json.dumps(body).encode())
    (decoded,) = job.steps
    assert decoded.shape == Shape(500, 256, 1)
    assert decoded.charge == Shape(0, 256, 1)
    assert (decoded.label, decoded.rack, decoded.spread, decoded.may_miss) == ("b", "r1-3", 2, 1)
    assert (
        decoded.gang
        and decoded.same_rack
        and decoded.speculative
        and decoded.lasting
        and decoded.saves
    )
    assert [job.due_ms(number) for number in job.repetitions()] == [10, 15, 20, 25]


@pytest.mark.parametrize("seed", range(20))
def test_a_job_of_a_soak_is_sent_as_it_was_drawn(seed: int) -> None:
    job = JobModel(random.Random(seed), lambda: 1.8e12).job("job")
    assert decode_job(json.dumps(job_body(job)).encode()) == job


def test_entries_that_do_not_decode_are_passed_over() -> None:
    directory = PlatformDirectory()
    assert directory.vm(Record("i-1", b"{")) is None
    assert directory.vm(Record("i-1", b"{}")) is None
    assert directory.configuration(Record("config", b"[]")) is None
    assert directory.configuration(Record("wave/1", b"{}")) is None


def test_the_number_of_connections_that_a_worker_takes_is_read() -> None:
    """It was read by nothing: each leader allowed itself three eighths of what a worker takes."""
    services = [{"name": "a", "maxConns": 64}, {"name": "b", "maxConns": 16}, {"name": "c"}]
    value = json.dumps({"version": 3, "services": services}).encode()
    configuration = PlatformDirectory().configuration(Record("op/config", value))
    assert configuration is not None
    assert configuration.accepted_connections == {"a": 64, "b": 16}
    assert configuration.pools == {"a", "b", "c"}


def test_a_draining_worker_is_told_so() -> None:
    entry = {
        "service": "s",
        "addr": "1.2.3.4:5",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "draining",
        "capacity": {"cpu": 16000, "memMb": 65536},
        "labels": ["a", "r1"],
        "seq": 1,
    }
    info = PlatformDirectory().vm(Record("i-1", json.dumps(entry).encode()))
    assert info is not None
    assert info.draining
    assert info.rack == "r1"


SETTINGS = {
    "nodeName": "edge-1",
    "ip": "10.1.0.13",
    "listen": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167"},
    "portRange": [7720, 7735],
    "platform": {"addr": "10.200.1.7:8169"},
    "bounds": {
        "holdMaxMs": 10000,
        "status_s": 90,
        "failClosed": True,
        "revokeMs": 2500,
        "quotaOverage": 0.1,
    },
    "contracts": ["base", "tenants", "quota"],
    "unknown": 1,
}


def test_settings_are_read_and_unknown_fields_ignored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "node.json"
    path.write_text(json.dumps(SETTINGS))
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
    loaded = settings.load()
    assert isinstance(loaded, Ok)
    member = settings.member_settings(loaded.ok_value)
    assert member.rpc_address == "10.1.0.13:7720"
    # A lease is never longer than the maximum, nor than the platform grants.
    assert (member.jobs.lease_s, member.jobs.state_retention_s) == (6.0, 90.0)
    assert (member.fail_closed, member.revoke_after) == (True, 2.5)
    assert member.jobs.cap_overage == 0.1
    assert loaded.ok_value.keyed
    short = msgspec.structs.replace(loaded.ok_value, bounds=settings.Bounds(hold_max_ms=4000))
    assert settings.member_settings(short).jobs.lease_s == 4.0
    assert settings.member_settings(short).jobs.max_lease_s == 4.0
    long = msgspec.structs.replace(loaded.ok_value, bounds=settings.Bounds(hold_max_ms=12000))
    jobs = settings.member_settings(long).jobs
    assert (jobs.lease_s, jobs.max_lease_s) == (6.0, 12.0)


def test_the_size_limits_of_the_store_are_read() -> None:
    store = {"addr": "10.200.1.7:8169", "record_bytes": 1_000, "call_bytes": 9_000}
    text = json.dumps(SETTINGS | {"platform": store})
    boot = msgspec.json.decode(text, type=settings.BootSettings)
    jobs = settings.member_settings(boot).jobs
    assert (jobs.record_bytes, jobs.call_bytes) == (1_000, 9_000)
    usual = msgspec.json.decode(json.dumps(SETTINGS), type=settings.BootSettings)
    jobs = settings.member_settings(usual).jobs
    assert (jobs.record_bytes, jobs.call_bytes) == (262_144, 2_097_152)


@pytest.mark.parametrize("text", ["", "{", "[]", '{"nodeName": 3}'])
def test_bad_settings_are_refused_with_a_reason(
    text: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "node.json"
    path.write_text(text)
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
    loaded = settings.load()
    assert isinstance(loaded, Err)
    assert loaded.err_value.reason
