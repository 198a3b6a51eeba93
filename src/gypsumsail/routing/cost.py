"""Expected times and cost of serving a request on an engine."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.context.const import TOKENS_PER_BLOCK
from gypsumsail.document.models import TierWeights
from gypsumsail.routing.models import (
    Candidate,
    Chosen,
    Expectation,
    ImportablePrefix,
    RouteRequest,
)
from gypsumsail.targets.port import StoredBlocks


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """One way to serve a request on one engine.

    Attributes
    ----------
    stored_prefix
        Stored prefix from which blocks are imported; ``None`` without an import.
    imported_blocks
        Number of blocks to import from ``stored_prefix``.
    weighted_cost
        Cost in seconds; the plan with the lowest cost is the best.
    """

    candidate: Candidate
    stored_prefix: ImportablePrefix | None
    imported_blocks: int
    weighted_cost: float


def first_token_seconds(
    request: RouteRequest,
    candidate: Candidate,
    stored_prefix: ImportablePrefix | None,
    imported_blocks: int,
) -> float:
    """Return the expected time to first token if ``imported_blocks`` are imported.

    The import runs while the request waits for the tokens queued ahead of it.
    """
    rate = candidate.rates.prefill_tokens_per_second
    waiting = candidate.tokens_ahead / rate
    if stored_prefix is not None and imported_blocks:
        size = stored_prefix.queued_bytes + imported_blocks * stored_prefix.block_bytes
        waiting = max(waiting, size / stored_prefix.bytes_per_second)
    computed = computed_tokens(request, candidate, imported_blocks)
    return candidate.round_trip_seconds + waiting + computed / rate


def computed_tokens(
    request: RouteRequest, candidate: Candidate, imported_blocks: int
) -> int:
    """Return the number of prompt tokens that the engine has to compute."""
    reused = (candidate.cached_blocks + imported_blocks) * TOKENS_PER_BLOCK
    return max(request.prompt_tokens - reused, 0)


def completion_seconds(request: RouteRequest, plan: Plan) -> float:
    """Return the expected time until the answer is complete."""
    first_token = first_token_seconds(
        request, plan.candidate, plan.stored_prefix, plan.imported_blocks
    )
    step = plan.candidate.rates.decode_step_seconds
    return first_token + request.answer_tokens * step


def importable_blocks(candidate: Candidate, stored_prefix: ImportablePrefix) -> int:
    """Return how many blocks beyond the cached ones may be imported."""
    missing = len(stored_prefix.names) - candidate.cached_blocks
    if missing <= 0:
        return 0
    allowed = stored_prefix.allowed_bytes / stored_prefix.block_bytes
    return int(min(missing, max(allowed, 0)))


def best_plan(
    request: RouteRequest, candidate: Candidate, cost_weights: TierWeights
) -> Plan:
    """Return the cheapest combination of import and computation on an engine."""
    best_prefix: ImportablePrefix | None = None
    best_blocks = 0
    lowest_cost = weighted_cost(request, candidate, cost_weights, None, 0)
    for stored_prefix in request.stored_prefixes:
        for blocks in _import_sizes(candidate, stored_prefix):
            found = weighted_cost(
                request, candidate, cost_weights, stored_prefix, blocks
            )
            if found < lowest_cost:
                best_prefix, best_blocks, lowest_cost = stored_prefix, blocks, found
    return Plan(
        candidate=candidate,
        stored_prefix=best_prefix,
        imported_blocks=best_blocks,
        weighted_cost=lowest_cost,
    )


def weighted_cost(
    request: RouteRequest,
    candidate: Candidate,
    cost_weights: TierWeights,
    stored_prefix: ImportablePrefix | None,
    blocks: int,
) -> float:
    """Return the weighted cost in seconds of serving a request with imported blocks.

    The cost is the weighted sum of the time to first token, the time to compute prompt
    tokens, and the time that the link is in use.
    """
    first_token = first_token_seconds(request, candidate, stored_prefix, blocks)
    computed = computed_tokens(request, candidate, blocks)
    recomputed = computed / candidate.rates.prefill_tokens_per_second
    link_seconds = (
        blocks * stored_prefix.block_bytes / stored_prefix.bytes_per_second
        if stored_prefix
        else 0.0
    )
    return (
        cost_weights.first_token * first_token
        + cost_weights.recomputed * recomputed
        + cost_weights.link_use * link_seconds
    )


def make_choice(request: RouteRequest, plan: Plan) -> Chosen:
    """Return the choice that follows from a plan, with its expected times."""
    candidate, blocks = plan.candidate, plan.imported_blocks
    completion = completion_seconds(request, plan)
    step = candidate.rates.decode_step_seconds
    expected = Expectation(
        first_token=completion - request.answer_tokens * step,
        completion=completion,
        computed_tokens=computed_tokens(request, candidate, blocks),
        imported_tokens=blocks * TOKENS_PER_BLOCK,
        link_bytes=blocks * plan.stored_prefix.block_bytes if plan.stored_prefix else 0,
    )
    return Chosen(
        target=candidate.target, expected=expected, kept=_blocks_to_import(plan)
    )


def _import_sizes(candidate: Candidate, stored_prefix: ImportablePrefix) -> set[int]:
    """Return the numbers of blocks above 0 whose import can have the lowest cost.

    The cost is convex and linear in the size except at one kink, where the import takes
    as long as the wait for the tokens ahead.
    """
    largest = importable_blocks(candidate, stored_prefix)
    waiting = candidate.tokens_ahead / candidate.rates.prefill_tokens_per_second
    bytes_in_time = (
        waiting * stored_prefix.bytes_per_second - stored_prefix.queued_bytes
    )
    kink = int(max(bytes_in_time, 0) / stored_prefix.block_bytes)
    return {size for size in (kink, kink + 1, largest) if 0 < size <= largest}


def _blocks_to_import(plan: Plan) -> StoredBlocks | None:
    if plan.stored_prefix is None or not plan.imported_blocks:
        return None
    last = plan.candidate.cached_blocks + plan.imported_blocks
    return StoredBlocks(
        store_url=plan.stored_prefix.store_url, names=plan.stored_prefix.names[:last]
    )
