"""Diagnostics of at-most-once execution."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.once.coordinator import AtMostOnceCoordinator


@dataclass(frozen=True, slots=True, kw_only=True)
class AtMostOnceDiagnostics:
    """Counters and state of at-most-once execution on one entry.

    Attributes
    ----------
    attempted_commits, submitted_records
        Number of commits that this entry attempted, and of the ledger records
        submitted in them.
    forwarded, direct
        Number of reservations that the partition's owner answered, and of those that
        this entry tried to commit itself.
    outcomes_waiting, oldest_outcome_seconds
        Number of outcomes not yet recorded in the ledger, and the age of the
        oldest one in seconds.
    outcomes_lost
        Number of outcomes dropped because the queue was full.
    platform_failing
        Whether the last commit failed because the platform did not answer or did not
        confirm it.
    """

    attempted_commits: int
    submitted_records: int
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
        attempted_commits=ledger.counters.attempted_commits,
        submitted_records=ledger.counters.submitted_records,
        forwarded=ledger.forwarded,
        direct=ledger.direct,
        outcomes_waiting=len(outcomes),
        oldest_outcome_seconds=max(
            (now - outcome.since for outcome in outcomes), default=0.0
        ),
        outcomes_lost=outcomes.lost,
        platform_failing=ledger.breaker.failing,
    )
