"""Tests of the decision which engines to avoid."""

from __future__ import annotations

from gypsumsail.entry.engine_health import LOSS_WINDOW_SECONDS, EngineHealth


def test_unreachable_engine_is_avoided_until_its_next_report() -> None:
    health = EngineHealth()
    health.on_unreachable("a")
    assert not health.is_healthy("a", 0.0)
    assert health.is_healthy("b", 0.0)
    health.on_report("a")
    assert health.is_healthy("a", 0.0)


def test_engine_with_repeated_losses_is_avoided_within_the_window() -> None:
    health = EngineHealth()
    health.on_connection_lost("a", 0.0)
    assert health.is_healthy("a", 0.0)
    health.on_connection_lost("a", 1.0)
    health.on_report("a")
    assert not health.is_healthy("a", LOSS_WINDOW_SECONDS)
    assert health.is_healthy("a", LOSS_WINDOW_SECONDS + 0.1)
    health.on_connection_lost("a", LOSS_WINDOW_SECONDS + 0.5)
    assert not health.is_healthy("a", LOSS_WINDOW_SECONDS + 0.6)
