"""Tests of the entry's metrics."""

from __future__ import annotations

from gypsumsail.core.errors import OverloadedError, RunState
from gypsumsail.metrics.entry import EntryMetrics
from gypsumsail.targets.port import AnswerEnd, FinishReason


def test_shares_of_context_and_refusals_can_be_read() -> None:
    metrics = EntryMetrics()
    end = AnswerEnd(
        finish_reason=FinishReason.STOP,
        weight_version="v1",
        prompt_tokens=100,
        cached_tokens=30,
        imported_tokens=50,
        answer_tokens=7,
    )
    metrics.count_answer("claims", "armor", 0.25)
    metrics.count_tokens("claims", end)
    metrics.count_error("claims", OverloadedError("full", run_state=RunState.NOT_RUN))

    lines = metrics.registry.exposition().splitlines()

    prompt = 'gypsumsail_prompt_tokens_total{service="claims",source="%s"} %d'
    error = 'gypsumsail_errors_total{service="claims",code="overloaded",run="%s"} 1'
    assert {
        prompt % ("cached", 30),
        prompt % ("imported", 50),
        prompt % ("computed", 20),
        error % "not run",
        'gypsumsail_answers_total{service="claims",customer="armor"} 1',
        'gypsumsail_answer_seconds_bucket{service="claims",le="0.2"} 0',
        'gypsumsail_answer_seconds_bucket{service="claims",le="0.5"} 1',
    } <= set(lines)
