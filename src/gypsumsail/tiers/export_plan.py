"""Decision whether to export the blocks of an answered prompt, and to which tier."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.context.const import KV_BYTES_PER_BLOCK, TOKENS_PER_BLOCK
from gypsumsail.document.models import TierWeights
from gypsumsail.stores.port import Tier, TierLoad
from gypsumsail.tiers.const import (
    DEFAULT_LINK_BYTES_PER_SECOND,
    MEMORY_ADMISSION_SHARE,
    MIN_EXPORT_BLOCKS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ExportCandidate:
    """Inputs of the decision on an export.

    Attributes
    ----------
    blocks
        Number of full blocks of the prompt.
    stored_blocks
        Number of leading blocks that the store already has.
    reuse_probability
        Probability that the prompt is requested again.
    early_reuse_probability
        Probability that a reuse happens within `PROMOTION_WINDOW_SECONDS`.
    prefill_tokens_per_second
        Speed at which the engine would recompute the blocks.
    tiers
        Loads of the tiers of the store.
    """

    blocks: int
    stored_blocks: int
    reuse_probability: float
    early_reuse_probability: float
    prefill_tokens_per_second: float
    tiers: tuple[TierLoad, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ExportPlan:
    """Blocks to export, starting at depth ``start``.

    Attributes
    ----------
    blocks
        Number of blocks to export.
    value
        Weighted seconds that the export is expected to save.
    """

    start: int
    blocks: int
    tier: Tier
    value: float

    @property
    def size(self) -> int:
        """Return the bytes to transfer over the link."""
        return self.blocks * KV_BYTES_PER_BLOCK

    @property
    def value_per_byte(self) -> float:
        """Return the expected saving per byte, by which queued exports are ordered."""
        return self.value / self.size


def plan_export(candidate: ExportCandidate, weights: TierWeights) -> ExportPlan | None:
    """Return an export that is expected to save time, or ``None``.

    A reuse saves the computation of the blocks and costs an import; the export
    itself costs link time now. All three are in seconds and weighted by the service
    document.
    """
    blocks = candidate.blocks - candidate.stored_blocks
    if blocks < MIN_EXPORT_BLOCKS:
        return None
    tier = choose_tier(candidate, blocks * KV_BYTES_PER_BLOCK)
    if tier is None:
        return None
    compute_seconds = blocks * TOKENS_PER_BLOCK / candidate.prefill_tokens_per_second
    transfer_seconds = blocks * KV_BYTES_PER_BLOCK / _bandwidth(tier)
    saved = (weights.first_token + weights.recomputed) * compute_seconds
    import_cost = (weights.first_token + weights.link_use) * transfer_seconds
    export_cost = weights.link_use * transfer_seconds
    value = candidate.reuse_probability * max(saved - import_cost, 0.0) - export_cost
    if value <= 0:
        return None
    return ExportPlan(
        start=candidate.stored_blocks, blocks=blocks, tier=tier.tier, value=value
    )


def choose_tier(candidate: ExportCandidate, size: int) -> TierLoad | None:
    """Return the tier to write to, or ``None`` if no tier has room.

    Memory is used for prompts that are likely to be reused soon, and for all prompts
    while its use stays below `MEMORY_ADMISSION_SHARE`.
    """
    with_room = {
        load.tier: load for load in candidate.tiers if load.used + size <= load.limit
    }
    memory, disk = with_room.get(Tier.MEMORY), with_room.get(Tier.DISK)
    if memory is None or disk is None:
        return memory or disk
    below_limit = memory.used + size <= MEMORY_ADMISSION_SHARE * memory.limit
    return memory if below_limit or candidate.early_reuse_probability > 0.5 else disk


def _bandwidth(load: TierLoad) -> float:
    return load.bytes_per_second or DEFAULT_LINK_BYTES_PER_SECOND
