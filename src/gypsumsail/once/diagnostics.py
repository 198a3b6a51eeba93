"""What operators see of requests that run at most once."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.once.coordinator import AtMostOnceCoordinator


@dataclass(frozen=True, slots=True, kw_only=True)
class AtMostOnceDiagnostics:
    """Counters and state of one entry.

    Attributes
    ----------
    commits, committed_entries
        Commits that this entry made, and the ledger entries in them.
    forwarded, direct
        Reservations through an owner, and written by this entry.
    outcomes_waiting, oldest_outcome_seconds
        Outcomes that the ledger does not have yet, and how long the oldest waits.
    outcomes_lost
        Outcomes dropped because too many waited.
    platform_failing
        Whether the last commit failed.
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
    """Return the diagnostics of an entry."""
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
