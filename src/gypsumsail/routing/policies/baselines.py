"""Baseline policies, kept for comparison."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from random import Random

from gypsumsail.document.models import TierWeights
from gypsumsail.routing.cost import Plan, importable_blocks, make_plan
from gypsumsail.routing.models import Candidate, RouteRequest


def take_in_turn(request: RouteRequest, candidates: Sequence[Candidate]) -> Candidate:
    """Return the next engine in turn."""
    ordered = sorted(candidates, key=lambda candidate: candidate.target)
    return ordered[request.sequence % len(ordered)]


def take_least_loaded(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Return the engine with the fewest requests."""
    return min(candidates, key=lambda candidate: (candidate.requests, rng.random()))


def take_sticky(request: RouteRequest, candidates: Sequence[Candidate]) -> Candidate:
    """Return the engine that the customer's name hashes to."""

    def rank(candidate: Candidate) -> bytes:
        text = f"{candidate.target}\n{request.customer}"
        return blake2b(text.encode(), digest_size=8).digest()

    return max(candidates, key=rank)


def take_longest_prefix(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Return the engine with the longest cached prefix, else the least loaded."""
    return min(
        candidates,
        key=lambda candidate: (
            -candidate.cached_blocks,
            candidate.requests,
            rng.random(),
        ),
    )


def plan_on(
    request: RouteRequest,
    candidate: Candidate,
    weights: TierWeights,
    *,
    use_store: bool,
) -> Plan:
    """Return the plan that imports all that is kept, or nothing."""
    longest = max(request.kept, key=lambda kept: len(kept.names), default=None)
    if not use_store or longest is None:
        return make_plan(request, candidate, weights, None, 0)
    blocks = importable_blocks(candidate, longest)
    return make_plan(request, candidate, weights, longest, blocks)
