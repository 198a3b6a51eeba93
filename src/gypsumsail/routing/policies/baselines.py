"""Baseline policies against which the default policy is compared."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from random import Random

from gypsumsail.routing.cost import Plan, importable_blocks, make_choice
from gypsumsail.routing.models import Candidate, Chosen, RouteRequest


def pick_round_robin(
    request: RouteRequest, candidates: Sequence[Candidate]
) -> Candidate:
    """Return the next engine in round-robin order."""
    ordered = sorted(candidates, key=lambda candidate: candidate.target)
    return ordered[request.sequence % len(ordered)]


def pick_least_loaded(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Return the engine with the fewest requests."""
    return min(candidates, key=lambda candidate: (candidate.requests, rng.random()))


def pick_sticky(request: RouteRequest, candidates: Sequence[Candidate]) -> Candidate:
    """Return the engine to which the customer's name hashes."""

    def rank(candidate: Candidate) -> bytes:
        text = f"{candidate.target}\n{request.customer}"
        return blake2b(text.encode(), digest_size=8).digest()

    return max(candidates, key=rank)


def pick_longest_prefix(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Return the engine with the longest cached prefix, the least loaded on a tie."""
    return min(
        candidates,
        key=lambda candidate: (
            -candidate.cached_blocks,
            candidate.requests,
            rng.random(),
        ),
    )


def choose_for_engine(
    request: RouteRequest, candidate: Candidate, *, use_store: bool
) -> Chosen:
    """Return the choice of the given engine.

    With ``use_store``, the engine imports the longest stored prefix beyond its cached
    blocks, as far as the link budget allows; otherwise it imports nothing.
    """
    longest = max(
        request.stored_prefixes, key=lambda prefix: len(prefix.names), default=None
    )
    if not use_store:
        longest = None
    blocks = importable_blocks(candidate, longest) if longest is not None else 0
    plan = Plan(
        candidate=candidate,
        stored_prefix=longest,
        imported_blocks=blocks,
        weighted_cost=0.0,
    )
    return make_choice(request, plan)
