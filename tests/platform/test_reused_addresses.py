"""Tests of calls to servers whose address another service has taken over."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest

from gypsumsail.context_stores.errors import OtherServerError
from gypsumsail.core.clock import SystemClock
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.models import Address, ContextStore, TargetEntry
from gypsumsail.platform.context_stores import PlatformContextStores
from gypsumsail.platform.engines import PlatformEngines
from gypsumsail.rollout.port import LoadWeights
from stand_ins.raw_http import RawServer
from tests.context_stores.common import context_store
from tests.gateway.common import MODEL, engine
from tests.platform.common import PlainTarget

HOST = "127.0.0.1"
ORDER = LoadWeights(model=MODEL, version=2, holder="v1", fence=1, orders_taken=0)

StoreCall = Callable[[PlatformContextStores, ContextStore], Awaitable[object]]
EngineCall = Callable[[PlatformEngines, TargetEntry], Awaitable[object]]

STORE_CALLS: dict[str, StoreCall] = {
    "list": lambda stores, store: stores.async_contents(store),
    "events": lambda stores, store: stores.async_changes(store, 5, 0.0),
    "free": lambda stores, store: stores.async_free(store, 7, [("1", "a")], 1),
}
ENGINE_CALLS: dict[str, EngineCall] = {
    "report": lambda engines, target: engines.async_report(target),
    "order": lambda engines, target: engines.async_order(target, ORDER),
}


# UNASKED: a plain service ran the calls that were meant for a store that was gone.
@pytest.mark.parametrize("call", STORE_CALLS.values(), ids=STORE_CALLS.keys())
async def test_target_at_the_address_of_a_store_runs_no_store_call(
    call: StoreCall,
) -> None:
    target = PlainTarget()
    server = RawServer(target.async_handle)
    store = context_store(Address(host=HOST, port=await server.async_start(HOST)))
    stores = PlatformContextStores()
    try:
        for _ in range(2):
            with pytest.raises(TransportError):
                await call(stores, store)
        assert (target.received, target.runs) == (2, [])
    finally:
        stores.forget(store)
        await server.async_stop()


@pytest.mark.parametrize("call", ["list", "events"])
async def test_target_at_the_address_of_a_store_is_recognised(call: str) -> None:
    server = RawServer(PlainTarget().async_handle)
    store = context_store(Address(host=HOST, port=await server.async_start(HOST)))
    stores = PlatformContextStores()
    try:
        with pytest.raises(OtherServerError):
            await STORE_CALLS[call](stores, store)
    finally:
        await server.async_stop()


@pytest.mark.parametrize("call", ENGINE_CALLS.values(), ids=ENGINE_CALLS.keys())
async def test_target_at_the_address_of_an_engine_runs_no_report_or_order(
    call: EngineCall,
) -> None:
    target = PlainTarget()
    server = RawServer(target.async_handle)
    address = Address(host=HOST, port=await server.async_start(HOST))
    entry = engine(address=address)
    engines = PlatformEngines(SystemClock(), "v1")
    try:
        for _ in range(2):
            try:
                await call(engines, entry)
            except TransportError:
                continue
        assert (target.received, target.runs) == (2, [])
    finally:
        engines.forget(entry)
        await server.async_stop()
