"""Tests of the cold engine that the soak uses."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from stand_ins.v1_cold import MAX_LISTING_SECONDS, ColdLimits
from stand_ins.v1_object_store import V1ObjectStore
from stand_ins.v1_platform import ExecutionLog, Target

LIMITS = ColdLimits(seconds=30.0, per_second=2.0, over=1.0, slack=1.0)
CRASH_COUNT = 7
"""Requests in a second at which a cold engine crashes: more than 2 x (2 x 1 + 1)."""


@pytest_asyncio.fixture
async def engine() -> AsyncIterator[Target]:
    """Return a cold engine that listens on loopback."""
    target = Target("e1", V1ObjectStore(), ExecutionLog(), "llm")
    await target.async_start("127.0.0.1")
    target.use_cold_times(LIMITS, is_cold=True)
    yield target
    await target.async_stop()


async def async_head(engine: Target, path: str, **headers: str) -> str:
    """Send a request; return the head of the answer, or nothing if there is none."""
    reader, writer = await asyncio.open_connection(engine.host, engine.port)
    lines = [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([f"GET {path} HTTP/1.1", *lines, "", ""]).encode())
    try:
        return (await reader.readuntil(b"\r\n\r\n")).decode()
    except (ConnectionError, asyncio.IncompleteReadError):
        return ""
    finally:
        writer.close()


@pytest.mark.parametrize("path", ["/healthz", "/v1/report"])
async def test_health_answers_say_how_long_the_engine_is_cold(
    engine: Target, path: str
) -> None:
    head = await async_head(engine, path)
    left = int(head.partition("Gypsumsail-Cold-Ms: ")[2].split("\r\n")[0])
    assert 20_000 < left <= 30_000
    assert not engine.execution_log.requests


async def test_entry_is_listed_late_with_the_time_as_of_its_writing(
    engine: Target,
) -> None:
    await engine.register()
    assert "e1" not in engine.store.objects.get("servers", {})
    await asyncio.sleep(MAX_LISTING_SECONDS + 0.2)
    left = engine.store.objects["servers"]["e1"]["spec"]["cold_left_ms"]
    assert 29_000 < left <= 30_000


@pytest.mark.parametrize(
    "refused",
    [{"gypsumsail_target_instance": "e2"}, {"gypsumsail_expect_version": "9"}],
    ids=["other instance", "other version"],
)
async def test_requests_answered_421_are_no_load(
    engine: Target, refused: dict[str, str]
) -> None:
    for _ in range(CRASH_COUNT):
        head = await async_head(engine, "/x", gypsumsail_request_id="a", **refused)
        assert head.startswith("HTTP/1.1 421 ")
    assert not engine.execution_log.cold_crashes
    assert all(request.cold is None for request in engine.execution_log.requests)


async def test_too_many_requests_crash_the_engine_and_run_nothing_more(
    engine: Target,
) -> None:
    heads = [
        asyncio.create_task(async_head(engine, "/x", gypsumsail_request_id=f"{n}"))
        for n in range(CRASH_COUNT)
    ]
    await asyncio.gather(*heads)
    log = engine.execution_log
    assert len(log.cold_crashes) == 1
    assert len(log.requests) == CRASH_COUNT
    assert len(log.executions) == CRASH_COUNT - 1
    assert await async_head(engine, "/healthz") == ""


def test_restart_of_an_engine_that_was_down_needs_no_notice() -> None:
    target = Target("e1", V1ObjectStore(), ExecutionLog(), "llm")
    notices = []

    async def restart(*, is_down: bool) -> None:
        target.use_cold_times(LIMITS, is_cold=False)
        if is_down:
            target.server.start_resetting()
        target.restart()
        assert target.cold is not None
        notices.append(target.cold.time.notice_seconds)
        target.entries.stop()

    asyncio.run(restart(is_down=False))
    asyncio.run(restart(is_down=True))
    assert notices == [2.0, 0.0]
