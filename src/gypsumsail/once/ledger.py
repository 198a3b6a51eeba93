"""Contents of one ledger partition and decisions on records, without I/O."""

from __future__ import annotations

from collections.abc import MutableMapping
from dataclasses import dataclass, field
from enum import StrEnum

from gypsumsail.core.errors import RunState
from gypsumsail.once.records import (
    EMPTY_HEAD,
    Abandoned,
    Ended,
    Head,
    LedgerRecord,
    Reserved,
)


class KeyState(StrEnum):
    """State of the last attempt of a key."""

    RESERVED = "reserved"
    ENDED = "ended"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRecord:
    """The last attempt of a key.

    Attributes
    ----------
    body
        Digest of the method, path, query and body of the request.
    """

    attempt: bytes
    body: bytes
    state: KeyState
    run_state: RunState = RunState.MAY_HAVE_RUN
    status: int = 0


class SubmitResultKind(StrEnum):
    """Result of a submitted record."""

    GRANTED = "granted"
    RECORDED = "recorded"
    RUNNING = "running"
    FINISHED = "finished"
    OTHER_BODY = "other body"
    ABANDONED = "given up"
    FULL = "full"


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmitResult:
    """Result of one submitted record.

    Attributes
    ----------
    run_state, status
        Outcome of the first run if the kind is ``FINISHED``.
    """

    kind: SubmitResultKind
    run_state: RunState = RunState.NOT_RUN
    status: int = 0


GRANTED = SubmitResult(kind=SubmitResultKind.GRANTED)
RECORDED = SubmitResult(kind=SubmitResultKind.RECORDED)


@dataclass(slots=True, kw_only=True)
class Ledger:
    """Contents of a partition at a version of its head.

    Attributes
    ----------
    version
        Version of the head; 0 if it does not exist yet.
    keys
        Last attempt of each key, by the digest of the key.
    abandoned_attempts
        Abandoned attempts; their reservations are never granted, also if they
        arrive later.
    """

    version: int = 0
    head: Head = EMPTY_HEAD
    keys: MutableMapping[bytes, KeyRecord] = field(default_factory=dict)
    abandoned_attempts: set[bytes] = field(default_factory=set)


def apply_record(
    keys: MutableMapping[bytes, KeyRecord],
    abandoned_attempts: set[bytes],
    record: LedgerRecord,
) -> None:
    """Apply a record; records must be applied in ledger order."""
    key_record = keys.get(record.key)
    match record:
        case Reserved():
            keys[record.key] = KeyRecord(
                attempt=record.attempt, body=record.body, state=KeyState.RESERVED
            )
        case Ended():
            if key_record is None or key_record.attempt != record.attempt:
                return
            keys[record.key] = KeyRecord(
                attempt=key_record.attempt,
                body=key_record.body,
                state=KeyState.ENDED,
                run_state=record.run_state,
                status=record.status,
            )
        case Abandoned():
            abandoned_attempts.add(record.attempt)
            if key_record is None or key_record.attempt != record.attempt:
                return
            if key_record.state is KeyState.ENDED:
                return
            keys[record.key] = KeyRecord(
                attempt=key_record.attempt,
                body=key_record.body,
                state=KeyState.ABANDONED,
            )


def decide(
    key_record: KeyRecord | None, record: LedgerRecord, *, abandoned: bool = False
) -> SubmitResult:
    """Decide on one submitted record.

    Parameters
    ----------
    key_record
        Last attempt of the record's key.
    abandoned
        Whether the record's attempt was already abandoned.
    """
    match record:
        case Reserved() if abandoned:
            return SubmitResult(kind=SubmitResultKind.ABANDONED)
        case Reserved():
            return _decide_reservation(key_record, record)
        case Ended() | Abandoned():
            return RECORDED


def _decide_reservation(key_record: KeyRecord | None, record: Reserved) -> SubmitResult:
    if key_record is None or key_record.state is KeyState.ABANDONED:
        return GRANTED
    if key_record.attempt == record.attempt:
        return GRANTED
    if key_record.body != record.body:
        return SubmitResult(kind=SubmitResultKind.OTHER_BODY)
    if key_record.state is KeyState.RESERVED:
        return SubmitResult(
            kind=SubmitResultKind.RUNNING, run_state=RunState.MAY_HAVE_RUN
        )
    return SubmitResult(
        kind=SubmitResultKind.FINISHED,
        run_state=key_record.run_state,
        status=key_record.status,
    )


def is_redundant(ledger: Ledger, record: LedgerRecord) -> bool:
    """Return whether adding the record would change nothing."""
    key_record = ledger.keys.get(record.key)
    same_attempt = key_record is not None and key_record.attempt == record.attempt
    match record:
        case Reserved():
            return same_attempt
        case Ended():
            return not same_attempt or (
                key_record is not None and key_record.state is KeyState.ENDED
            )
        case Abandoned():
            return record.attempt in ledger.abandoned_attempts
