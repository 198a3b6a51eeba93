"""Tests of sleeps that end together."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsumsail.core.aligned_sleep import (
    ALIGNMENT_SECONDS,
    aligned_delay,
    async_sleep_aligned,
)

MILLISECONDS = st.integers(0, 10_000_000)


@given(MILLISECONDS, st.sampled_from([0.05, 0.1, 0.2, 0.25, 0.6, 1.0, 2.0]))
def test_delay_ends_at_a_common_point_and_is_hardly_longer(
    now_ms: int, seconds: float
) -> None:
    now = now_ms / 1000
    delay = aligned_delay(now, seconds)
    assert seconds - 1e-3 <= delay < seconds + ALIGNMENT_SECONDS
    points = (now + delay) / ALIGNMENT_SECONDS
    assert points == pytest.approx(round(points), abs=1e-6)


async def test_tasks_wake_up_at_the_same_time() -> None:
    loop = asyncio.get_running_loop()
    ends: list[float] = []

    async def wait(delay: float) -> None:
        await asyncio.sleep(delay)
        await async_sleep_aligned(0.1)
        ends.append(loop.time())

    # All tasks start between two common points.
    start = aligned_delay(loop.time(), 0.0) + 0.005
    await asyncio.gather(*(wait(start + 0.005 * number) for number in range(5)))
    assert max(ends) - min(ends) < 0.02
