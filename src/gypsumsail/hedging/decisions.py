"""Decisions on second sends and on the outcome of two sends."""

from __future__ import annotations

from typing import Final

from gypsumsail.gateway.outcomes import (
    Broken,
    Delivered,
    NotSent,
    NotTaken,
    SendOutcome,
    TargetError,
    TimedOut,
)
from gypsumsail.hedging.const import MAX_TIMER_DELAY_SECONDS, MIN_TIME_LEFT_SECONDS
from gypsumsail.hedging.models import HedgeFacts, Withheld
from gypsumsail.hedging.route_hedges import RouteHedges

OUTCOME_ORDER: Final = (Delivered, TargetError, TimedOut, Broken, NotTaken, NotSent)
"""Outcomes from the best founded.

What a target has answered is known best. That a call was not run holds only if neither
target may have run it.
"""


def obstacle(
    facts: HedgeFacts, route: RouteHedges, *, is_silent: bool, delay: float, now: float
) -> Withheld | None:
    """Return why a slow call gets no second send; ``None`` if it may get one.

    Parameters
    ----------
    is_silent
        Whether the target of the first send seems silent.
    delay
        Seconds by which the threshold has passed already.
    """
    checks = (
        (delay > MAX_TIMER_DELAY_SECONDS, Withheld.VM_HELD_UP),
        (facts.targets_used >= facts.max_targets, Withheld.MAX_TARGETS),
        (
            facts.time_left < facts.work_seconds + MIN_TIME_LEFT_SECONDS,
            Withheld.TIME_LEFT,
        ),
        (facts.is_suspect, Withheld.SUSPECT),
        (is_silent, Withheld.SILENT_TARGET),
        (facts.queued_calls > 0, Withheld.QUEUE),
        (not facts.has_budget, Withheld.RETRY_BUDGET),
        (route.is_withdrawn(now), Withheld.NO_HELP),
        (not route.has_credit, Withheld.SHARE),
    )
    return next((reason for applies, reason in checks if applies), None)


def better_founded(outcomes: list[SendOutcome]) -> SendOutcome:
    """Return the outcome of a call whose sends all ended without an answer.

    Parameters
    ----------
    outcomes
        At least one; the earlier one is taken of two equal ones.
    """
    return min(outcomes, key=lambda outcome: OUTCOME_ORDER.index(type(outcome)))
