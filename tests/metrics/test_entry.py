"""Tests of the metrics of an entry."""

from __future__ import annotations

import asyncio
from collections import Counter
import time

from gypsumsail.core.errors import OverloadedError, RunState
from gypsumsail.metrics.entry import EntryMetrics
from gypsumsail.metrics.loop import LoopMonitor
from gypsumsail.metrics.process import read_process_usage
from gypsumsail.peers.diagnostics import PeerCounters
from gypsumsail.targets.port import AnswerEnd, FinishReason

BLOCKED_SECONDS = 0.4


def block_loop() -> None:
    time.sleep(BLOCKED_SECONDS)


def test_prompt_token_sources_and_errors_are_exported() -> None:
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


async def test_loop_delay_and_link_counters_are_exported() -> None:
    metrics = EntryMetrics()
    monitor = LoopMonitor(metrics.loop_delay.labels())
    await monitor.async_setup()
    while not metrics.loop_delay.labels().quantile_histogram.get_total_count():
        await asyncio.sleep(0)
        block_loop()
    await monitor.async_unload()
    counters = PeerCounters(bytes_sent=10, sent_by_name=Counter({"ask": 3}))
    metrics.update_links(counters)
    metrics.update_process(read_process_usage())

    lines = dict(
        line.rsplit(" ", 1)
        for line in metrics.registry.exposition().splitlines()
        if not line.startswith("#")
    )

    # The loop was blocked for 0.4 s during a sleep of 0.25 s, which overran by at
    # least 0.15 s.
    assert lines['gypsumsail_loop_delay_seconds_bucket{le="0.1"}'] == "0"
    assert lines['gypsumsail_link_bytes_total{direction="sent"}'] == "10"
    assert lines['gypsumsail_link_messages_total{message="ask"}'] == "3"
    assert float(lines["process_cpu_seconds_total"]) > 0
    assert float(lines["process_resident_memory_bytes"]) > 1_000_000
