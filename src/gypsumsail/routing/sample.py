"""Samples the engines that are considered for a request in a large fleet."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random

from gypsumsail.routing.const import MAX_CANDIDATES


def sample_targets(
    targets: Sequence[str], cached_blocks: Mapping[str, int], rng: Random
) -> list[str]:
    """Return at most `MAX_CANDIDATES` engines, in the given order.

    Up to half of them are the engines with the most cached blocks of the prompt. The
    others are sampled at random, which spreads requests about as well as considering
    all engines.
    """
    if len(targets) <= MAX_CANDIDATES:
        return list(targets)
    holders = [target for target in targets if cached_blocks.get(target, 0) > 0]
    holders.sort(key=lambda target: cached_blocks[target], reverse=True)
    picked = set(holders[: MAX_CANDIDATES // 2])
    others = [target for target in targets if target not in picked]
    picked.update(rng.sample(others, MAX_CANDIDATES - len(picked)))
    return [target for target in targets if target in picked]
