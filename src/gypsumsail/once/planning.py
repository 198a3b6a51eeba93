"""Planning of the next commit to a ledger partition, without I/O."""

from __future__ import annotations

from collections import ChainMap
from collections.abc import Sequence
from dataclasses import dataclass

from gypsumsail.once.const import (
    ENTRIES_PER_SEGMENT,
    RETENTION_SECONDS,
    SEAL_AGE_SECONDS,
    SEGMENTS_PER_PARTITION,
)
from gypsumsail.once.ledger import (
    Ledger,
    Verdict,
    VerdictKind,
    apply_entry,
    decide,
    is_known,
)
from gypsumsail.once.records import Head, LedgerEntry, Reserved, SealedSegment


@dataclass(frozen=True, slots=True, kw_only=True)
class CommitPlan:
    """Contents of one commit, and the result of each submitted entry.

    Attributes
    ----------
    seal
        Whether the entries of the current head are moved to a segment first.
    entries
        Entries that the commit adds; if empty, the commit may be skipped.
    expired
        Head versions of the expired segments that the commit drops.
    """

    head: Head
    seal: bool
    entries: tuple[LedgerEntry, ...]
    verdicts: tuple[Verdict, ...]
    expired: tuple[int, ...]


def plan_commit(
    ledger: Ledger, submitted: Sequence[LedgerEntry], *, elapsed: float
) -> CommitPlan:
    """Plan the next commit to a partition.

    Parameters
    ----------
    elapsed
        Seconds on the writer's monotonic clock since it first saw
        ``ledger.version``. This is at most the real time between this version
        and the next one, so that ledger time never runs ahead of real time.
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
    starts_segment = seal or not ledger.head.entries
    return CommitPlan(
        head=Head(
            ledger_time=ledger_time,
            opened_at=ledger_time if starts_segment else ledger.head.opened_at,
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
    """Split the segments, oldest first, into expired and remaining ones."""
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
        abandoned_attempts=set(),
    )
    added: list[LedgerEntry] = []
    verdicts: list[Verdict] = []
    for entry in submitted:
        abandoned = (
            entry.attempt in ledger.abandoned_attempts
            or entry.attempt in overlay.abandoned_attempts
        )
        verdict = decide(overlay.keys.get(entry.key), entry, abandoned=abandoned)
        known = abandoned or is_known(overlay, entry)
        if full and not known and isinstance(entry, Reserved):
            verdict = Verdict(kind=VerdictKind.FULL)
        verdicts.append(verdict)
        if known or verdict.kind not in (VerdictKind.GRANTED, VerdictKind.RECORDED):
            continue
        apply_entry(overlay.keys, overlay.abandoned_attempts, entry)
        added.append(entry)
    return tuple(added), tuple(verdicts)


def apply_plan(ledger: Ledger, plan: CommitPlan, version: int) -> None:
    """Update the ledger after the commit was confirmed with ``version``."""
    for entry in plan.entries:
        apply_entry(ledger.keys, ledger.abandoned_attempts, entry)
    ledger.head = plan.head
    ledger.version = version
