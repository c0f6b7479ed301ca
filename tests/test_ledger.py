"""Tests of the ledger: compare-and-set, repeated and delayed batches, shares and snapshots."""

import random
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from sablemount.core import records
from sablemount.core.documents import OrganisationDocument, Quota
from sablemount.core.image import SnapshotAssembler, pack_image, split_image, unpack_image
from sablemount.core.ledger import KEY_CLOCK_SKEW_S, KEY_RETENTION_S, Ledger
from sablemount.core.ledger_image import image_of, ledger_of
from sablemount.core.records import Batch, Body, Record, Writer, decode_batch, encode_batch
from sablemount.core.rows import LogEntry
from sablemount.core.shares import QuotaShares
from sablemount.core.verdict import Verdict
from tests.documents import PLAN

A = Writer("a", 1)
B = Writer("b", 1)
SHARDS = 3


class Author:
    """Makes batches of one writer and applies them to a ledger."""

    def __init__(self, ledger: Ledger, writer: Writer) -> None:
        self.ledger = ledger
        self.writer = writer
        self.sequence = 0
        self.join = records.Join("hall")

    def payload(self, *bodies: Body) -> bytes:
        self.sequence += 1
        batch_records = tuple(Record(index, body) for index, body in enumerate(bodies))
        return encode_batch(Batch(self.writer, self.sequence, self.ledger.offset, batch_records))

    def write(self, *bodies: Body, time: float = 0.0) -> list[str]:
        return apply(self.ledger, self.payload(*bodies), time)


def apply(ledger: Ledger, payload: bytes, time: float = 0.0) -> list[str]:
    """Apply a payload as the next entry, and return the error of each record."""
    entry = LogEntry(ledger.offset + 1, time, payload)
    return [applied.error for applied in ledger.apply(entry)]


def joined() -> tuple[Ledger, Author, Author]:
    """Return a ledger with the members a and b, and an author for each."""
    ledger = Ledger(SHARDS)
    authors = Author(ledger, A), Author(ledger, B)
    for author in authors:
        author.write(author.join)
    return ledger, *authors


def test_of_two_racing_operators_the_second_is_refused() -> None:
    ledger, a, b = joined()
    assert a.write(records.Publish("rueda/plan", 0, PLAN, "ana")) == [""]
    assert b.write(records.Publish("rueda/plan", 0, PLAN, "luis")) == [
        "expected revision 0, current revision 1"
    ]
    assert ledger.documents["rueda/plan"].author == "ana"


def test_a_batch_that_lands_twice_or_late_counts_once() -> None:
    ledger, a, _ = joined()
    lost = a.payload(records.SpendKey("k1", 0))
    later = a.payload(records.SpendKey("k2", 0))
    assert apply(ledger, later) == [""]
    assert apply(ledger, lost) == []
    assert apply(ledger, later) == []
    assert set(ledger.spent_keys) == {"k2"}


def test_a_late_batch_of_a_former_incarnation_holds_up_nothing() -> None:
    ledger, a, _ = joined()
    for key in range(9):
        a.write(records.SpendKey(f"old-{key}", 0))
    late = a.payload(records.Leave())
    next_incarnation = Author(ledger, Writer("a", 2))
    next_incarnation.write(next_incarnation.join)
    assert apply(ledger, late) == ["the writer is not a member"]
    assert next_incarnation.write(records.SpendKey("new", 0)) == [""]


def test_a_member_that_was_put_out_counts_no_more() -> None:
    ledger, a, b = joined()
    late_join = Author(ledger, B)
    assert a.write(records.Evict(B)) == [""]
    assert b.write(records.Claim(0, 0)) == ["the writer is not a member"]
    assert apply(ledger, late_join.payload(late_join.join)) == [
        "this or a later incarnation has joined before"
    ]


def test_only_the_current_epoch_may_act() -> None:
    ledger, a, b = joined()
    a.write(records.Publish("rueda/plan", 0, PLAN, "ana"))
    a.write(records.Claim(0, 0), records.Accept("j", "rueda/plan", 0, 1, 1, 0, {}))
    b.write(records.Claim(0, 1))
    (error,) = a.write(records.Finish("j", 1, Verdict.DONE, ""))
    assert "owned by b#1" in error
    assert b.write(records.Finish("j", 2, Verdict.DONE, "")) == [""]


def test_a_key_is_refused_past_the_horizon_and_never_forgotten_before() -> None:
    ledger, a, _ = joined()
    assert a.write(records.SpendKey("k", 1000), time=1000.0) == [""]
    oldest_valid = 1000.0 + KEY_RETENTION_S
    assert a.write(records.SpendKey("k", 1000), time=oldest_valid) == ["the key is spent"]
    too_late = oldest_valid + 2 * KEY_CLOCK_SKEW_S + 1
    a.write(records.Seen(), time=too_late)
    (error,) = a.write(records.SpendKey("k", 1000), time=too_late)
    assert error == "the key is older than the horizon"
    assert "k" not in ledger.spent_keys


BODIES: Sequence[Body] = (
    records.Claim(0, 0),
    records.Claim(0, 1),
    records.Claim(1, 0),
    records.Release(0, 1, B),
    records.Publish("rueda/plan", 0, PLAN, "ana"),
    records.Publish("q", 0, OrganisationDocument("q", quota=Quota(cores=10)), "ana"),
    records.Accept("j", "rueda/plan", 0, 3, 3, 0, {"shift": "late"}),
    records.Cancel("j.1"),
    records.Intent("j.0", 1),
    records.Finish("j.2", 1, Verdict.DONE, ""),
    records.Move("j.0", 1, 2),
    records.QuotaMove("q", 0, 1, 2, 3, 0),
    records.SpendKey("k", 0),
    records.Drain("vm", True),
    records.Seen(),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.tuples(st.booleans(), st.sampled_from(BODIES)), max_size=25), st.integers(0, 25))
def test_a_snapshot_and_its_tail_give_the_same_ledger(
    script: list[tuple[bool, Body]], cut: int
) -> None:
    ledger, a, b = joined()
    copy: Ledger | None = None
    for index, (first, body) in enumerate(script):
        if index == cut:
            copy = ledger_of(unpack_image(pack_image(image_of(ledger))))
        author = a if first else b
        payload = author.payload(body)
        entry = LogEntry(ledger.offset + 1, float(index), payload)
        errors = [applied.error for applied in ledger.apply(entry)]
        if copy is not None:
            assert [applied.error for applied in copy.apply(entry)] == errors
    if copy is not None:
        assert image_of(copy) == image_of(ledger)


def test_a_snapshot_counts_only_when_all_parts_are_there() -> None:
    ledger, a, _ = joined()
    for key in range(30_000):
        ledger.spent_keys[random.Random(key).randbytes(16).hex()] = 1.0
    parts = split_image(image_of(ledger))
    assert len(parts) > 1
    assembler = SnapshotAssembler()
    random.Random(1).shuffle(parts)
    assert [assembler.add(A, part) for part in parts[:-1]] == [None] * (len(parts) - 1)
    assert assembler.add(A, parts[-1]) == image_of(ledger)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.integers(0, 200),
            st.tuples(st.integers(0, 4), st.integers(0, 4), st.integers(-3, 60)),
        ),
        max_size=30,
    )
)
def test_shares_never_add_up_to_more_than_the_quota(
    script: list[int | tuple[int, int, int]],
) -> None:
    shares = QuotaShares(5)
    limit = 50
    shares.revise("q", Quota(cores=limit))
    for step in script:
        before = [shares.cores("q", shard) or 0 for shard in range(5)]
        if isinstance(step, int):
            after_is_lower = step < sum(before)
            limit = step
            shares.revise("q", Quota(cores=limit))
            after = [shares.cores("q", shard) or 0 for shard in range(5)]
            assert not after_is_lower or all(x <= y for x, y in zip(after, before, strict=True))
        else:
            shares.move("q", step[0], step[1], step[2], 0)
        held = [shares.cores("q", shard) or 0 for shard in range(5)]
        assert min(held) >= 0
        assert sum(held) <= limit


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_bytes_that_are_no_batch_are_passed_over(payload: bytes) -> None:
    ledger, _, _ = joined()
    batch = decode_batch(payload)
    before = ledger.offset
    applied = ledger.apply(LogEntry(before + 1, 0.0, payload))
    assert ledger.offset == before + 1
    assert batch is not None or applied == []
