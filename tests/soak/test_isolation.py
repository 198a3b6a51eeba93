"""Tests that the soak finds uses of an isolated customer's parts, and no others."""

from __future__ import annotations

import pytest

from soak.isolation import IN_FORCE_SECONDS, IsolationChange, isolation_findings
from stand_ins.v1_part_cache import PartCache, PartUse

CHANGES = [
    IsolationChange(0.0, frozenset()),
    IsolationChange(10.0, frozenset("b")),
    IsolationChange(15.0, frozenset("bc")),
    IsolationChange(30.0, frozenset()),
]
IN_FORCE = 10.0 + IN_FORCE_SECONDS


@pytest.mark.parametrize(
    ("customer", "maker", "sent_at", "used_at", "count"),
    [
        ("a", "b", IN_FORCE + 0.1, 16.0, 1),
        ("b", "a", IN_FORCE + 0.1, 16.0, 1),
        ("b", "c", 29.0, 29.9, 2),
        ("b", "b", IN_FORCE + 0.1, 16.0, 0),
        ("a", "b", IN_FORCE - 0.1, 16.0, 0),
        ("a", "c", IN_FORCE + 0.1, 16.0, 0),
        ("a", "b", 29.9, 30.1, 0),
        ("a", "b", -0.1, 0.1, 0),
    ],
)
def test_uses_are_judged_by_the_documents_in_force(
    customer: str, maker: str, sent_at: float, used_at: float, count: int
) -> None:
    use = PartUse(used_at, "id", customer, "p", "made", maker)
    assert len(isolation_findings([use], CHANGES, {"id": sent_at})) == count
    assert not isolation_findings([use], CHANGES, {})


def test_cache_remembers_who_made_a_part_of_a_salt() -> None:
    cache = PartCache()
    assert not cache.read("s", ["p", "q"], "1", "a", 0.0)
    assert not cache.read("t", ["p"], "2", "b", 1.0)
    found = cache.read("s", ["p", "new", "q"], "3", "b", 2.0)
    assert found == [PartUse(2.0, "3", "b", "p", "1", "a")]
