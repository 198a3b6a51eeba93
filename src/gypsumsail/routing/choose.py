"""Choice of the engine of a request."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from gypsumsail.document.models import TierWeights
from gypsumsail.routing.const import LEAST_RETRY_SECONDS, RETRY_JITTER_SHARE
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
    carry_out_on,
    take_in_turn,
    take_least_loaded,
    take_longest_prefix,
    take_sticky,
)
from gypsumsail.routing.policies.expected_first_token import choose_expected


def choose(
    policy: Policy,
    request: RouteRequest,
    candidates: Sequence[Candidate],
    weights: TierWeights,
    rng: Random,
) -> Choice:
    """Return the engine for a request, or a refusal.

    Times in the arguments are already relative to the present. Only
    `ExpectedFirstToken` refuses what can't meet its deadline.
    """
    if not candidates:
        retry_after = LEAST_RETRY_SECONDS * (1 + RETRY_JITTER_SHARE * rng.random())
        return Refused(reason=RefusalReason.NO_TARGET, retry_after=retry_after)
    use_store = False
    match policy:
        case ExpectedFirstToken():
            return choose_expected(request, candidates, weights, rng)
        case RoundRobin(use_store=use_store):
            candidate = take_in_turn(request, candidates)
        case LeastLoaded(use_store=use_store):
            candidate = take_least_loaded(candidates, rng)
        case StickyByCustomer(use_store=use_store):
            candidate = take_sticky(request, candidates)
        case PrefixAffinity():
            candidate = take_longest_prefix(candidates, rng)
    return carry_out_on(request, candidate, use_store=use_store)
