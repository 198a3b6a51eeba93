"""Selects the engine that serves a request."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from gypsumsail.document.models import TierWeights
from gypsumsail.routing.const import MIN_RETRY_AFTER_SECONDS, RETRY_JITTER_SHARE
from gypsumsail.routing.models import (
    Candidate,
    Choice,
    RefusalReason,
    Refused,
    RouteRequest,
)
from gypsumsail.routing.policies import (
    ExpectedFirstToken,
    LeastLoaded,
    Policy,
    PrefixAffinity,
    RoundRobin,
    StickyByCustomer,
)
from gypsumsail.routing.policies.baselines import (
    choose_for_engine,
    pick_least_loaded,
    pick_longest_prefix,
    pick_round_robin,
    pick_sticky,
)
from gypsumsail.routing.policies.expected_first_token import choose_by_cost


def choose(
    policy: Policy,
    request: RouteRequest,
    candidates: Sequence[Candidate],
    cost_weights: TierWeights,
    rng: Random,
) -> Choice:
    """Return the engine for a request, or a refusal.

    ``cost_weights`` are the weights of the terms of `weighted_cost`. Times in the
    arguments are relative to the present. Only `ExpectedFirstToken` refuses a request
    that can't meet its deadline.
    """
    if not candidates:
        retry_after = MIN_RETRY_AFTER_SECONDS * (1 + RETRY_JITTER_SHARE * rng.random())
        return Refused(reason=RefusalReason.NO_TARGET, retry_after=retry_after)
    use_store = False
    match policy:
        case ExpectedFirstToken():
            return choose_by_cost(request, candidates, cost_weights, rng)
        case RoundRobin(use_store=use_store):
            candidate = pick_round_robin(request, candidates)
        case LeastLoaded(use_store=use_store):
            candidate = pick_least_loaded(candidates, rng)
        case StickyByCustomer(use_store=use_store):
            candidate = pick_sticky(request, candidates)
        case PrefixAffinity():
            candidate = pick_longest_prefix(candidates, rng)
    return choose_for_engine(request, candidate, use_store=use_store)
