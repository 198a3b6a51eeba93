"""Ledger records, head and segments, and their encoding.

In a record ``key`` and ``body`` are digests: of the idempotency key with its customer
and service, and of the method, path, query and body of the request
(``AtMostOnceRequest.body_digest``). Object keys are named as such.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

import cbor2

from gypsumsail.core import cbor
from gypsumsail.core.errors import RunState
from gypsumsail.once.const import LEDGER_PREFIX
from gypsumsail.once.errors import LedgerCorruptError

FORMAT_VERSION: Final = 1
HEAD_FIELD_COUNT: Final = 5
SEGMENT_FIELD_COUNT: Final = 2
SEALED_FIELD_COUNT: Final = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Reserved:
    """Reservation of a key: the attempt may send the request."""

    key: bytes
    attempt: bytes
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """Outcome of a sent attempt."""

    key: bytes
    attempt: bytes
    run_state: RunState
    status: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Abandoned:
    """Abandonment of an attempt: it was not run and never will be.

    The attempt need not have been reserved.
    """

    key: bytes
    attempt: bytes


LedgerRecord = Reserved | Ended | Abandoned


@dataclass(frozen=True, slots=True, kw_only=True)
class SegmentReference:
    """Reference to a sealed segment.

    Attributes
    ----------
    head_version
        Version of the head whose records the segment holds; part of the
        key of the segment's object.
    sealed_at
        Ledger time at which it was sealed, in seconds.
    """

    head_version: int
    sealed_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """Head object of a partition; each commit replaces it.

    Attributes
    ----------
    ledger_time
        Age of the partition in seconds: the sum of the times that its writers measured
        between two versions, and so never more than its real age.
    opened_at
        Ledger time at which the first of ``records`` was added, in seconds.
    records
        Records added since the last segment was sealed, in order.
    """

    ledger_time: float
    opened_at: float
    sealed: tuple[SegmentReference, ...]
    records: tuple[LedgerRecord, ...]


EMPTY_HEAD: Final = Head(ledger_time=0.0, opened_at=0.0, sealed=(), records=())


class _RecordKind(IntEnum):
    RESERVED = 0
    ENDED = 1
    ABANDONED = 2


_RUN_STATES: Final = tuple(RunState)


def partition_prefix(partition: int) -> str:
    """Return the prefix of all objects of a partition."""
    return f"{LEDGER_PREFIX}{partition:03d}/"


def head_object_key(partition: int) -> str:
    """Return the key of a partition's head."""
    return f"{partition_prefix(partition)}head"


def segment_object_key(partition: int, head_version: int) -> str:
    """Return the key of a sealed segment."""
    return f"{partition_prefix(partition)}segment/{head_version:012d}"


def encode_head(head: Head) -> bytes:
    """Encode a head as CBOR."""
    sealed = [[segment.head_version, segment.sealed_at] for segment in head.sealed]
    return cbor2.dumps(
        [
            FORMAT_VERSION,
            head.ledger_time,
            head.opened_at,
            sealed,
            [_encode_record(record) for record in head.records],
        ]
    )


def decode_head(value: bytes) -> Head:
    """Decode a head.

    Raises
    ------
    LedgerCorruptError
        The value is not a valid head.
    """
    try:
        version, ledger_time, opened_at, sealed, records = cbor.read_list(
            cbor.load(value), HEAD_FIELD_COUNT
        )
        _check_format(version)
        return Head(
            ledger_time=cbor.read_seconds(ledger_time),
            opened_at=cbor.read_seconds(opened_at),
            sealed=tuple(map(_decode_sealed, cbor.read_list(sealed))),
            records=tuple(map(_decode_record, cbor.read_list(records))),
        )
    except cbor.ValueInvalidError as err:
        raise LedgerCorruptError(f"ledger head can't be decoded: {err}") from err


def encode_records(records: tuple[LedgerRecord, ...]) -> bytes:
    """Encode the records of a segment or message as CBOR."""
    return cbor2.dumps([FORMAT_VERSION, [_encode_record(record) for record in records]])


def decode_records(value: bytes) -> tuple[LedgerRecord, ...]:
    """Decode records.

    Raises
    ------
    LedgerCorruptError
        The value is not a valid list of records.
    """
    try:
        version, records = cbor.read_list(cbor.load(value), SEGMENT_FIELD_COUNT)
        _check_format(version)
        return tuple(map(_decode_record, cbor.read_list(records)))
    except cbor.ValueInvalidError as err:
        raise LedgerCorruptError(f"ledger records can't be decoded: {err}") from err


def _check_format(version: object) -> None:
    if version != FORMAT_VERSION:
        raise cbor.ValueInvalidError(f"unsupported format version {version!r}")


def _encode_record(record: LedgerRecord) -> list[object]:
    match record:
        case Reserved():
            return [_RecordKind.RESERVED.value, record.key, record.attempt, record.body]
        case Ended():
            state = _RUN_STATES.index(record.run_state)
            return [
                _RecordKind.ENDED.value,
                record.key,
                record.attempt,
                state,
                record.status,
            ]
        case Abandoned():
            return [_RecordKind.ABANDONED.value, record.key, record.attempt]


def _decode_sealed(value: object) -> SegmentReference:
    head_version, sealed_at = cbor.read_list(value, SEALED_FIELD_COUNT)
    return SegmentReference(
        head_version=cbor.read_unsigned(head_version),
        sealed_at=cbor.read_seconds(sealed_at),
    )


def _decode_record(value: object) -> LedgerRecord:
    match cbor.read_list(value):
        case [_RecordKind.RESERVED.value, key, attempt, body]:
            return Reserved(
                key=cbor.read_bytes(key),
                attempt=cbor.read_bytes(attempt),
                body=cbor.read_bytes(body),
            )
        case [_RecordKind.ENDED.value, key, attempt, run_state, status]:
            return Ended(
                key=cbor.read_bytes(key),
                attempt=cbor.read_bytes(attempt),
                run_state=_decode_run_state(run_state),
                status=cbor.read_unsigned(status),
            )
        case [_RecordKind.ABANDONED.value, key, attempt]:
            return Abandoned(key=cbor.read_bytes(key), attempt=cbor.read_bytes(attempt))
    raise cbor.ValueInvalidError(
        "unknown kind or wrong number of fields in a ledger record"
    )


def _decode_run_state(value: object) -> RunState:
    index = cbor.read_unsigned(value)
    if index >= len(_RUN_STATES):
        raise cbor.ValueInvalidError("unknown run state")
    return _RUN_STATES[index]
