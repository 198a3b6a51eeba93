"""Tests of weighted max-min fairness."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from gypsumsail.limits.fair_share import Claim, fair_level, max_min_shares

CLAIMS = st.lists(
    st.tuples(st.integers(0, 5), st.integers(0, 100)), min_size=1, max_size=8
).map(
    lambda pairs: [
        Claim(name=str(index), weight=float(weight), wanted=float(wanted))
        for index, (weight, wanted) in enumerate(pairs)
    ]
)


def naive_shares(capacity: float, claims: list[Claim]) -> dict[str, float]:
    """Raise all shares together, in proportion to weight, until demand is met."""
    shares = {claim.name: 0.0 for claim in claims}
    left = capacity
    for _ in range(len(claims) + 1):
        unsatisfied = [
            c for c in claims if c.weight and shares[c.name] < c.wanted - 1e-9
        ]
        if not unsatisfied or left <= 1e-9:
            break
        weight = sum(claim.weight for claim in unsatisfied)
        step = min((c.wanted - shares[c.name]) / c.weight for c in unsatisfied)
        step = min(step, left / weight)
        for claim in unsatisfied:
            shares[claim.name] += step * claim.weight
        left -= step * weight
    return shares


@settings(derandomize=True, max_examples=500)
@given(st.integers(0, 300), CLAIMS)
def test_shares_match_the_naive_implementation(
    capacity: int, claims: list[Claim]
) -> None:
    shares = max_min_shares(float(capacity), claims)
    assert shares == pytest.approx(naive_shares(float(capacity), claims), abs=1e-6)
    assert sum(shares.values()) <= capacity + 1e-6
    level = fair_level(float(capacity), claims)
    for claim in claims:
        assert shares[claim.name] <= level * claim.weight + 1e-6
        if claim.weight and shares[claim.name] < claim.wanted - 1e-6:
            assert shares[claim.name] == pytest.approx(level * claim.weight)
