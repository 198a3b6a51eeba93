"""Tests of the rule on which calls may use the cached context of which others."""

from __future__ import annotations

from itertools import combinations
import re

from hypothesis import given
from hypothesis import strategies as st

from gypsumsail.sharing.scopes import (
    isolated_for_call,
    shared_scope,
    unshared_scope,
    version_of,
)

NAMES = st.sampled_from(["", "a", "b", "a/b", "/b", "a\0b", "1", "é", "a b\r\n"])
ISOLATED = st.frozensets(NAMES, max_size=4)
CALLS = st.tuples(NAMES, st.integers(1, 12), ISOLATED, ISOLATED)
"""Customer, version of the weights, isolated when accepted, and when it is sent."""


def scope_of(call: tuple[str, int, frozenset[str], frozenset[str]]) -> str:
    customer, version, when_accepted, current = call
    scope = shared_scope(customer, version, isolated_for_call(when_accepted, current))
    assert scope is not None
    return scope


@given(CALLS, CALLS)
def test_customers_meet_in_a_scope_only_if_no_document_isolates_one(
    one: tuple[str, int, frozenset[str], frozenset[str]],
    other: tuple[str, int, frozenset[str], frozenset[str]],
) -> None:
    """WALL: a newly isolated customer's calls got into the scope of all others."""
    if scope_of(one) != scope_of(other):
        return
    assert one[1] == other[1]
    if one[0] != other[0]:
        isolated = one[2] | one[3] | other[2] | other[3]
        assert not isolated & {one[0], other[0]}


@given(CALLS)
def test_scope_can_be_sent_in_a_header_and_names_its_version(
    call: tuple[str, int, frozenset[str], frozenset[str]],
) -> None:
    scope = scope_of(call)
    assert re.fullmatch(r"[!-~]+", scope)
    assert version_of(scope) == call[1]


def test_calls_that_isolate_nobody_share() -> None:
    none: frozenset[str] = frozenset()
    others = frozenset({"c"})
    assert shared_scope("a", 3, none) == shared_scope("", 3, none) == "3"
    assert shared_scope("a", 3, others) == shared_scope("b", 3, others)


def test_separate_versions_customers_and_groups_have_separate_scopes() -> None:
    none, one, two = frozenset(""), frozenset({"a"}), frozenset({"a", "b"})
    scopes = [
        shared_scope("", 1, none),
        shared_scope("", 2, none),
        shared_scope("a", 1, one),
        shared_scope("", 1, one),
        shared_scope("", 1, two),
        shared_scope("", 1, frozenset({"a\0b"})),
        unshared_scope(),
        unshared_scope(),
    ]
    assert all(first != second for first, second in combinations(scopes, 2))


def test_nothing_is_shared_on_unknown_weights() -> None:
    assert shared_scope("a", 0, frozenset()) is None
    assert version_of(unshared_scope()) is None
