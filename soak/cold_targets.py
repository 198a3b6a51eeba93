"""Engines that become cold during a run, and the check of what they get then."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from collections.abc import Callable, Coroutine, Sequence
import random
from typing import TYPE_CHECKING, Any, Final

from soak.lateness import Lateness, store_was_up_for
from stand_ins.v1_cold import WINDOW_SECONDS, ColdLimits, EngineRequest

if TYPE_CHECKING:
    from soak.run import Soak
    from stand_ins.v1_platform import Target

LIMITS: Final = ColdLimits(seconds=3.0, per_second=4.0, over=1.5, slack=5.0)
"""Limits in the document and the settings.

A run sends some 12 streams a second to each engine, which is more than 4 x 1.5 + 5.
"""
MIN_DOWN_SECONDS: Final = 1.5
MAX_DOWN_SECONDS: Final = 3.5
"""Longest time for which the engines of a zone are down."""


def is_judged(
    request: EngineRequest, store_faults: Sequence[tuple[float, float]] = ()
) -> bool:
    """Return whether a request reached a cold engine that VMs knew to be cold.

    Where they learn it from the engine's entry, they must have had the store for the
    time of notice.
    """
    cold = request.cold
    if cold is None:
        return False
    if not cold.notice_seconds:
        return True
    learned = store_was_up_for(cold.notice_seconds, cold.since, store_faults)
    return request.at >= learned


def cold_findings(
    requests: Sequence[EngineRequest],
    store_faults: Sequence[tuple[float, float]] = (),
    lateness: Lateness | None = None,
    started_at: float = 0.0,
) -> list[str]:
    """Return the engines that got too many requests in a second while cold.

    For each engine only the second with the most requests beyond the bound is named.

    Parameters
    ----------
    store_faults
        Begin and end of each time in which the store was down or lacked entries.
    started_at
        Monotonic time from which the times in the findings are counted.
    """
    lateness = lateness or Lateness()
    findings = []
    for engine in sorted({request.engine for request in requests}):
        times = sorted(
            request.at
            for request in requests
            if request.engine == engine and is_judged(request, store_faults)
        )
        excess, text = 0.0, ""
        for index, since in enumerate(times):
            until = since + WINDOW_SECONDS
            count = bisect_left(times, until) - index
            allowed = LIMITS.allowed(lateness.longest(engine, since, until))
            if count - allowed > excess:
                excess = count - allowed
                text = (
                    f"COLD: {engine} got {count} requests in a second while cold, "
                    f"{allowed:g} are allowed ({since - started_at:.2f} s)"
                )
        findings += [text] if text else []
    return findings


def _engines(soak: Soak) -> list[Target]:
    return [target for target in soak.targets if target.is_engine]


async def _chill(soak: Soak, rng: random.Random) -> None:
    """Make some engines cold in the same life."""
    engines = _engines(soak)
    for engine in rng.sample(engines, rng.randint(1, len(engines))):
        await engine.async_become_cold()


async def _restart_engine(soak: Soak, rng: random.Random) -> None:
    """Restart an engine without a time in which it is down."""
    engine = rng.choice(_engines(soak))
    engine.restart(closes=rng.random() < 0.5)
    await engine.register(engine.registered_address)


async def _restart_zone(soak: Soak, rng: random.Random) -> None:
    """Let the engines of a zone, or all, be down for seconds and come back at once."""
    zone = rng.choice([*soak.zones, ""])
    engines = [engine for engine in _engines(soak) if zone in ("", engine.zone)]
    for engine in engines:
        engine.server.start_resetting()
    await asyncio.sleep(rng.uniform(MIN_DOWN_SECONDS, MAX_DOWN_SECONDS))
    for engine in engines:
        if not engine.has_ended:
            engine.restart()
            await engine.register(engine.registered_address)


CHILLS: Final[list[Callable[[Soak, random.Random], Coroutine[Any, Any, None]]]] = [
    _chill,
    _restart_engine,
    _restart_zone,
    _restart_zone,
]


async def async_make_cold(soak: Soak) -> None:
    """Make engines cold at random times, one way after the other."""
    if not soak.has_cold_engines:
        return
    rng = random.Random(f"cold {soak.report.seed}")
    loop = asyncio.get_running_loop()
    end = loop.time() + soak.seconds - MAX_DOWN_SECONDS - LIMITS.seconds / 2
    while loop.time() < end:
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        chill = rng.choice(CHILLS)
        soak.report.faults.append(chill.__name__.removeprefix("_"))
        await chill(soak, rng)
