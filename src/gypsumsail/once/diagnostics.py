"""What operators see of requests that run at most once."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.once.coordinator import OnceCoordinator


@dataclass(frozen=True, slots=True, kw_only=True)
class OnceDiagnostics:
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


def diagnostics(coordinator: OnceCoordinator, now: float) -> OnceDiagnostics:
    """Return the diagnostics of an entry."""
    ledgers = coordinator.ledgers
    outcomes = coordinator.outcomes
    return OnceDiagnostics(
        commits=ledgers.counters.commits,
        committed_entries=ledgers.counters.entries,
        forwarded=ledgers.forwarded,
        direct=ledgers.direct,
        outcomes_waiting=len(outcomes),
        oldest_outcome_seconds=max(
            (now - outcome.since for outcome in outcomes), default=0.0
        ),
        outcomes_lost=outcomes.lost,
        platform_failing=ledgers.pause.failing,
    )
