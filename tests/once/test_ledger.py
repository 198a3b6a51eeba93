"""Tests of ledger decisions and of the ledger store under failures."""

from __future__ import annotations

import math

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from gypsumsail.core.errors import RunState
from gypsumsail.once.const import (
    RECORDS_PER_SEGMENT,
    RETENTION_SECONDS,
    SEAL_AGE_SECONDS,
)
from gypsumsail.once.errors import LedgerCorruptError, LedgerUnavailableError
from gypsumsail.once.ledger import SubmitResult, SubmitResultKind
from gypsumsail.once.records import (
    Abandoned,
    Ended,
    Head,
    LedgerRecord,
    Reserved,
    SegmentReference,
    decode_head,
    encode_head,
    head_object_key,
)
from gypsumsail.once.store import LedgerStore
from tests.common import ManualClock

from .common import FakeObjectApi

PARTITION = 3
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.binary()
MALFORMED = st.recursive(SCALARS, st.lists, max_leaves=20)


def reserved(key: int, attempt: int, body: int = 0) -> Reserved:
    return Reserved(key=_name(key), attempt=_name(attempt), body=_name(body))


def ended(key: int, attempt: int) -> Ended:
    return Ended(
        key=_name(key), attempt=_name(attempt), run_state=RunState.RAN, status=200
    )


def abandoned(key: int, attempt: int) -> Abandoned:
    return Abandoned(key=_name(key), attempt=_name(attempt))


def _name(number: int) -> bytes:
    return number.to_bytes(4)


class ReferenceLedger:
    """Reference model: a dictionary without failures or expiry."""

    def __init__(self) -> None:
        self.last: dict[bytes, tuple[bytes, bytes, str]] = {}
        self.abandoned_attempts: set[bytes] = set()

    def submit(self, record: LedgerRecord) -> SubmitResultKind:
        attempt, body, state = self.last.get(record.key, (b"", b"", "free"))
        if isinstance(record, Reserved):
            return self._reserve(record, attempt, body, state)
        if isinstance(record, Abandoned):
            self.abandoned_attempts.add(record.attempt)
            if attempt == record.attempt and state == "reserved":
                self.last[record.key] = (attempt, body, "free")
        elif attempt == record.attempt and state == "reserved":
            self.last[record.key] = (attempt, body, "ended")
        return SubmitResultKind.RECORDED

    def _reserve(
        self, record: Reserved, attempt: bytes, body: bytes, state: str
    ) -> SubmitResultKind:
        if record.attempt in self.abandoned_attempts:
            return SubmitResultKind.ABANDONED
        if state == "free":
            self.last[record.key] = (record.attempt, record.body, "reserved")
            return SubmitResultKind.GRANTED
        if attempt == record.attempt:
            return SubmitResultKind.GRANTED
        if body != record.body:
            return SubmitResultKind.OTHER_BODY
        return (
            SubmitResultKind.RUNNING
            if state == "reserved"
            else SubmitResultKind.FINISHED
        )


RECORDS = st.builds(
    lambda make, key, attempt: make(key, key * 10 + attempt),
    st.sampled_from([reserved, reserved, ended, abandoned]),
    st.integers(0, 2),
    st.integers(0, 3),
) | st.builds(reserved, st.integers(0, 2), st.integers(100, 103), st.integers(0, 1))
STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.lists(
            RECORDS, min_size=1, max_size=4, unique_by=lambda record: record.attempt
        ),
        st.sampled_from(["", "", "lose", "age"]),
    ),
    max_size=25,
)


@given(STEPS)
@settings(derandomize=True, deadline=None, max_examples=200)
async def test_three_writers_match_the_reference_ledger(
    steps: list[tuple[int, list[LedgerRecord], str]],
) -> None:
    api, clock = FakeObjectApi(), ManualClock()
    writers = [LedgerStore(api, clock, PARTITION) for _ in range(3)]
    reference = ReferenceLedger()
    for number, records, fault in steps:
        api.lost_answers = 1 if fault == "lose" else 0
        clock.now += SEAL_AGE_SECONDS if fault == "age" else 1.0
        results = await writers[number].async_commit(records)
        expected = [reference.submit(record) for record in records]
        assert [result.kind for result in results] == expected


async def async_submit_one(
    store: LedgerStore, record: LedgerRecord
) -> SubmitResultKind:
    (result,) = await store.async_commit([record])
    return result.kind


async def test_attempt_abandoned_before_its_write_is_never_granted() -> None:
    api, clock = FakeObjectApi(), ManualClock()
    holder = LedgerStore(api, clock, PARTITION)
    owner = LedgerStore(api, clock, PARTITION)
    await async_submit_one(owner, reserved(0, 0))
    await async_submit_one(holder, abandoned(1, 11))
    assert await async_submit_one(owner, reserved(1, 11)) is SubmitResultKind.ABANDONED
    assert await async_submit_one(owner, reserved(1, 12)) is SubmitResultKind.GRANTED


async def test_sealed_records_still_refuse_a_second_run() -> None:
    api, clock = FakeObjectApi(), ManualClock()
    store = LedgerStore(api, clock, PARTITION)
    for number in range(3):
        first = number * RECORDS_PER_SEGMENT
        batch = [reserved(first + n, first + n) for n in range(RECORDS_PER_SEGMENT)]
        await store.async_commit(batch)
    newcomer = LedgerStore(api, clock, PARTITION)
    assert (
        await async_submit_one(newcomer, reserved(1, 9_999, 0))
        is SubmitResultKind.RUNNING
    )
    assert len(api.objects) == 3


async def test_crash_while_sealing_leaves_a_consistent_ledger() -> None:
    api, clock = FakeObjectApi(), ManualClock()
    dying = LedgerStore(api, clock, PARTITION)
    survivor = LedgerStore(api, clock, PARTITION)
    batch = [reserved(n, n) for n in range(RECORDS_PER_SEGMENT)]
    await dying.async_commit(batch[:-1])
    await survivor.async_commit(batch[-1:])
    orphan = f"once/{PARTITION:03d}/segment/{1:012d}"
    await api.async_put(orphan, b"never referred to", if_version=0)
    assert (
        await async_submit_one(survivor, reserved(900, 900)) is SubmitResultKind.GRANTED
    )
    newcomer = LedgerStore(api, clock, PARTITION)
    assert (
        await async_submit_one(newcomer, reserved(5, 901)) is SubmitResultKind.RUNNING
    )
    await newcomer.async_clean_up()
    assert orphan not in api.objects


async def test_records_are_dropped_only_after_the_retention() -> None:
    api, clock = FakeObjectApi(), ManualClock()
    store = LedgerStore(api, clock, PARTITION)
    await async_submit_one(store, reserved(1, 1))
    clock.now += SEAL_AGE_SECONDS
    await store.async_clean_up()
    clock.now += RETENTION_SECONDS - 1.0
    await store.async_clean_up()
    assert await async_submit_one(store, reserved(1, 2)) is SubmitResultKind.RUNNING
    clock.now += 1.0
    await store.async_clean_up()
    assert await async_submit_one(store, reserved(1, 3)) is SubmitResultKind.GRANTED
    assert list(api.objects) == [head_object_key(PARTITION)]


async def test_duplicates_between_clean_ups_do_not_stop_ledger_time() -> None:
    api, clock = FakeObjectApi(), ManualClock()
    store = LedgerStore(api, clock, PARTITION)
    await async_submit_one(store, reserved(1, 1))
    clock.now += SEAL_AGE_SECONDS
    await store.async_clean_up()
    for attempt in range(2, 26):
        clock.now += RETENTION_SECONDS / 24
        assert (
            await async_submit_one(store, reserved(1, attempt))
            is SubmitResultKind.RUNNING
        )
    await store.async_clean_up()
    assert await async_submit_one(store, reserved(1, 99)) is SubmitResultKind.GRANTED


async def test_ledger_time_never_runs_ahead_with_two_writers() -> None:
    api, clock = FakeObjectApi(), ManualClock()
    writers = [LedgerStore(api, clock, PARTITION) for _ in range(2)]
    await async_submit_one(writers[0], reserved(0, 0))
    start = clock.now
    for number in range(1, 20):
        clock.now += 100.0
        await async_submit_one(writers[number % 2], reserved(number, number))
    value = api.objects[head_object_key(PARTITION)].value
    assert value is not None
    assert decode_head(value).ledger_time <= clock.now - start


async def test_missing_segment_or_head_is_reported_as_corrupt() -> None:
    api, clock = FakeObjectApi(), ManualClock()
    store = LedgerStore(api, clock, PARTITION)
    await async_submit_one(store, reserved(1, 1))
    clock.now += SEAL_AGE_SECONDS
    await async_submit_one(store, reserved(2, 2))
    head = api.objects.pop(head_object_key(PARTITION))
    with pytest.raises(LedgerCorruptError):
        await async_submit_one(LedgerStore(api, clock, PARTITION), reserved(1, 3))
    api.objects = {head.key: head}
    with pytest.raises(LedgerCorruptError):
        await async_submit_one(LedgerStore(api, clock, PARTITION), reserved(1, 3))


async def test_ledger_deleted_while_in_use_is_not_recreated() -> None:
    api, clock = FakeObjectApi(), ManualClock()
    store = LedgerStore(api, clock, PARTITION)
    await async_submit_one(store, reserved(1, 1))
    api.objects.clear()
    with pytest.raises(LedgerUnavailableError):
        await async_submit_one(store, reserved(1, 2))


@given(st.binary(max_size=200) | MALFORMED.map(cbor2.dumps))
@settings(derandomize=True, deadline=None, max_examples=500)
def test_malformed_values_are_rejected(value: bytes) -> None:
    with pytest.raises(LedgerCorruptError):
        decode_head(value)


@pytest.mark.parametrize(
    "value",
    [
        [1, math.inf, 0, [], []],
        [1, 0, 0, [[math.inf, 0]], []],
        [1, 0, 0, [], [[1, b"k", b"a", -1, 200]]],
        [1, 0, 0, [], [[0, "k", b"a", b"b"]]],
        [2, 0, 0, [], []],
    ],
)
def test_head_with_one_invalid_field_is_rejected(value: list[object]) -> None:
    with pytest.raises(LedgerCorruptError):
        decode_head(cbor2.dumps(value))


def test_head_round_trips_through_its_encoding() -> None:
    head = Head(
        ledger_time=12.5,
        opened_at=1.0,
        sealed=(SegmentReference(head_version=7, sealed_at=3.5),),
        records=(reserved(1, 2), ended(1, 2), abandoned(3, 4)),
    )
    assert decode_head(encode_head(head)) == head
    assert SubmitResult(kind=SubmitResultKind.GRANTED).run_state is RunState.NOT_RUN
