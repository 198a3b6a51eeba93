"""Tests of when a newly started entry becomes ready."""

from __future__ import annotations

import pytest

from gypsumsail.entry.warm_up import WARM_UP_SECONDS, may_become_ready


@pytest.mark.parametrize(
    ("documents", "reported", "elapsed", "ready"),
    [
        (0, set(), 0.0, False),
        (1, set(), 0.0, False),
        (1, {"a"}, 0.0, False),
        (1, {"a", "b"}, 0.0, True),
        (0, set(), WARM_UP_SECONDS, True),
    ],
)
def test_entry_waits_for_engine_reports_up_to_the_warm_up_limit(
    documents: int, reported: set[str], elapsed: float, ready: bool
) -> None:
    assert ready is may_become_ready(
        documents=documents, engines={"a", "b"}, reported=reported, elapsed=elapsed
    )
