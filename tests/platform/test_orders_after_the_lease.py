"""Tests that the end of the right to order reaches the write of an order."""

from __future__ import annotations

import asyncio

import pytest

from gypsumsail.core.clock import SystemClock
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.models import Address
from gypsumsail.platform.engines import PlatformEngines
from gypsumsail.rollout.port import LoadWeights, OrderAnswer
from tests.gateway.common import MODEL, engine
from tests.raw_server import raw_server
from tests.rollout.test_rollout import SharedObjects, SilentEngines, rollout

ANSWER = b"HTTP/1.1 202 S\r\nContent-Length: 2\r\n\r\n{}"


async def test_order_is_not_sent_after_the_lease() -> None:
    """A former holder must not order (ONE)."""
    clock = SystemClock()
    async with raw_server([ANSWER, ANSWER]) as server:
        address = Address(host="127.0.0.1", port=int(server.url.rpartition(":")[2]))
        engines = PlatformEngines(clock, "v1")
        order = LoadWeights(
            model=MODEL,
            version=2,
            holder="v1",
            fence=1,
            orders_taken=0,
            not_after=clock.monotonic(),
        )
        with pytest.raises(TransportError) as caught:
            await engines.async_order(engine("e1", address=address), order)
        assert not caught.value.sent
        assert server.requests == 0


async def test_order_bears_the_end_of_the_lease() -> None:
    engines = SilentEngines(["e1"])
    coordinator = rollout("v1", SharedObjects(), engines, lambda: ["v1"])
    task = asyncio.create_task(coordinator.async_run())
    async with asyncio.timeout(5.0):
        await engines.is_ordered.wait()
    held = coordinator.lease_manager.held
    task.cancel()
    assert held is not None
    _, order, _ = engines.orders[0]
    assert order.not_after <= held.order_until


async def test_order_uses_the_connection_of_the_report_before_it() -> None:
    """The report shows that the link is open (ONE)."""
    clock = SystemClock()
    report = b"HTTP/1.1 200 S\r\nContent-Length: 2\r\n\r\n{}"
    async with raw_server([report, report, ANSWER]) as server:
        address = Address(host="127.0.0.1", port=int(server.url.rpartition(":")[2]))
        target = engine("e1", address=address)
        engines = PlatformEngines(clock, "v1")
        await asyncio.gather(*(engines.async_report(target) for _ in range(2)))
        used: list[int] = []
        engines.on_order_written = lambda entry, use: used.append(use.number)
        pool = engines._client(target).client.pool
        last_used = pool.idle[-1].local_port
        order = LoadWeights(
            model=MODEL,
            version=2,
            holder="v1",
            fence=1,
            orders_taken=0,
            not_after=clock.monotonic() + 1.0,
        )
        assert await engines.async_order(target, order) is OrderAnswer.TAKEN
        assert used == [2]
        assert pool.idle[-1].local_port == last_used
        assert server.connections == 2
        engines.forget(target)
