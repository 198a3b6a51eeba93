"""Tests that a failure of one task ends neither the others nor the process."""

from __future__ import annotations

import asyncio
import logging

import pytest

from gypsumsail.gossip.endpoint import GossipEndpoint
from gypsumsail.gossip.messages import encode
from gypsumsail.metrics.registry import MetricsRegistry
from gypsumsail.vm.const import FAILURE_LOG_SECONDS, TASK_RESTART_SECONDS
from gypsumsail.vm.supervision import Supervisor
from tests.gossip.common import message


def fail(now: float) -> None:
    raise UnicodeEncodeError("utf-8", "\ud83d", 0, 1, "surrogates not allowed")


def test_failing_step_is_counted_and_logged_seldom(
    caplog: pytest.LogCaptureFixture,
) -> None:
    registry = MetricsRegistry()
    supervisor = Supervisor(registry)
    with caplog.at_level(logging.ERROR):
        for step in range(5):
            supervisor.tick("gossip", fail, step * FAILURE_LOG_SECONDS / 4)
    assert 'gypsumsail_task_failures_total{task="gossip"} 5' in registry.exposition()
    assert len(caplog.records) == 2


async def test_failing_background_task_is_restarted() -> None:
    registry = MetricsRegistry()
    starts: list[float] = []
    is_running = asyncio.Event()

    async def work() -> None:
        starts.append(asyncio.get_running_loop().time())
        if len(starts) == 1:
            raise ValueError("once")
        is_running.set()
        await asyncio.Event().wait()

    task = asyncio.create_task(Supervisor(registry).async_run("watch", work))
    async with asyncio.timeout(TASK_RESTART_SECONDS + 2.0):
        await is_running.wait()
    task.cancel()
    assert 'gypsumsail_task_failures_total{task="watch"} 1' in registry.exposition()


def test_datagram_that_can_not_be_applied_costs_no_other() -> None:
    applied: list[str] = []

    def apply(found: object) -> None:
        applied.append("message")
        if len(applied) == 1:
            raise KeyError("unexpected")

    endpoint = GossipEndpoint(apply, fail, fail, fail, fail, fail)  # type: ignore[arg-type]
    for _ in range(2):
        endpoint.datagram_received(encode(message()), ("10.0.0.2", 7580))
    assert len(applied) == 2
    assert endpoint.invalid_datagrams == 1
