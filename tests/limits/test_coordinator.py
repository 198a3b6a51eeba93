"""Tests of sharing limits among the entries of two zones."""

from __future__ import annotations

from collections.abc import AsyncIterator
from random import Random

import pytest

from gypsumsail.document.models import (
    Customer,
    Deadlines,
    ServiceDocument,
    ServiceKind,
    TierPolicy,
    TierWeights,
)
from gypsumsail.limits.coordinator import LimitCoordinator
from gypsumsail.limits.models import AdmitRequest, Admitted
from gypsumsail.limits.priority import effective_priority
from gypsumsail.peers.port import EntryId
from tests.common import ManualClock
from tests.context.common import FakeNetwork

ARES = Customer(
    name="ares", key_digests=(), share=1.0, tokens_per_second=1000.0, max_priority=3
)
DOCUMENT = ServiceDocument(
    service="claims",
    kind=ServiceKind.MODEL,
    owner="team",
    models=(),
    customers=(ARES,),
    routes=(),
    deadlines=Deadlines(default=30.0, longest=60.0),
    tiers=TierPolicy(
        weights=TierWeights(first_token=0.6, recomputed=0.3, link_use=0.1),
        link_bytes_per_second=7000.0,
    ),
)


class OneDocument:
    """Document source with a single document."""

    def document(self, service: str) -> ServiceDocument | None:
        return DOCUMENT if service == DOCUMENT.service else None


@pytest.fixture
async def coordinators() -> AsyncIterator[list[LimitCoordinator]]:
    networks: dict[EntryId, FakeNetwork] = {}
    clock = ManualClock()
    ids = [
        EntryId(name=f"{zone}{number}", incarnation="1", zone=zone)
        for zone in ("a", "b")
        for number in range(2)
    ]
    made = [
        LimitCoordinator(
            entry, FakeNetwork(entry, networks), OneDocument(), clock, Random(1)
        )
        for entry in ids
    ]
    for coordinator in made:
        await coordinator.async_setup()
    yield made
    for coordinator in made:
        await coordinator.async_unload()


async def offer(
    coordinators: list[LimitCoordinator], busy: list[LimitCoordinator], seconds: int
) -> float:
    """Offer ten times the limit at some entries; return the admitted tokens."""
    clock = coordinators[0].clock
    assert isinstance(clock, ManualClock)
    request = AdmitRequest(customer="ares", tokens=50.0, priority=5, backlog=0.0)
    admitted = 0.0
    for step in range(seconds * 10):
        clock.now += 0.1
        for number in range(20):
            coordinator = busy[number % len(busy)]
            if isinstance(coordinator.admit("claims", request), Admitted):
                admitted += request.tokens
        if step % 5 == 4:
            for coordinator in coordinators:
                await coordinator.async_round()
    return admitted


async def test_limit_holds_across_zones(coordinators: list[LimitCoordinator]) -> None:
    admitted = await offer(coordinators, coordinators, 30)
    assert 0.85 * 30_000 < admitted < 1.1 * 30_000
    one = await offer(coordinators, coordinators[:1], 60)
    assert 0.85 * 60_000 < one < 1.1 * 60_000


async def test_entries_use_equal_parts_of_a_limit_without_their_owner(
    coordinators: list[LimitCoordinator],
) -> None:
    for coordinator in coordinators:
        network = coordinator.network
        assert isinstance(network, FakeNetwork)
        network.unresponsive.update(network.peers())
    non_owners = [
        coordinator
        for coordinator in coordinators
        if coordinator._owner("claims", coordinator.me.zone) != coordinator.me
    ]
    admitted = await offer(coordinators, non_owners[:1], 40)
    assert 0.8 * 10_000 < admitted < 1.2 * 10_000


async def test_the_link_budget_is_shared(coordinators: list[LimitCoordinator]) -> None:
    clock = coordinators[0].clock
    assert isinstance(clock, ManualClock)
    moved = 0.0
    for step in range(300):
        clock.now += 0.1
        for coordinator in coordinators:
            coordinator.add_link_demand("claims", 500.0)
            if coordinator.link_credit("claims") > 0:
                coordinator.consume_link("claims", 500.0)
                moved += 500.0
        if step % 5 == 4:
            for coordinator in coordinators:
                await coordinator.async_round()
    assert 0.85 * 30 * 7000 < moved < 1.1 * 30 * 7000


@pytest.mark.parametrize(
    ("asked", "given"), [(0, 3), (3, 3), (7, 7), (None, 5), (99, 9)]
)
def test_priority_is_capped_at_the_customers_maximum(
    asked: int | None, given: int
) -> None:
    assert effective_priority(asked, ARES, DOCUMENT) == given
