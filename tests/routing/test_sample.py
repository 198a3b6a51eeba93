"""Tests of sampling engines."""

from __future__ import annotations

from collections import Counter
from random import Random

from gypsumsail.routing.sample import sample_targets

TARGETS = [f"e{index}" for index in range(84)]


def test_few_engines_are_all_considered() -> None:
    assert sample_targets(TARGETS[:16], {}, Random(1)) == TARGETS[:16]


def test_engines_with_cached_blocks_are_included_and_others_sampled_evenly() -> None:
    cached = {"e3": 5, "e4": 9, "e5": 0}
    drawn: Counter[str] = Counter()
    for seed in range(300):
        picked = sample_targets(TARGETS, cached, Random(seed))
        assert len(picked) == len(set(picked)) == 16
        assert {"e3", "e4"} <= set(picked)
        drawn.update(picked)
    assert max(count for target, count in drawn.items() if target not in cached) < 100
    many = {target: index for index, target in enumerate(TARGETS)}
    assert set(TARGETS[-8:]) <= set(sample_targets(TARGETS, many, Random(1)))
