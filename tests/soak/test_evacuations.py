"""Tests of the soak's check of evacuations."""

from __future__ import annotations

import pytest

from soak.evacuations import (
    EVACUATION_SECONDS,
    KIND,
    Evacuation,
    async_write_again,
    evacuation_findings,
)
from soak.lateness import STORE_RECOVERY_SECONDS, Lateness
from soak.run import Soak
from stand_ins.v1_cold import EngineRequest

BOUND = 10.0 + EVACUATION_SECONDS
END = 20.0


def request(at: float, zone: str = "z0") -> EngineRequest:
    """Return a request to an engine of a zone."""
    return EngineRequest(at, "e0", zone, "aa", None)


@pytest.fixture
def evacuation() -> Evacuation:
    """Return an evacuation that was written at 10 s."""
    return Evacuation("z0", 10.0, END)


@pytest.mark.parametrize(
    ("arrived", "is_found"),
    [
        (request(BOUND - 0.1), False),
        (request(BOUND + 0.1), True),
        (request(END - 0.1), True),
        (request(END + 0.1), False),
        (request(BOUND + 0.1, zone="z1"), False),
    ],
    ids=["under way", "late", "before the end", "after the end", "other zone"],
)
def test_request_in_an_evacuated_zone_is_found(
    evacuation: Evacuation, arrived: EngineRequest, is_found: bool
) -> None:
    assert bool(evacuation_findings([arrived], [evacuation])) is is_found


def test_request_that_a_link_delayed_past_the_bound_is_sound(
    evacuation: Evacuation,
) -> None:
    lateness = Lateness()
    lateness.record(BOUND - 0.3, BOUND + 0.2, 0.3, "e0")
    found = evacuation_findings([request(BOUND + 0.2)], [evacuation], lateness=lateness)
    assert found == []


@pytest.mark.parametrize(
    ("faults", "seconds"),
    [
        ([], EVACUATION_SECONDS),
        ([(12.5, 18.0)], EVACUATION_SECONDS),
        ([(9.0, 14.0)], 4.0 + STORE_RECOVERY_SECONDS + EVACUATION_SECONDS / 2),
        ([(9.0, 13.0), (10.0, 14.0)], 5.0 + EVACUATION_SECONDS / 2),
    ],
    ids=["no fault", "after half of the time", "at the write", "overlapping"],
)
def test_store_that_is_down_at_the_write_moves_the_bound(
    evacuation: Evacuation, faults: list[tuple[float, float]], seconds: float
) -> None:
    assert evacuation.in_force_at(faults) == pytest.approx(10.0 + seconds)


@pytest.mark.parametrize(("start", "is_found"), [(15.0, False), (11.0, True)])
def test_vm_that_starts_without_the_lost_object_is_excused(
    evacuation: Evacuation, start: float, is_found: bool
) -> None:
    evacuation.lapses.append((15.0, 15.5))
    found = evacuation_findings([request(16.0)], [evacuation], starts=[start])
    assert bool(found) is is_found


async def test_restored_store_gets_the_evacuations_in_force_only() -> None:
    soak = Soak(1, vms=0, seconds=1.0)
    soak.evacuations = [Evacuation("z0", 10.0), Evacuation("z1", 5.0, 9.0)]
    await soak.store.put(KIND, "z1", {})
    await async_write_again(soak, 15.0)
    assert set(soak.store.objects[KIND]) == {"z0"}
    assert [len(found.lapses) for found in soak.evacuations] == [1, 0]
