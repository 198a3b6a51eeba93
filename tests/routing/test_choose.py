"""Tests of the selection of an engine."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import example, given, settings
from hypothesis import strategies as st
import pytest

from gypsumsail.document.models import TierWeights
from gypsumsail.routing.choose import choose
from gypsumsail.routing.cost import best_plan, importable_blocks, weighted_cost
from gypsumsail.routing.models import (
    Candidate,
    Chosen,
    ImportablePrefix,
    RefusalReason,
    Refused,
    RouteRequest,
)
from gypsumsail.routing.policies import POLICIES, ExpectedFirstToken, Policy

from .common import WEIGHTS, make_candidate, make_importable_prefix, make_request

DEFAULT = ExpectedFirstToken()


def chosen(
    request: RouteRequest, *candidates: Candidate, policy: Policy = DEFAULT
) -> Chosen:
    choice = choose(policy, request, candidates, WEIGHTS, Random(1))
    assert isinstance(choice, Chosen)
    return choice


def test_selects_the_engine_with_the_cached_prefix() -> None:
    choice = chosen(
        make_request(), make_candidate("a"), make_candidate("b", cached_blocks=10)
    )
    assert choice.target == "b"
    assert choice.expected.computed_tokens == 0


def test_avoids_the_engine_with_the_cached_prefix_if_its_queue_is_long() -> None:
    busy = make_candidate("b", cached_blocks=10, tokens_ahead=50_000)
    choice = chosen(
        make_request(stored_prefixes=(make_importable_prefix(10),)),
        make_candidate("a"),
        busy,
    )
    assert choice.target == "a"
    assert choice.kept is not None
    assert len(choice.kept.names) == 10


def test_recomputes_when_the_link_is_slow() -> None:
    stored_prefix = make_importable_prefix(10, bytes_per_second=100.0)
    assert (
        chosen(make_request(stored_prefixes=(stored_prefix,)), make_candidate("a")).kept
        is None
    )


def test_imports_within_the_link_budget() -> None:
    stored_prefix = make_importable_prefix(10, allowed_bytes=4500.0)
    choice = chosen(
        make_request(stored_prefixes=(stored_prefix,)),
        make_candidate("a", cached_blocks=2),
    )
    assert choice.kept is not None
    assert len(choice.kept.names) == 2 + 4
    assert choice.expected.link_bytes == 4000
    assert choice.expected.computed_tokens == 4 * 256


def test_high_link_weight_prefers_computing_to_importing() -> None:
    stored_prefix = make_importable_prefix(10, bytes_per_second=5000.0)
    request = make_request(stored_prefixes=(stored_prefix,))
    frugal = TierWeights(first_token=0.1, recomputed=0.1, link_use=0.8)
    eager = TierWeights(first_token=0.5, recomputed=0.5, link_use=0.0)
    assert best_plan(request, make_candidate("a"), frugal).stored_prefix is None
    assert best_plan(request, make_candidate("a"), eager).stored_prefix is not None


@settings(derandomize=True, max_examples=300)
@given(
    st.integers(0, 12),
    st.integers(0, 8000),
    st.integers(1, 12),
    st.integers(0, 20_000),
    st.integers(200, 4_000),
    st.integers(0, 12_000),
    st.sampled_from([(0.6, 0.3, 0.1), (0.2, 0.2, 0.6), (1.0, 0.0, 0.0)]),
)
@example(0, 3000, 10, 0, 1500, 12_000, (0.6, 0.3, 0.1))
@example(0, 3000, 10, 900, 1500, 12_000, (0.6, 0.3, 0.1))
def test_best_plan_is_as_good_as_trying_each_size(
    cached: int,
    ahead: int,
    blocks: int,
    queued: int,
    speed: int,
    allowed: int,
    parts: tuple[float, float, float],
) -> None:
    weights = TierWeights(first_token=parts[0], recomputed=parts[1], link_use=parts[2])
    candidate = make_candidate("a", cached_blocks=cached, tokens_ahead=ahead)
    stored_prefix = make_importable_prefix(
        blocks,
        queued_bytes=queued,
        bytes_per_second=float(speed),
        allowed_bytes=float(allowed),
    )
    request = make_request(prompt_tokens=12 * 256, stored_prefixes=(stored_prefix,))
    best = best_plan(request, candidate, weights)
    sizes = range(importable_blocks(candidate, stored_prefix) + 1)
    naive = min(
        weighted_cost(request, candidate, weights, stored_prefix, size)
        for size in sizes
    )
    assert best.weighted_cost == pytest.approx(naive)


def test_refuses_a_request_that_cannot_meet_its_deadline() -> None:
    busy = make_candidate("a", tokens_ahead=10_000)
    delays = set()
    for seed in range(5):
        choice = choose(
            DEFAULT, make_request(deadline=5.0), [busy], WEIGHTS, Random(seed)
        )
        assert isinstance(choice, Refused)
        assert choice.reason is RefusalReason.DEADLINE
        assert 7.0 < choice.retry_after < 13.0
        delays.add(choice.retry_after)
    assert len(delays) == 5


def test_selects_a_more_expensive_engine_that_meets_the_deadline() -> None:
    slow = make_candidate("a", cached_blocks=10, tokens_ahead=4000)
    weights = TierWeights(first_token=0.0, recomputed=1.0, link_use=0.0)
    choice = choose(
        DEFAULT,
        make_request(deadline=3.0),
        [slow, make_candidate("b")],
        weights,
        Random(1),
    )
    assert isinstance(choice, Chosen)
    assert choice.target == "b"


@pytest.mark.parametrize("name", sorted(POLICIES))
def test_request_is_refused_without_engines(name: str) -> None:
    choice = choose(POLICIES[name], make_request(), [], WEIGHTS, Random(1))
    assert isinstance(choice, Refused)
    assert choice.reason is RefusalReason.NO_TARGET


def test_entries_with_the_same_stale_report_spread_requests() -> None:
    engines = [
        make_candidate(f"e{index}", staleness=1.0, tokens_ahead=index * 10)
        for index in range(5)
    ]
    counts: Counter[str] = Counter()
    for seed in range(700):
        choice = choose(DEFAULT, make_request(), engines, WEIGHTS, Random(seed))
        assert isinstance(choice, Chosen)
        counts[choice.target] += 1
    assert max(counts.values()) < 2 * 700 / 5


def test_round_robin_selects_engines_in_turn() -> None:
    engines = [make_candidate(name) for name in "cab"]
    policy = POLICIES["round-robin"]
    targets = [
        chosen(make_request(sequence=index), *engines, policy=policy).target
        for index in range(6)
    ]
    assert targets == list("abcabc")


def test_least_loaded_selects_the_engine_with_fewest_requests() -> None:
    engines = [make_candidate("a", requests=3), make_candidate("b", requests=1)]
    policy = POLICIES["least-loaded"]
    assert chosen(make_request(), *engines, policy=policy).target == "b"


def test_sticky_moves_only_customers_of_a_removed_engine() -> None:
    policy = POLICIES["sticky-by-customer"]
    engines = [make_candidate(f"e{index}") for index in range(5)]
    for number in range(50):
        request = make_request(customer=f"c{number}")
        before = chosen(request, *engines, policy=policy).target
        after = chosen(request, *engines[1:], policy=policy).target
        assert before in (after, "e0")


def test_prefix_affinity_ignores_the_store() -> None:
    engines = [make_candidate("a"), make_candidate("b", cached_blocks=1, requests=9)]
    request = make_request(stored_prefixes=(make_importable_prefix(10),))
    choice = chosen(request, *engines, policy=POLICIES["prefix-affinity"])
    assert choice.target == "b"
    assert choice.kept is None


@pytest.mark.parametrize(("suffix", "imported_names"), [("", 0), ("-store", 10)])
def test_baselines_import_all_or_nothing(suffix: str, imported_names: int) -> None:
    stored_prefix: ImportablePrefix = make_importable_prefix(10, bytes_per_second=1.0)
    policy = POLICIES[f"least-loaded{suffix}"]
    choice = chosen(
        make_request(stored_prefixes=(stored_prefix,)),
        make_candidate("a"),
        policy=policy,
    )
    assert len(choice.kept.names if choice.kept else ()) == imported_names
