"""Tests of assigning keys by rendezvous hashing."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumsail.core.rendezvous import owner, rank

MEMBERS = [f"entry-{number}" for number in range(1, 8)]


@settings(derandomize=True)
@given(key=st.text(max_size=20), order=st.permutations(MEMBERS))
def test_member_order_does_not_change_the_owner(key: str, order: list[str]) -> None:
    assert owner(key, order) == owner(key, MEMBERS) == rank(key, order)[0]


@settings(derandomize=True)
@given(key=st.text(max_size=20), lost=st.sampled_from(MEMBERS))
def test_removing_a_member_moves_only_its_keys(key: str, lost: str) -> None:
    remaining = [member for member in MEMBERS if member != lost]
    before = owner(key, MEMBERS)
    assert owner(key, remaining) == (
        rank(key, MEMBERS)[1] if before == lost else before
    )


def test_keys_are_spread_evenly() -> None:
    owned = Counter(owner(f"key-{number}", MEMBERS) for number in range(7_000))
    assert min(owned.values()) > 850
