"""Tests of the order of revisions across restores of the store."""

from __future__ import annotations

import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.eras import (
    MAX_ERA,
    EraTracker,
    era_of,
    fence_floor,
    position,
    revision_of,
)


def test_positions_of_later_eras_are_greater() -> None:
    assert position(0, 7) == 7
    assert position(1, 900) < position(2, 3) < position(2, 4)
    assert (era_of(position(5, 42)), revision_of(position(5, 42))) == (5, 42)


def test_positions_and_fences_of_the_last_era_are_exact_in_all_codecs() -> None:
    assert position(MAX_ERA, 2**40 - 1) < 2**63
    assert fence_floor(MAX_ERA + 1) <= 2**53


def test_new_era_is_dated_and_kept() -> None:
    eras = EraTracker()
    assert eras.observe(None, 1.0) == 0
    assert eras.observe(3, 2.0) == 3
    assert eras.observe(3, 5.0) == 3
    assert eras.observe(None, 6.0) == 3
    assert (eras.current, eras.since) == (3, 2.0)


def test_answer_of_an_earlier_era_is_rejected() -> None:
    eras = EraTracker(current=3, since=0.0)
    with pytest.raises(TransportError, match="era 2"):
        eras.observe(2, 1.0)
    assert eras.current == 3
