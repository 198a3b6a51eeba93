"""Routing by expected time to first token, recomputation and link use."""

from __future__ import annotations

from collections.abc import Sequence
from math import exp
from random import Random

from gypsumsail.document.models import TierWeights
from gypsumsail.routing.const import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    MIN_TEMPERATURE_SECONDS,
    RETRY_JITTER_SHARE,
    UNSEEN_WORK_PER_STALE_SECOND,
)
from gypsumsail.routing.cost import Plan, best_plan, completion_seconds, make_choice
from gypsumsail.routing.models import (
    Candidate,
    Choice,
    RefusalReason,
    Refused,
    RouteRequest,
)


def choose_by_cost(
    request: RouteRequest,
    candidates: Sequence[Candidate],
    cost_weights: TierWeights,
    rng: Random,
) -> Choice:
    """Return an engine that meets the deadline, or a refusal.

    The engine is sampled, so that cheaper engines are more likely. ``cost_weights`` are
    the weights of the terms of `weighted_cost`.
    """
    plans = [best_plan(request, candidate, cost_weights) for candidate in candidates]
    in_time = [
        plan for plan in plans if completion_seconds(request, plan) <= request.deadline
    ]
    if not in_time:
        return _refuse(request, plans, rng)
    staleness = sum(candidate.staleness for candidate in candidates) / len(candidates)
    return make_choice(request, _sample(in_time, staleness, rng))


def _sample(plans: Sequence[Plan], staleness: float, rng: Random) -> Plan:
    """Sample a plan by a softmax of the negative costs.

    Plans whose costs differ by less than the uncertainty of the reports are about
    equally likely. Entries that see the same report would otherwise all choose its best
    engine. The older the reports are, the more work may have arrived unseen, and the
    wider the sampling spreads.
    """
    temperature = max(staleness * UNSEEN_WORK_PER_STALE_SECOND, MIN_TEMPERATURE_SECONDS)
    best = min(plan.weighted_cost for plan in plans)
    odds = [exp((best - plan.weighted_cost) / temperature) for plan in plans]
    return rng.choices(plans, odds)[0]


def _refuse(request: RouteRequest, plans: Sequence[Plan], rng: Random) -> Refused:
    earliest = min(completion_seconds(request, plan) for plan in plans)
    wait = min(
        max(earliest - request.deadline, MIN_RETRY_AFTER_SECONDS),
        MAX_RETRY_AFTER_SECONDS,
    )
    return Refused(
        reason=RefusalReason.DEADLINE,
        retry_after=wait * (1 + RETRY_JITTER_SHARE * rng.random()),
    )
