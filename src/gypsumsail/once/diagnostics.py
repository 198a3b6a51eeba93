"""Diagnostics of at-most-once execution."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.once.coordinator import AtMostOnceCoordinator


@dataclass(frozen=True, slots=True, kw_only=True)
class AtMostOnceDiagnostics:
    """Counters and state of at-most-once execution on one entry.

    Attributes
    ----------
    commits, committed_entries
        Number of commits by this entry, and of the ledger entries in them.
    forwarded, direct
        Number of reservations committed by the partition's owner, and by this
        entry itself.
    outcomes_waiting, oldest_outcome_seconds
        Number of outcomes not yet recorded in the ledger, and the age of the
        oldest one in seconds.
    outcomes_lost
        Number of outcomes dropped because the queue was full.
    platform_failing
        Whether the last call to the platform failed.
    """

    commits: int
    committed_entries: int
    forwarded: int
    direct: int
    outcomes_waiting: int
    oldest_outcome_seconds: float
    outcomes_lost: int
    platform_failing: bool


def diagnostics(
    coordinator: AtMostOnceCoordinator, now: float
) -> AtMostOnceDiagnostics:
    """Return the diagnostics of an entry at the monotonic time ``now``."""
    ledger = coordinator.ledger
    outcomes = coordinator.outcomes
    return AtMostOnceDiagnostics(
        commits=ledger.counters.commits,
        committed_entries=ledger.counters.entries,
        forwarded=ledger.forwarded,
        direct=ledger.direct,
        outcomes_waiting=len(outcomes),
        oldest_outcome_seconds=max(
            (now - outcome.since for outcome in outcomes), default=0.0
        ),
        outcomes_lost=outcomes.lost,
        platform_failing=ledger.breaker.failing,
    )
