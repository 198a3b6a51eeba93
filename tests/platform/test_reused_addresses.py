"""Tests of calls to servers whose address another service has taken over."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
import math

import pytest

from gypsumsail.context_stores.errors import OtherServerError
from gypsumsail.core.clock import SystemClock
from gypsumsail.core.errors import TransportError
from gypsumsail.forwarding.client import HelperClient
from gypsumsail.gateway.forwarding import ForwardTerms
from gypsumsail.gateway.models import Address, ContextStore, TargetEntry
from gypsumsail.gateway.port import SendTerms
from gypsumsail.platform.calls import PlatformTargetCalls, parse_call
from gypsumsail.platform.context_stores import PlatformContextStores
from gypsumsail.platform.engines import PlatformEngines
from gypsumsail.rollout.port import LoadWeights
from gypsumsail.transport.http_request import HttpRequest
from stand_ins.raw_http import RawServer
from tests.context_stores.common import context_store
from tests.gateway.common import MODEL, call, engine
from tests.platform.common import INSTANCE, PlainTarget

HOST = "127.0.0.1"
ORDER = LoadWeights(
    model=MODEL, version=2, holder="v1", fence=1, orders_taken=0, not_after=math.inf
)

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
@pytest.mark.parametrize("store_call", STORE_CALLS.values(), ids=STORE_CALLS.keys())
async def test_target_at_the_address_of_a_store_runs_no_store_call(
    store_call: StoreCall,
) -> None:
    target = PlainTarget()
    server = RawServer(target.async_handle)
    store = context_store(Address(host=HOST, port=await server.async_start(HOST)))
    stores = PlatformContextStores()
    try:
        for _ in range(2):
            with pytest.raises(TransportError):
                await store_call(stores, store)
        assert (target.received, target.runs) == (2, [])
    finally:
        stores.forget(store)
        await server.async_stop()


@pytest.mark.parametrize("name", ["list", "events"])
async def test_target_at_the_address_of_a_store_is_recognised(name: str) -> None:
    server = RawServer(PlainTarget().async_handle)
    store = context_store(Address(host=HOST, port=await server.async_start(HOST)))
    stores = PlatformContextStores()
    try:
        with pytest.raises(OtherServerError):
            await STORE_CALLS[name](stores, store)
    finally:
        await server.async_stop()


@pytest.mark.parametrize("engine_call", ENGINE_CALLS.values(), ids=ENGINE_CALLS.keys())
async def test_target_at_the_address_of_an_engine_runs_no_report_or_order(
    engine_call: EngineCall,
) -> None:
    target = PlainTarget()
    server = RawServer(target.async_handle)
    address = Address(host=HOST, port=await server.async_start(HOST))
    entry = engine(address=address)
    engines = PlatformEngines(SystemClock(), "v1")
    noticed: list[TargetEntry] = []
    engines.on_notices = lambda target, notices, sent_at: noticed.append(target)
    try:
        for _ in range(2):
            try:
                await engine_call(engines, entry)
            except TransportError:
                continue
        assert (target.received, target.runs) == (2, [])
        assert not noticed
    finally:
        engines.forget(entry)
        await server.async_stop()


async def test_target_at_the_address_of_another_does_not_run_its_calls() -> None:
    target = PlainTarget()
    server = RawServer(target.async_handle)
    address = Address(host=HOST, port=await server.async_start(HOST))
    entry = engine(address=address)
    calls = PlatformTargetCalls(SystemClock())
    request = parse_call(
        HttpRequest(
            method=b"GET",
            target=b"/a/x",
            headers=[
                (b"Host", b"h.example"),
                (b"Gypsumsail-Request-Id", b"9c41d07be2a35f68"),
                (b"Gypsumsail-Target-Instance", INSTANCE.encode()),
            ],
            body=b"",
            keep_alive=True,
            received_at=0.0,
        )
    )
    terms = SendTerms(time_left=2.0, customer="a", priority=5)
    try:
        now = calls.clock.monotonic()
        exchange = await calls.async_send(entry, request, terms, now)
        head = await exchange.async_head()
        exchange.finish()
        assert (head.is_wrong_target, head.says_not_run) == (True, True)
        assert (target.received, target.runs) == (1, [])
    finally:
        calls.forget(entry)
        await server.async_stop()


async def test_target_at_the_address_of_a_vm_does_not_run_forwarded_calls() -> None:
    target = PlainTarget()
    server = RawServer(target.async_handle)
    client = HelperClient("v1", await server.async_start(HOST))
    forwarded = call(request_id="9c41d07be2a35f68")
    terms = ForwardTerms(
        service="portal", document_revision=1, max_targets=1, time_left=2.0
    )
    try:
        exchange = await client.async_forward(HOST, forwarded, terms)
        with pytest.raises(TransportError):
            await exchange.async_head()
        exchange.finish()
        assert (target.received, target.runs) == (1, [])
    finally:
        client.close()
        await server.async_stop()
