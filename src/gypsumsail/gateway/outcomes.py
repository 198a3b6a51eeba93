"""Outcomes of a send to a target, and the decisions that follow from them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from gypsumsail.core.errors import RunState
from gypsumsail.gateway.const import MIN_TIME_FOR_RETRY_SECONDS
from gypsumsail.gateway.models import HeaderPairs

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses from which a caller concludes that the call was not run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Delivered:
    """The complete answer was sent to the caller."""

    status: int


@dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """No byte of the call was sent to the target."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class NotTaken:
    """The target states that it did not run the call.

    Attributes
    ----------
    is_wrong_target
        Whether a target other than the addressed one answered, so that the send
        does not count as one to a target.
    """

    status: int
    is_wrong_target: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetError:
    """The target ran the call and answered with an error status."""

    status: int
    headers: HeaderPairs
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Broken:
    """The call may have run, and its answer is missing or incomplete."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TimedOut:
    """The deadline of the call has passed; the call may have run."""


SendOutcome = Delivered | NotSent | NotTaken | TargetError | Broken | TimedOut


@dataclass(frozen=True, slots=True, kw_only=True)
class CallFacts:
    """Facts on a call that decide, with the outcome, whether it is retried.

    Attributes
    ----------
    targets_used
        Number of targets to which the call was sent, including those that rejected it;
        a wrong target does not count.
    has_reply_begun
        Whether a part of the answer was sent to the caller.
    time_left
        Seconds until the deadline of the call.
    usual_seconds
        Expected work of this call: seconds that a target works before the first token,
        or on a whole plain call. Unlike the attribute of this name of a target, it is
        not the average duration of a whole call.
    """

    may_repeat: bool
    targets_used: int
    max_targets: int
    has_reply_begun: bool
    time_left: float
    usual_seconds: float


def should_try_another_target(outcome: SendOutcome, facts: CallFacts) -> bool:
    """Return whether the call should be sent to another target.

    A call that may not be repeated is sent again only if it is certain that it has not
    run.
    """
    if facts.time_left < facts.usual_seconds + MIN_TIME_FOR_RETRY_SECONDS:
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
    """Return whether the next send counts against the retry budget."""
    return not isinstance(outcome, NotSent)


@dataclass(frozen=True, slots=True, kw_only=True)
class Finished:
    """The answer is complete and nothing more is sent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PassOn:
    """The target's error answer is forwarded to the caller unchanged."""

    error: TargetError


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """The caller is told that the call was not run and when to retry."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Fail:
    """The caller is told that the call failed and may have run."""

    status: int
    run_state: RunState


@dataclass(frozen=True, slots=True, kw_only=True)
class BreakOff:
    """The connection is closed, because a part of the answer was already sent."""


FinalAnswer = Finished | PassOn | Refuse | Fail | BreakOff


def final_answer(
    outcome: SendOutcome, *, may_have_run: bool, has_reply_begun: bool
) -> FinalAnswer:
    """Return the final answer to the caller when no other target is tried.

    Parameters
    ----------
    may_have_run
        Whether a target may have run the call.
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
