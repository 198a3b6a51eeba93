"""Evacuations of zones during a run, and the check of what their engines get."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
import random
from time import monotonic
from typing import TYPE_CHECKING, Final

from soak.faults import impair_store
from soak.lateness import Lateness, store_was_up_for
from stand_ins.v1_cold import NOTICE_SECONDS, EngineRequest

if TYPE_CHECKING:
    from soak.run import Soak

KIND: Final = "evacuations"
EVACUATION_SECONDS: Final = 4.0
"""Time from the acknowledgement until nothing may arrive (``evac_ms``)."""
MIN_LENGTH_SECONDS: Final = 5.5
MAX_LENGTH_SECONDS: Final = 8.0
"""Longest time from the begin of an evacuation to its end, unless the bound moves."""
FAULT_SHARE: Final = 0.5
"""Share of the evacuations in which the store is down for a time."""
JUDGED_SECONDS: Final = 2.0
"""Least time from the bound to the end, also where faults of the store move the bound.

Other faults may take the engines of the zone down for most of a shorter time.
"""
POLL_SECONDS: Final = 0.1
COLD_LEAD_SECONDS: Final = 1.0
"""Time before the end of an evacuation at which its engines become cold.

Their entries, which are listed up to 0.8 s late, then say so at the end.
"""
START_SECONDS: Final = 3.0
"""Longest time from the start of a VM until it has read the store."""


@dataclass(slots=True)
class Evacuation:
    """One evacuation; times are monotonic, in seconds.

    Attributes
    ----------
    written_at
        Time of the acknowledgement of the write.
    ended_at
        Time just before the object was deleted.
    lapses
        Times of a restored store without the object, and of the write after it.
    """

    zone: str
    written_at: float
    ended_at: float = float("inf")
    lapses: list[tuple[float, float]] = field(default_factory=list)

    def in_force_at(self, store_faults: Sequence[tuple[float, float]]) -> float:
        """Return the time from which no request may arrive.

        VMs must have had the store for half of the time, in which they learn of an
        evacuation without faults.

        Parameters
        ----------
        store_faults
            Begin and end of each time in which the store was down.
        """
        learned_at = store_was_up_for(
            EVACUATION_SECONDS / 2, self.written_at, store_faults
        )
        return max(learned_at, self.written_at + EVACUATION_SECONDS)

    def is_excused(self, at: float, starts: Sequence[float]) -> bool:
        """Return whether a VM may not know the evacuation at a time.

        That is so for one that started as a restored store lacked the object.

        Parameters
        ----------
        starts
            Times at which VMs were started.
        """
        return any(
            since <= at < until + EVACUATION_SECONDS
            and any(since - START_SECONDS <= start <= until for start in starts)
            for since, until in self.lapses
        )


def evacuation_findings(
    requests: Sequence[EngineRequest],
    evacuations: Sequence[Evacuation],
    store_faults: Sequence[tuple[float, float]] = (),
    starts: Sequence[float] = (),
    lateness: Lateness | None = None,
) -> list[str]:
    """Return the engines of evacuated zones that requests reached too late.

    Parameters
    ----------
    store_faults
        Begin and end of each time in which the store was down.
    starts
        Times at which VMs were started.
    """
    lateness = lateness or Lateness()
    findings = []
    for evacuation in evacuations:
        bound = evacuation.in_force_at(store_faults)
        late: dict[str, list[EngineRequest]] = {}
        for request in requests:
            at = request.at - lateness.longest(request.engine, request.at, request.at)
            if (
                request.zone == evacuation.zone
                and bound < at
                and request.at < evacuation.ended_at
                and not evacuation.is_excused(request.at, starts)
            ):
                late.setdefault(request.engine, []).append(request)
        findings += [
            f"EVACUATED: {engine} in {evacuation.zone} got {len(found)} requests up to "
            f"{found[-1].at - bound:.2f} s after the bound, which is "
            f"{bound - evacuation.written_at:.2f} s after the acknowledgement; "
            f"the first is {found[0].request_id}"
            for engine, found in sorted(late.items())
        ]
    return findings


async def async_evacuate_zones(soak: Soak) -> None:
    """Evacuate zones, one after the other."""
    if not soak.has_evacuations:
        return
    rng = random.Random(f"evacuations {soak.report.seed}")
    loop = asyncio.get_running_loop()
    end = loop.time() + soak.seconds - MAX_LENGTH_SECONDS
    while True:
        await asyncio.sleep(rng.uniform(0.3, 1.0))
        if loop.time() > end:
            break
        await _async_evacuate(soak, rng)


async def _async_evacuate(soak: Soak, rng: random.Random) -> None:
    """Evacuate a zone for a time, and make its engines cold towards the end."""
    zone = rng.choice(soak.zones)
    seconds = rng.uniform(MIN_LENGTH_SECONDS, MAX_LENGTH_SECONDS)
    has_fault = rng.random() < FAULT_SHARE
    fault_after = rng.uniform(0.5, 3.0)
    fault_seconds = rng.uniform(0.5, 2.0)
    name = rng.choice(["busy", "reset", "silent"])
    soak.report.faults.append(f"evacuate {zone} for {seconds:.1f} s")
    if rng.random() < 0.5:
        await _async_make_cold(soak, zone, NOTICE_SECONDS)
    await soak.store.put(KIND, zone, {})
    evacuation = Evacuation(zone, monotonic())
    soak.evacuations.append(evacuation)
    end = evacuation.written_at + seconds
    if has_fault:
        await asyncio.sleep(fault_after)
        soak.report.faults.append(f"store {name} in the evacuation")
        await impair_store(soak, name, fault_seconds)
    while monotonic() < end - COLD_LEAD_SECONDS:
        await asyncio.sleep(POLL_SECONDS)
        # Each fault of the store may move the bound.
        end = max(end, evacuation.in_force_at(soak.store_faults) + JUDGED_SECONDS)
    await _async_make_cold(soak, zone, 0.0)
    await asyncio.sleep(max(end - monotonic(), 0.0))
    await _async_make_cold(soak, zone, 0.0)
    evacuation.ended_at = monotonic()
    await soak.store.delete(KIND, zone)


async def _async_make_cold(soak: Soak, zone: str, notice_seconds: float) -> None:
    """Make the engines of a zone cold, if engines are cold in this run at all.

    Parameters
    ----------
    notice_seconds
        Time that VMs have to learn it; none once the evacuation is in force, as VMs
        take the engines for cold when it ends.
    """
    for engine in [target for target in soak.targets if target.is_engine]:
        if engine.zone == zone:
            await engine.async_become_cold(notice_seconds)


async def async_write_again(soak: Soak, restored_at: float) -> None:
    """Write and delete again what a restored store has lost."""
    for evacuation in soak.evacuations:
        is_listed = evacuation.zone in soak.store.objects.get(KIND, {})
        if evacuation.ended_at == float("inf") and not is_listed:
            await soak.store.put(KIND, evacuation.zone, {})
            evacuation.lapses.append((restored_at, monotonic()))
    in_force = {
        evacuation.zone
        for evacuation in soak.evacuations
        if evacuation.ended_at == float("inf")
    }
    for zone in set(soak.store.objects.get(KIND, {})) - in_force:
        await soak.store.delete(KIND, zone)
