"""Tests of the estimate of answer lengths."""

from __future__ import annotations

from gypsumsail.routing.answer_length import AnswerLengthEstimator


def test_estimate_starts_at_max_tokens_and_follows_answers() -> None:
    lengths = AnswerLengthEstimator()
    assert lengths.expected("ares", 500) == 500
    for _ in range(100):
        lengths.observe("ares", max_tokens=500, answer_tokens=50)
    assert 50 <= lengths.expected("ares", 500) <= 75
    assert lengths.expected("other", 500) == 500
    for _ in range(300):
        lengths.observe("ares", max_tokens=500, answer_tokens=600)
    assert 450 <= lengths.expected("ares", 500) <= 500
