"""Tests of cold engines in the soak and of the check of what they get."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from soak.cold_targets import LIMITS, cold_findings, is_judged
from soak.lateness import Lateness
from stand_ins.v1_cold import ColdPhase, ColdTime, EngineRequest, LateEntries

ALLOWED = int(LIMITS.allowed())


def requests(
    count: int,
    since: float,
    seconds: float,
    *,
    engine: str = "e1",
    is_cold: bool = True,
) -> list[EngineRequest]:
    """Return requests at equal intervals in a time that begins at ``since``."""
    cold = ColdTime(since, since + 3.0, 0.0) if is_cold else None
    return [
        EngineRequest(since + n * seconds / count, engine, "z1", f"{n:x}", cold)
        for n in range(count)
    ]


@pytest.mark.parametrize(
    "found",
    [
        requests(ALLOWED, 10.0, 0.5),
        requests(2 * ALLOWED, 10.0, 2.2),
        requests(2 * ALLOWED, 10.0, 0.5, is_cold=False),
        requests(ALLOWED, 10.0, 0.5) + requests(ALLOWED, 10.0, 0.5, engine="e2"),
        requests(ALLOWED, 10.0, 0.5) + requests(ALLOWED, 11.0, 0.5),
    ],
    ids=["few", "slow", "not cold", "two engines", "next second"],
)
def test_requests_within_the_bound_are_sound(found: list[EngineRequest]) -> None:
    assert cold_findings(found) == []


def test_burst_over_the_end_of_a_clock_second_is_found() -> None:
    found = requests(6, 10.8, 0.1) + requests(ALLOWED - 5, 11.2, 0.5)
    (finding,) = cold_findings(found, started_at=10.0)
    assert finding.startswith(f"COLD: e1 got {ALLOWED + 1} requests in a second")


@pytest.mark.parametrize(("target", "is_found"), [("e1", False), ("e2", True)])
def test_delay_of_the_link_of_the_engine_raises_the_bound(
    target: str, is_found: bool
) -> None:
    lateness = Lateness()
    lateness.record(10.0, 11.0, 0.3, target)
    found = requests(ALLOWED + 1, 10.5, 0.5)
    assert bool(cold_findings(found, lateness=lateness)) is is_found


def test_engine_crashes_well_above_the_bound_only() -> None:
    phase = ColdPhase(LIMITS)
    phase.begin(10.0, 0.0)
    times = [10.0 + 0.01 * n for n in range(2 * ALLOWED + 1)]
    assert [phase.crashes_at(at) for at in times] == [False] * (2 * ALLOWED) + [True]
    assert not phase.crashes_at(11.5)
    assert not phase.crashes_at(10.0 + LIMITS.seconds)


@pytest.mark.parametrize(
    ("notice", "faults", "judged_from"),
    [
        (0.0, [], 10.0),
        (2.0, [], 12.0),
        (2.0, [(9.0, 10.5)], 13.5),
        (0.0, [(9.0, 10.5)], 10.0),
    ],
    ids=["known", "by its entry", "while the store was down", "known without store"],
)
def test_requests_count_once_vms_can_know_that_the_engine_is_cold(
    notice: float, faults: list[tuple[float, float]], judged_from: float
) -> None:
    cold = ColdTime(10.0, 20.0, notice)
    found = [EngineRequest(at / 10, "e1", "z1", "a", cold) for at in range(100, 200)]
    first = next(request.at for request in found if is_judged(request, faults))
    assert first == pytest.approx(judged_from)


def test_only_a_new_life_forgets_the_requests_of_the_cold_one() -> None:
    phase = ColdPhase(LIMITS)
    phase.begin(10.0, 0.0)
    assert not any(phase.crashes_at(10.1) for _ in range(2 * ALLOWED))
    phase.begin(10.2, 0.0)
    assert phase.crashes_at(10.3)
    phase.restart(10.4, 0.0)
    assert not phase.crashes_at(10.5)


def test_cold_time_ends() -> None:
    phase = ColdPhase(LIMITS)
    assert phase.left_ms(10.0) == 0
    phase.begin(10.0, 2.0)
    assert phase.left_ms(11.0) == (LIMITS.seconds - 1.0) * 1000
    assert phase.time_at(12.9) == (10.0, 13.0, 2.0)
    assert phase.time_at(13.0) is None


async def test_older_entry_never_replaces_a_newer_one_in_the_list() -> None:
    listed: list[int] = []

    async def put(spec: dict[str, Any]) -> None:
        listed.append(spec["number"])

    entries = LateEntries("e1", put)
    for number in range(20):
        entries.write({"number": number})
    assert not listed
    await asyncio.gather(*entries.tasks)
    assert listed == sorted(listed)
    assert listed[-1] == 19


async def test_stall_of_the_soak_is_recorded_as_lateness() -> None:
    lateness = Lateness()
    watch = asyncio.create_task(lateness.async_watch(0.2))
    await asyncio.sleep(0.0)
    time.sleep(0.3)  # noqa: ASYNC251 - the stall
    await watch
    assert lateness.longest("e1", 0.0, float("inf")) >= 0.2
