"""Decides whether a failed attempt is retried."""

from __future__ import annotations

from gypsumsail.core.errors import (
    DeadlineError,
    NoTargetError,
    RequestError,
    RunState,
    TargetLostError,
)
from gypsumsail.relay.const import MAX_ATTEMPTS, REQUEST_FAILED_RETRY_AFTER_SECONDS
from gypsumsail.relay.models import (
    FailureKind,
    GiveUp,
    NextStep,
    Progress,
    Retry,
)


def run_state_after(kind: FailureKind, before: RunState) -> RunState:
    """Return the run state of a request after another failed attempt."""
    match kind:
        case FailureKind.NOT_SENT | FailureKind.REFUSED:
            return before
        case FailureKind.LOST | FailureKind.CRASHED:
            return RunState.MAY_HAVE_RUN


def next_step(
    progress: Progress,
    kind: FailureKind,
    target: str,
    *,
    repeatable: bool,
    budget_allows: bool,
    seconds_left: float,
) -> NextStep:
    """Return whether to retry the job or to fail it.

    Parameters
    ----------
    progress
        Progress of the job. The attempt count and the run state include the failed
        attempt; the excluded and lost targets do not yet.
    budget_allows
        Whether the retry budget allows a retry, which keeps retries from amplifying
        an outage. The caller passes ``True`` for failures that are not charged.
    """
    if progress.run_state is not RunState.NOT_RUN and not repeatable:
        return GiveUp(error=_target_lost(progress))
    if seconds_left <= 0:
        return GiveUp(
            error=DeadlineError("the deadline passed", run_state=progress.run_state)
        )
    if progress.attempts >= MAX_ATTEMPTS or not budget_allows:
        return GiveUp(error=_retries_exhausted(progress))
    match kind:
        case FailureKind.LOST:
            return Retry(excluded=progress.excluded)
        case FailureKind.NOT_SENT | FailureKind.REFUSED | FailureKind.CRASHED:
            return Retry(excluded=progress.excluded | {target})


def _target_lost(progress: Progress) -> RequestError:
    return TargetLostError(
        "the target was lost before its answer was complete",
        run_state=progress.run_state,
    )


def _retries_exhausted(progress: Progress) -> RequestError:
    if progress.run_state is RunState.NOT_RUN:
        return NoTargetError(
            "no target accepted the request",
            retry_after=REQUEST_FAILED_RETRY_AFTER_SECONDS,
        )
    return TargetLostError(
        "targets were lost before the answer was complete",
        run_state=progress.run_state,
        retry_after=REQUEST_FAILED_RETRY_AFTER_SECONDS,
    )
