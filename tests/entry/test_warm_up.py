"""Tests of when an entry that started turns ready."""

from __future__ import annotations

import pytest

from gypsumsail.entry.warm_up import WARM_UP_SECONDS, may_turn_ready


@pytest.mark.parametrize(
    ("documents", "seen", "waited", "ready"),
    [
        (0, set(), 0.0, False),
        (1, set(), 0.0, False),
        (1, {"a"}, 0.0, False),
        (1, {"a", "b"}, 0.0, True),
        (0, set(), WARM_UP_SECONDS, True),
    ],
)
def test_an_entry_waits_for_its_engines_and_never_for_long(
    documents: int, seen: set[str], waited: float, ready: bool
) -> None:
    assert ready is may_turn_ready(
        documents=documents, engines={"a", "b"}, seen=seen, waited=waited
    )
