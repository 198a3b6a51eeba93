"""Tests of which engines jobs keep off."""

from __future__ import annotations

from gypsumsail.entry.engine_health import LOSS_WINDOW_SECONDS, EngineHealth


def test_an_engine_that_took_no_work_is_kept_off_until_it_is_read() -> None:
    health = EngineHealth()
    health.on_not_taken("a")
    assert not health.is_good("a", 0.0)
    assert health.is_good("b", 0.0)
    health.on_read("a")
    assert health.is_good("a", 0.0)


def test_an_engine_that_breaks_answers_is_kept_off_for_a_while() -> None:
    health = EngineHealth()
    health.on_lost("a", 0.0)
    assert health.is_good("a", 0.0)
    health.on_lost("a", 1.0)
    health.on_read("a")
    assert not health.is_good("a", LOSS_WINDOW_SECONDS)
    assert health.is_good("a", LOSS_WINDOW_SECONDS + 0.1)
    health.on_lost("a", LOSS_WINDOW_SECONDS + 0.5)
    assert not health.is_good("a", LOSS_WINDOW_SECONDS + 0.6)
