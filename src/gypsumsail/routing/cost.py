"""Expected times of a request on an engine."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.context.const import TOKENS_PER_BLOCK
from gypsumsail.document.models import TierWeights
from gypsumsail.routing.models import (
    Candidate,
    Chosen,
    Expectation,
    KeptPrefix,
    RouteRequest,
)
from gypsumsail.targets.port import KeptBlocks


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """One way to serve a request on one engine, and its weighted cost."""

    chosen: Chosen
    score: float


def expect(
    request: RouteRequest,
    candidate: Candidate,
    kept: KeptPrefix | None,
    imported_blocks: int,
) -> Expectation:
    """Return what to expect when so many blocks are imported.

    The import runs while the request waits for the tokens ahead of it.
    """
    rate = candidate.rates.prefill_tokens_per_second
    reused_blocks = candidate.cached_blocks + imported_blocks
    computed = max(request.prompt_tokens - reused_blocks * TOKENS_PER_BLOCK, 0)
    waiting = candidate.tokens_ahead / rate
    link_bytes = 0
    if kept is not None and imported_blocks:
        link_bytes = imported_blocks * kept.block_bytes
        moved = (kept.queued_bytes + link_bytes) / kept.bytes_per_second
        waiting = max(waiting, moved)
    first_token = candidate.zone_seconds + waiting + computed / rate
    answer = request.answer_tokens * candidate.rates.decode_step_seconds
    return Expectation(
        first_token=first_token,
        whole_answer=first_token + answer,
        computed_tokens=computed,
        imported_tokens=imported_blocks * TOKENS_PER_BLOCK,
        link_bytes=link_bytes,
    )


def importable_blocks(candidate: Candidate, kept: KeptPrefix) -> int:
    """Return how many blocks past the cached ones may be imported."""
    missing = len(kept.names) - candidate.cached_blocks
    if missing <= 0:
        return 0
    allowed = kept.allowed_bytes / kept.block_bytes
    return int(min(missing, max(allowed, 0)))


def best_plan(
    request: RouteRequest, candidate: Candidate, weights: TierWeights
) -> Plan:
    """Return the cheapest mix of import and computing on an engine."""
    best = make_plan(request, candidate, weights, None, 0)
    for kept in request.kept:
        for blocks in _import_sizes(candidate, kept):
            plan = make_plan(request, candidate, weights, kept, blocks)
            if plan.score < best.score:
                best = plan
    return best


def make_plan(
    request: RouteRequest,
    candidate: Candidate,
    weights: TierWeights,
    kept: KeptPrefix | None,
    blocks: int,
) -> Plan:
    """Return the plan that imports so many blocks.

    The score adds seconds: to the first token, of engine work, of link use.
    """
    expected = expect(request, candidate, kept, blocks)
    recomputed = expected.computed_tokens / candidate.rates.prefill_tokens_per_second
    link = expected.link_bytes / kept.bytes_per_second if kept else 0.0
    score = (
        weights.first_token * expected.first_token
        + weights.recomputed * recomputed
        + weights.link_use * link
    )
    chosen = Chosen(
        target=candidate.target,
        expected=expected,
        kept=_kept_blocks(candidate, kept, blocks),
    )
    return Plan(chosen=chosen, score=score)


def _import_sizes(candidate: Candidate, kept: KeptPrefix) -> set[int]:
    """Return the sizes among which the cheapest import is.

    The score is convex and linear in the size but for one kink, where the import
    takes just as long as the wait for the tokens ahead.
    """
    most = importable_blocks(candidate, kept)
    waiting = candidate.tokens_ahead / candidate.rates.prefill_tokens_per_second
    in_time = waiting * kept.bytes_per_second - kept.queued_bytes
    kink = int(max(in_time, 0) / kept.block_bytes)
    return {size for size in (kink, kink + 1, most) if 0 < size <= most}


def _kept_blocks(
    candidate: Candidate, kept: KeptPrefix | None, blocks: int
) -> KeptBlocks | None:
    if kept is None or not blocks:
        return None
    names = kept.names[: candidate.cached_blocks + blocks]
    return KeptBlocks(store_url=kept.store_url, names=names)
