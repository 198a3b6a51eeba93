"""Tests of the calls to stores of kept context."""

from __future__ import annotations

import asyncio
import json

import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.models import Address
from gypsumsail.platform.stores import PlatformStores
from stand_ins.raw_http import RawRequest, answer, read_request
from tests.context_stores.common import context_store


class FreeingStore:
    """A store that keeps what it is asked to free."""

    def __init__(self, status: int) -> None:
        self.status = status
        self.asked: list[RawRequest] = []

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call."""
        self.asked.append(await read_request(reader))
        writer.write(answer(self.status))
        writer.close()


async def async_free(status: int) -> RawRequest:
    """Free two parts at a store that answers with a status."""
    found = FreeingStore(status)
    server = await asyncio.start_server(found.async_serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    store = context_store(Address(host=host, port=port))
    stores = PlatformStores()
    try:
        await stores.async_free(store, 7, [("1", "a"), ("1/c", "b")], 51_000)
    finally:
        stores.forget(store)
        server.close()
    return found.asked[0]


async def test_parts_are_freed_by_scope_and_name() -> None:
    asked = await async_free(200)
    assert (asked.method, asked.path) == ("POST", "/v1/kv-free")
    assert json.loads(asked.body) == {
        "parts": [["1", "a"], ["1/c", "b"]],
        "epoch": 7,
        "until_ms": 51_000,
    }


async def test_a_store_that_restarted_frees_nothing() -> None:
    with pytest.raises(TransportError):
        await async_free(409)
