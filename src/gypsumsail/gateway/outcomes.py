"""How a send to a target ended, and what follows from it."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.core.errors import RunState
from gypsumsail.gateway.const import MIN_RETRY_SECONDS
from gypsumsail.gateway.models import HeaderPairs


@dataclass(frozen=True, slots=True, kw_only=True)
class Delivered:
    """The whole answer went to the caller."""

    status: int


@dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """No byte of the call left this VM."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class NotTaken:
    """The target states that it did not run the call.

    Attributes
    ----------
    is_wrong_target
        Whether another target answered than the named one, so that the call did
        not reach a target at all.
    """

    status: int
    is_wrong_target: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetError:
    """The target ran the call and answered with a failure of its own."""

    status: int
    headers: HeaderPairs
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Broken:
    """The call may have run and its answer is missing or not whole."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TimedOut:
    """The time of the call ended; it may have run."""


SendOutcome = Delivered | NotSent | NotTaken | TargetError | Broken | TimedOut


@dataclass(frozen=True, slots=True, kw_only=True)
class CallFacts:
    """What the next step depends on beside the outcome.

    Attributes
    ----------
    targets_used
        Targets that took the call, or may have.
    has_reply_begun
        Whether the caller has a part of the answer.
    """

    may_repeat: bool
    targets_used: int
    max_targets: int
    has_reply_begun: bool
    time_left: float
    usual_seconds: float


def should_try_another_target(outcome: SendOutcome, facts: CallFacts) -> bool:
    """Return whether the call should be sent to another target.

    A call that may not be repeated goes on only where it is certain that it has not
    run.
    """
    if facts.time_left < facts.usual_seconds + MIN_RETRY_SECONDS:
        return False
    match outcome:
        case NotSent():
            return True
        case NotTaken(is_wrong_target=True):
            return True
        case NotTaken():
            return facts.targets_used < facts.max_targets
        case TargetError() | Broken():
            return facts.may_repeat and facts.targets_used < facts.max_targets
        case Delivered() | TimedOut():
            return False


def counts_as_retry(outcome: SendOutcome) -> bool:
    """Return whether another send counts against the budget of repeated sends."""
    return not isinstance(outcome, NotSent)


@dataclass(frozen=True, slots=True, kw_only=True)
class Finished:
    """Nothing more is to be sent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PassOn:
    """The target's failure goes to the caller as it is."""

    error: TargetError


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """The caller is told that the call was not run and when to come back."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Fail:
    """The caller is told that the call failed and may have run."""

    status: int
    run_state: RunState


@dataclass(frozen=True, slots=True, kw_only=True)
class BreakOff:
    """The connection ends, as a part of the answer is out."""


FinalAnswer = Finished | PassOn | Refuse | Fail | BreakOff


def final_answer(
    outcome: SendOutcome, *, may_have_run: bool, has_reply_begun: bool
) -> FinalAnswer:
    """Return what the caller gets when no other target is tried.

    Parameters
    ----------
    may_have_run
        Whether an earlier send of the call may have run.
    """
    if isinstance(outcome, Delivered):
        return Finished()
    if has_reply_begun:
        return BreakOff()
    match outcome:
        case TargetError():
            return PassOn(error=outcome)
        case NotSent() | NotTaken():
            if not may_have_run:
                return Refuse()
            return Fail(status=502, run_state=RunState.MAY_HAVE_RUN)
        case Broken():
            return Fail(status=502, run_state=RunState.MAY_HAVE_RUN)
        case TimedOut():
            return Fail(status=504, run_state=RunState.MAY_HAVE_RUN)
