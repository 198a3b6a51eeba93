"""Pure decisions on the ledger of one partition."""

from __future__ import annotations

from collections import ChainMap
from collections.abc import MutableMapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from gypsumsail.core.errors import RunState
from gypsumsail.once.const import (
    ENTRIES_PER_SEGMENT,
    RETENTION_SECONDS,
    SEAL_AGE_SECONDS,
    SEGMENTS_PER_PARTITION,
)
from gypsumsail.once.records import (
    EMPTY_HEAD,
    Abandoned,
    Ended,
    Head,
    LedgerEntry,
    Reserved,
    SealedSegment,
)


class KeyState(StrEnum):
    """What the ledger knows of the last attempt of a key."""

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
    """What becomes of a submitted entry."""

    GRANTED = "granted"
    RECORDED = "recorded"
    RUNNING = "running"
    FINISHED = "finished"
    OTHER_BODY = "other body"
    GIVEN_UP = "given up"
    FULL = "full"


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Decision on one submitted entry.

    Attributes
    ----------
    run_state, status
        Outcome of the first run when the kind is ``FINISHED``.
    """

    kind: VerdictKind
    run_state: RunState = RunState.NOT_RUN
    status: int = 0


GRANTED = Verdict(kind=VerdictKind.GRANTED)
RECORDED = Verdict(kind=VerdictKind.RECORDED)


@dataclass(slots=True, kw_only=True)
class Ledger:
    """Contents of a partition at one version of its head.

    Attributes
    ----------
    version
        Version of the head; 0 when it does not exist yet.
    keys
        Last attempt of each key.
    given_up
        Attempts that were abandoned; they are never granted.
    """

    version: int = 0
    head: Head = EMPTY_HEAD
    keys: MutableMapping[bytes, KeyRecord] = field(default_factory=dict)
    given_up: set[bytes] = field(default_factory=set)


@dataclass(frozen=True, slots=True, kw_only=True)
class CommitPlan:
    """What one commit writes, and the decision on each submitted entry.

    Attributes
    ----------
    seal
        Whether the entries of the present head become a segment first.
    entries
        Entries that the commit adds; without any, nothing needs to be written.
    expired
        Head versions of the segments that the commit drops.
    """

    head: Head
    seal: bool
    entries: tuple[LedgerEntry, ...]
    verdicts: tuple[Verdict, ...]
    expired: tuple[int, ...]


def apply_entry(
    keys: MutableMapping[bytes, KeyRecord], given_up: set[bytes], entry: LedgerEntry
) -> None:
    """Apply one entry in the order of the ledger."""
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
            given_up.add(entry.attempt)
            if record is None or record.attempt != entry.attempt:
                return
            if record.state is KeyState.ENDED:
                return
            keys[entry.key] = KeyRecord(
                attempt=record.attempt, body=record.body, state=KeyState.ABANDONED
            )


def decide(
    record: KeyRecord | None, entry: LedgerEntry, *, given_up: bool = False
) -> Verdict:
    """Decide on one submitted entry.

    Parameters
    ----------
    record
        Last attempt of the entry's key.
    given_up
        Whether the entry's attempt was abandoned before.
    """
    match entry:
        case Reserved() if given_up:
            return Verdict(kind=VerdictKind.GIVEN_UP)
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
    """Return whether the ledger holds an entry already."""
    record = ledger.keys.get(entry.key)
    mine = record is not None and record.attempt == entry.attempt
    match entry:
        case Reserved():
            return mine
        case Ended():
            return not mine or (record is not None and record.state is KeyState.ENDED)
        case Abandoned():
            return entry.attempt in ledger.given_up


def plan_commit(
    ledger: Ledger, submitted: Sequence[LedgerEntry], *, elapsed: float
) -> CommitPlan:
    """Plan the next commit to a partition.

    Parameters
    ----------
    elapsed
        Seconds of the writer's monotonic clock since it learnt that the head
        has ``ledger.version``. They lie between this version and the next one,
        so that ledger time never runs ahead of real time.
    """
    ledger_time = ledger.head.ledger_time + elapsed
    expired, kept = _split_expired(ledger.head.sealed, ledger_time)
    seal = _needs_seal(ledger.head, ledger_time)
    if seal:
        kept = (
            *kept,
            SealedSegment(head_version=ledger.version, sealed_at=ledger_time),
        )
    full = len(kept) >= SEGMENTS_PER_PARTITION
    added, verdicts = _decide_all(ledger, submitted, full=full)
    entries = added if seal else (*ledger.head.entries, *added)
    fresh = seal or not ledger.head.entries
    return CommitPlan(
        head=Head(
            ledger_time=ledger_time,
            opened_at=ledger_time if fresh else ledger.head.opened_at,
            sealed=kept,
            entries=entries,
        ),
        seal=seal,
        entries=added,
        verdicts=verdicts,
        expired=tuple(segment.head_version for segment in expired),
    )


def _split_expired(
    sealed: tuple[SealedSegment, ...], ledger_time: float
) -> tuple[tuple[SealedSegment, ...], tuple[SealedSegment, ...]]:
    """Split off the oldest segments; the rest keeps its order."""
    count = 0
    for segment in sealed:
        if ledger_time - segment.sealed_at < RETENTION_SECONDS:
            break
        count += 1
    return sealed[:count], sealed[count:]


def _needs_seal(head: Head, ledger_time: float) -> bool:
    if not head.entries:
        return False
    if len(head.entries) >= ENTRIES_PER_SEGMENT:
        return True
    return ledger_time - head.opened_at >= SEAL_AGE_SECONDS


def _decide_all(
    ledger: Ledger, submitted: Sequence[LedgerEntry], *, full: bool
) -> tuple[tuple[LedgerEntry, ...], tuple[Verdict, ...]]:
    overlay = Ledger(
        keys=ChainMap({}, ledger.keys),
        given_up=set(),
    )
    added: list[LedgerEntry] = []
    verdicts: list[Verdict] = []
    for entry in submitted:
        given_up = entry.attempt in ledger.given_up or entry.attempt in overlay.given_up
        verdict = decide(overlay.keys.get(entry.key), entry, given_up=given_up)
        known = given_up or is_known(overlay, entry)
        if full and not known and isinstance(entry, Reserved):
            verdict = Verdict(kind=VerdictKind.FULL)
        verdicts.append(verdict)
        if known or verdict.kind not in (VerdictKind.GRANTED, VerdictKind.RECORDED):
            continue
        apply_entry(overlay.keys, overlay.given_up, entry)
        added.append(entry)
    return tuple(added), tuple(verdicts)


def advance(ledger: Ledger, plan: CommitPlan, version: int) -> None:
    """Take over a confirmed commit."""
    for entry in plan.entries:
        apply_entry(ledger.keys, ledger.given_up, entry)
    ledger.head = plan.head
    ledger.version = version
