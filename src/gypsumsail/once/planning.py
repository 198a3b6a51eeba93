"""Planning of the next commit to a ledger partition, without I/O."""

from __future__ import annotations

from collections import ChainMap
from collections.abc import Sequence
from dataclasses import dataclass

from gypsumsail.once.const import (
    MAX_SEGMENTS_PER_PARTITION,
    RECORDS_PER_SEGMENT,
    RETENTION_SECONDS,
    SEAL_AGE_SECONDS,
)
from gypsumsail.once.ledger import (
    Ledger,
    SubmitResult,
    SubmitResultKind,
    apply_record,
    decide,
    is_redundant,
)
from gypsumsail.once.records import Head, LedgerRecord, Reserved, SegmentReference


@dataclass(frozen=True, slots=True, kw_only=True)
class CommitPlan:
    """Contents of one commit, and the result of each submitted record.

    Attributes
    ----------
    needs_seal
        Whether the records of the current head are moved to a segment first.
    added
        Records that the commit adds; if empty, the commit may be skipped.
    expired
        Head versions of the expired segments that the commit drops.
    """

    head: Head
    needs_seal: bool
    added: tuple[LedgerRecord, ...]
    results: tuple[SubmitResult, ...]
    expired: tuple[int, ...]


def plan_commit(
    ledger: Ledger, submitted: Sequence[LedgerRecord], *, elapsed: float
) -> CommitPlan:
    """Plan the next commit to a partition.

    Parameters
    ----------
    elapsed
        Seconds on the writer's monotonic clock since it first saw
        ``ledger.version``. This is at most the real time between this version
        and the next one, so that ledger time never exceeds the partition's real age.
    """
    ledger_time = ledger.head.ledger_time + elapsed
    expired, kept = _split_expired(ledger.head.sealed, ledger_time)
    needs_seal = _needs_seal(ledger.head, ledger_time)
    if needs_seal:
        kept = (
            *kept,
            SegmentReference(head_version=ledger.version, sealed_at=ledger_time),
        )
    full = len(kept) >= MAX_SEGMENTS_PER_PARTITION
    added, results = _decide_all(ledger, submitted, full=full)
    records = added if needs_seal else (*ledger.head.records, *added)
    starts_segment = needs_seal or not ledger.head.records
    return CommitPlan(
        head=Head(
            ledger_time=ledger_time,
            opened_at=ledger_time if starts_segment else ledger.head.opened_at,
            sealed=kept,
            records=records,
        ),
        needs_seal=needs_seal,
        added=added,
        results=results,
        expired=tuple(segment.head_version for segment in expired),
    )


def _split_expired(
    sealed: tuple[SegmentReference, ...], ledger_time: float
) -> tuple[tuple[SegmentReference, ...], tuple[SegmentReference, ...]]:
    """Split the segments, oldest first, into expired and remaining ones."""
    count = 0
    for segment in sealed:
        if ledger_time - segment.sealed_at < RETENTION_SECONDS:
            break
        count += 1
    return sealed[:count], sealed[count:]


def _needs_seal(head: Head, ledger_time: float) -> bool:
    if not head.records:
        return False
    if len(head.records) >= RECORDS_PER_SEGMENT:
        return True
    return ledger_time - head.opened_at >= SEAL_AGE_SECONDS


def _decide_all(
    ledger: Ledger, submitted: Sequence[LedgerRecord], *, full: bool
) -> tuple[tuple[LedgerRecord, ...], tuple[SubmitResult, ...]]:
    overlay = Ledger(
        keys=ChainMap({}, ledger.keys),
        abandoned_attempts=set(),
    )
    added: list[LedgerRecord] = []
    results: list[SubmitResult] = []
    for record in submitted:
        abandoned = (
            record.attempt in ledger.abandoned_attempts
            or record.attempt in overlay.abandoned_attempts
        )
        result = decide(overlay.keys.get(record.key), record, abandoned=abandoned)
        redundant = abandoned or is_redundant(overlay, record)
        if full and not redundant and isinstance(record, Reserved):
            result = SubmitResult(kind=SubmitResultKind.FULL)
        results.append(result)
        if redundant or result.kind not in (
            SubmitResultKind.GRANTED,
            SubmitResultKind.RECORDED,
        ):
            continue
        apply_record(overlay.keys, overlay.abandoned_attempts, record)
        added.append(record)
    return tuple(added), tuple(results)


def apply_plan(ledger: Ledger, plan: CommitPlan, version: int) -> None:
    """Update the ledger after the commit was confirmed with ``version``."""
    for record in plan.added:
        apply_record(ledger.keys, ledger.abandoned_attempts, record)
    ledger.head = plan.head
    ledger.version = version
