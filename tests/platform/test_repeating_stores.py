"""Tests of the view of a context store that sends copies of earlier answers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from gypsumsail.context_stores.const import (
    POLLING_CHECK_SECONDS,
    RETRY_DELAY_SECONDS,
    VIEW_MAX_AGE_SECONDS,
)
from gypsumsail.context_stores.coordinator import ContextStoreCoordinator
from gypsumsail.context_stores.store_view import StoreView
from gypsumsail.core.clock import SystemClock
from gypsumsail.gateway.models import Address
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.platform.context_stores import PlatformContextStores
from stand_ins.raw_http import RawServer
from tests.context_stores.common import context_store, coordinator
from tests.gateway.common import document, engine
from tests.platform.common import RepeatingContextStore

HOST = "127.0.0.1"
CHANGES = 20


@asynccontextmanager
async def followed(
    server: RepeatingContextStore,
) -> AsyncIterator[tuple[ContextStoreCoordinator, StoreView]]:
    """Follow a store; return the coordinator and its view of the store."""
    raw = RawServer(server.async_handle)
    store = context_store(Address(host=HOST, port=await raw.async_start(HOST)))
    stores = coordinator(TargetTable(), SystemClock(), PlatformContextStores())
    stores.set_document(document(stores=(store,)))
    await asyncio.sleep(0.1)
    try:
        yield stores, stores.views[store.address]
    finally:
        stores.stop()
        await raw.async_stop()


@pytest.mark.parametrize("copy_interval", [1, 2, 5])
async def test_view_is_never_wrong_when_answers_are_repeated(
    copy_interval: int,
) -> None:
    server = RepeatingContextStore(copy_interval)
    async with followed(server) as (stores, view):
        for number in range(CHANGES):
            tokens = 500 if number % 2 == 0 else 0
            server.change("own", tokens)
            await asyncio.sleep(0.1)
            if view.is_fresh(stores.clock.monotonic()):
                assert view.parts == ({("1", "own"): 500} if tokens else {})
        fresh_parts = []
        for _ in range(20):
            await asyncio.sleep(VIEW_MAX_AGE_SECONDS / 10)
            if view.is_fresh(stores.clock.monotonic()):
                fresh_parts.append(dict(view.parts))
        assert fresh_parts
        assert not any(fresh_parts)


async def test_single_copies_do_not_drop_the_view() -> None:
    server = RepeatingContextStore(copy_interval=5)
    async with followed(server) as (_, view):
        for _ in range(CHANGES):
            server.change("own", 500)
            await asyncio.sleep(0.05)
            assert view.life == 7
        assert server.lists == 1


async def test_store_whose_numbers_do_not_grow_is_not_asked_without_pause() -> None:
    server = RepeatingContextStore()
    server.has_growing_numbers = False
    async with followed(server) as (_, view):
        server.change("own", 500)
        await asyncio.sleep(4 * RETRY_DELAY_SECONDS)
        assert server.connections <= 10
        assert view.parts in ({}, {("1", "own"): 500})


async def test_engine_at_the_address_of_a_store_is_not_followed() -> None:
    """Engines answer the same calls as stores."""
    server = RepeatingContextStore()
    server.change("own", 500)
    async with followed(server) as (stores, view):
        assert view.parts
        stores.targets.update(
            engine("e1", address=view.store.address), stores.clock.monotonic()
        )
        server.change("own", 0)
        await asyncio.sleep(POLLING_CHECK_SECONDS)
        answers = server.answers
        assert view.life is None
        await asyncio.sleep(1.5 * POLLING_CHECK_SECONDS)
        assert server.answers == answers
