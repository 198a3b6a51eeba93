"""Contents of one ledger partition and decisions on entries, without I/O."""

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
    LedgerEntry,
    Reserved,
)


class KeyState(StrEnum):
    """State of the last attempt of a key."""

    RESERVED = "reserved"
    ENDED = "ended"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRecord:
    """The last attempt of a key."""

    attempt: bytes
    body: bytes
    state: KeyState
    run_state: RunState = RunState.MAY_HAVE_RUN
    status: int = 0


class VerdictKind(StrEnum):
    """Result of a submitted entry."""

    GRANTED = "granted"
    RECORDED = "recorded"
    RUNNING = "running"
    FINISHED = "finished"
    OTHER_BODY = "other body"
    ABANDONED = "given up"
    FULL = "full"


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Result of one submitted entry.

    Attributes
    ----------
    run_state, status
        Outcome of the first run if the kind is ``FINISHED``.
    """

    kind: VerdictKind
    run_state: RunState = RunState.NOT_RUN
    status: int = 0


GRANTED = Verdict(kind=VerdictKind.GRANTED)
RECORDED = Verdict(kind=VerdictKind.RECORDED)


@dataclass(slots=True, kw_only=True)
class Ledger:
    """Contents of a partition at a version of its head.

    Attributes
    ----------
    version
        Version of the head; 0 if it does not exist yet.
    keys
        Last attempt of each key.
    abandoned_attempts
        Abandoned attempts; their reservations are never granted, also if they
        arrive later.
    """

    version: int = 0
    head: Head = EMPTY_HEAD
    keys: MutableMapping[bytes, KeyRecord] = field(default_factory=dict)
    abandoned_attempts: set[bytes] = field(default_factory=set)


def apply_entry(
    keys: MutableMapping[bytes, KeyRecord],
    abandoned_attempts: set[bytes],
    entry: LedgerEntry,
) -> None:
    """Apply an entry; entries must be applied in ledger order."""
    record = keys.get(entry.key)
    match entry:
        case Reserved():
            keys[entry.key] = KeyRecord(
                attempt=entry.attempt, body=entry.body, state=KeyState.RESERVED
            )
        case Ended():
            if record is None or record.attempt != entry.attempt:
                return
            keys[entry.key] = KeyRecord(
                attempt=record.attempt,
                body=record.body,
                state=KeyState.ENDED,
                run_state=entry.run_state,
                status=entry.status,
            )
        case Abandoned():
            abandoned_attempts.add(entry.attempt)
            if record is None or record.attempt != entry.attempt:
                return
            if record.state is KeyState.ENDED:
                return
            keys[entry.key] = KeyRecord(
                attempt=record.attempt, body=record.body, state=KeyState.ABANDONED
            )


def decide(
    record: KeyRecord | None, entry: LedgerEntry, *, abandoned: bool = False
) -> Verdict:
    """Decide on one submitted entry.

    Parameters
    ----------
    record
        Last attempt of the entry's key.
    abandoned_attempts
        Whether the entry's attempt was already abandoned.
    """
    match entry:
        case Reserved() if abandoned:
            return Verdict(kind=VerdictKind.ABANDONED)
        case Reserved():
            return _decide_reservation(record, entry)
        case Ended() | Abandoned():
            return RECORDED


def _decide_reservation(record: KeyRecord | None, entry: Reserved) -> Verdict:
    if record is None or record.state is KeyState.ABANDONED:
        return GRANTED
    if record.attempt == entry.attempt:
        return GRANTED
    if record.body != entry.body:
        return Verdict(kind=VerdictKind.OTHER_BODY)
    if record.state is KeyState.RESERVED:
        return Verdict(kind=VerdictKind.RUNNING, run_state=RunState.MAY_HAVE_RUN)
    return Verdict(
        kind=VerdictKind.FINISHED, run_state=record.run_state, status=record.status
    )


def is_known(ledger: Ledger, entry: LedgerEntry) -> bool:
    """Return whether an entry is already in the ledger or would change nothing."""
    record = ledger.keys.get(entry.key)
    same_attempt = record is not None and record.attempt == entry.attempt
    match entry:
        case Reserved():
            return same_attempt
        case Ended():
            return not same_attempt or (
                record is not None and record.state is KeyState.ENDED
            )
        case Abandoned():
            return entry.attempt in ledger.abandoned_attempts
