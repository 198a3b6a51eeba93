"""Tests of the division of engines between long and short prompts."""

from __future__ import annotations

from dataclasses import replace
from statistics import mean, median

from gypsumsail.placing.pools import EnginePools, PoolEngine, short_engines
from gypsumsail.placing.prompt_mix import Division, divide
from tests.placing.interference_model import LONG, SHORT, prompts, simulate

SEEDS = range(3)
ENGINE_COUNT = 24
ENGINES = [PoolEngine(name=f"e{number}", zone=f"z{number % 3}") for number in range(30)]


def division(*, current: Division | None = None, speed: float = 1.0) -> Division | None:
    """Divide for both kinds, on engines with a multiple of the usual prefill speed."""
    found = (prompts(LONG), prompts(SHORT))
    return divide(
        [replace(item, prefill_seconds=item.prefill_seconds / speed) for item in found],
        ENGINE_COUNT,
        current,
    )


def test_short_prompts_are_in_time_beside_long_ones() -> None:
    """Guards against short prompts that wait behind the prefills of long ones."""
    mixed = [simulate(seed, divided=False) for seed in SEEDS]
    divided = [simulate(seed, divided=True) for seed in SEEDS]
    assert mean(item.share(SHORT) for item in divided) >= 0.95
    assert mean(item.share(SHORT) for item in mixed) < 0.75
    for before, after in zip(mixed, divided, strict=True):
        assert median(after.short_seconds) < 0.8 * median(before.short_seconds)


def test_long_prompts_keep_their_share_of_the_engines() -> None:
    """Guards against short prompts in time at the cost of the long ones."""
    mixed = mean(simulate(seed, divided=False).share(LONG) for seed in SEEDS)
    divided = mean(simulate(seed, divided=True).share(LONG) for seed in SEEDS)
    assert divided >= mixed - 0.05


def test_engines_that_prefill_fast_are_not_divided() -> None:
    assert division() is not None
    assert division(speed=2.0) is None


def test_division_ends_only_when_prompts_interfere_clearly_less() -> None:
    """Guards against a division that begins and ends with each change of speed."""
    current = division()
    assert division(speed=1.9, current=current) is not None
    assert division(speed=3.0, current=current) is None


def test_short_prompts_with_the_longer_goal_are_not_kept_apart() -> None:
    """They may wait, so that dividing the engines would only waste some."""
    found = [prompts(LONG), replace(prompts(SHORT), latency_goal=1.2)]
    assert divide(found, ENGINE_COUNT, None) is None


def test_short_prompts_that_mostly_prefill_are_not_kept_apart() -> None:
    """Guards against long prompts without engines in a burst."""
    short = replace(prompts(SHORT), decode_share_seconds=0.03)
    assert divide([prompts(LONG), short], ENGINE_COUNT, None) is None


def test_each_zone_has_engines_of_both_kinds() -> None:
    """Guards against a zone that is cut off without engines for a kind."""
    for share in (0.1, 0.5, 0.9):
        found = short_engines(ENGINES, share, "llm")
        for zone in ("z0", "z1", "z2"):
            names = {engine.name for engine in ENGINES if engine.zone == zone}
            assert 0 < len(names & found) < len(names)


def test_vms_with_other_shares_agree_on_most_engines() -> None:
    """Guards against VMs that send long prompts to each other's short engines."""
    assert short_engines(ENGINES, 0.2, "llm") <= short_engines(ENGINES, 0.3, "llm")


def test_loss_of_half_of_the_engines_leaves_both_kinds() -> None:
    found = short_engines(ENGINES[::2], 0.2, "llm")
    assert 0 < len(found) < len(ENGINES[::2])


def test_demand_is_told_only_where_goals_differ() -> None:
    """Guards against gossip that grows where nothing is to be divided."""
    pools = EnginePools("llm")
    pools.record("chat", 0.415, 600, 1.0)
    pools.record("other", 0.415, 6_000, 1.0)
    assert not pools.own_demand(1.0)
    pools.record("survey", 0.635, 6_000, 1.0)
    assert set(pools.own_demand(1.0)) == {"chat", "other", "survey"}
