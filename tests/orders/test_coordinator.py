"""Tests of paused and concurrent issuers and of late orders."""

from __future__ import annotations

import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.port import ConflictError
from gypsumsail.orders.const import LEASE_DURATION_SECONDS, ROLLOUT_STATE_KEY
from gypsumsail.orders.coordinator import OrdersCoordinator
from gypsumsail.orders.diagnostics import diagnostics
from gypsumsail.targets.port import EngineRole

from .common import ZONES, Deployment, document, loaded, serving

ENGINE = "engine-0"


async def async_settle(
    deployment: Deployment, issuers: list[OrdersCoordinator]
) -> None:
    for _ in range(30):
        deployment.clock.now += 1.0
        for issuer in issuers:
            try:
                await issuer.async_step()
            except (ConflictError, TransportError):
                continue
        for engine in deployment.engines.values():
            engine.finish()


async def async_take_over(deployment: Deployment, issuer: OrdersCoordinator) -> None:
    """Let an issuer wait until the lease has expired, and acquire it."""
    await issuer.async_step()
    deployment.clock.now += LEASE_DURATION_SECONDS
    await issuer.async_step()


async def test_issuers_of_three_zones_share_one_limit() -> None:
    deployment = Deployment(9)
    deployment.documents = (document(2, "v2"),)
    issuers = [deployment.issuer(f"entry-{zone}", zone) for zone in ZONES]
    for issuer in issuers:
        await issuer.async_step()
    assert deployment.loading_count() == 2
    await async_settle(deployment, issuers)
    models = [engine.state.models for engine in deployment.engines.values()]
    assert models == [loaded("v2")] * 9


@pytest.mark.parametrize("fencing", [True, False])
async def test_late_order_of_a_paused_issuer_is_corrected(fencing: bool) -> None:
    deployment = Deployment(6, fencing=fencing)
    deployment.documents = (document(2, "v2"),)
    engine = deployment.engines[ENGINE]
    paused = deployment.issuer("entry-1")
    engine.hold = True
    await paused.async_step()
    engine.hold = False
    (late,) = engine.held_orders
    deployment.documents = (document(3, "v3"),)
    successor = deployment.issuer("entry-2")
    await async_take_over(deployment, successor)
    issuers = [successor, *(deployment.issuer(f"e-{z}", z) for z in ZONES[1:])]
    await async_settle(deployment, issuers)
    assert engine.state.models == loaded("v3")
    if fencing:
        with pytest.raises(TransportError):
            engine.arrive(late)
    else:
        engine.arrive(late)
        engine.finish()
        assert engine.state.models == loaded("v2")
    await async_settle(deployment, issuers)
    models = [item.state.models for item in deployment.engines.values()]
    assert models == [loaded("v3")] * 6


async def test_resumed_issuer_sends_nothing_on_an_expired_lease() -> None:
    deployment = Deployment()
    paused = deployment.issuer("entry-1")
    await paused.async_step()
    successor = deployment.issuer("entry-2")
    await async_take_over(deployment, successor)
    deployment.documents = (document(2, "v2"),)
    await paused.async_step()
    assert deployment.loading_count() == 0
    assert paused.lease_manager.held is None
    assert not diagnostics(paused, deployment.clock.now).is_issuer
    await successor.async_step()
    assert deployment.loading_count() == 1
    assert diagnostics(successor, deployment.clock.now).is_issuer


async def test_lease_expiring_between_read_and_order_sends_nothing() -> None:
    deployment = Deployment()
    deployment.documents = (document(2, "v2"),)
    issuer = deployment.issuer("entry-1")
    engine = deployment.engines[ENGINE]

    def pass_time(read_count: int) -> None:
        deployment.clock.now += LEASE_DURATION_SECONDS if read_count == 2 else 0.0

    engine.on_state_read = pass_time
    await issuer.async_step()
    assert engine.state_reads == 2
    assert engine.orders == []


async def test_other_zones_are_read_only_when_an_engine_here_differs() -> None:
    deployment = Deployment(3)
    issuer = deployment.issuer("entry-1")
    await issuer.async_step()
    state_reads = [engine.state_reads for engine in deployment.engines.values()]
    assert state_reads == [1, 0, 0]
    deployment.documents = (document(2, "v2"),)
    await issuer.async_step()
    state_reads = [engine.state_reads for engine in deployment.engines.values()]
    assert state_reads == [3, 1, 1]


async def test_stale_rollout_state_sends_no_order() -> None:
    deployment = Deployment(3)
    # Two engines may be unavailable, so that only the stale state prevents the order.
    deployment.documents = (document(2, "v2", share=1.0),)
    first = deployment.issuer("entry-1")
    await first.async_step()
    deployment.engines[ENGINE].finish()
    stale = deployment.api.objects[ROLLOUT_STATE_KEY]
    await first.async_step()
    await deployment.issuer("entry-3", ZONES[1]).async_step()
    deployment.engines[ENGINE].state = serving("v1")
    deployment.api.stale[ROLLOUT_STATE_KEY] = stale
    with pytest.raises(ConflictError):
        await first.async_step()
    assert deployment.loading_count() == 1


async def test_engine_with_a_slot_is_not_ordered_while_too_many_load() -> None:
    deployment = Deployment(3)
    deployment.documents = (document(2, "v2"),)
    first = deployment.issuer("entry-1")
    await first.async_step()
    # The order was lost with the engine's restart; its slot remains.
    deployment.engines[ENGINE].state = serving("v1")
    neighbour = deployment.engines["engine-1"]
    neighbour.state = serving("", models=(), role=EngineRole.STANDBY)
    await first.async_step()
    assert deployment.loading_count() == 0
    neighbour.state = serving("v1")
    await first.async_step()
    assert deployment.engines[ENGINE].state.loading


async def test_issuer_raises_its_fence_above_one_that_engines_have_seen() -> None:
    deployment = Deployment(fencing=True)
    deployment.documents = (document(2, "v2"),)
    old = deployment.issuer("entry-1")
    await async_settle(deployment, [old])
    deployment.api.objects.clear()
    successor = deployment.issuer("entry-2")
    deployment.documents = (document(3, "v3"),)
    issuers = [successor, *(deployment.issuer(f"e-{z}", z) for z in ZONES[1:])]
    await async_settle(deployment, issuers)
    models = [engine.state.models for engine in deployment.engines.values()]
    assert models == [loaded("v3")] * 6
