"""Tests of the calls to context stores."""

from __future__ import annotations

import asyncio
import json

import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.models import Address
from gypsumsail.platform.context_stores import PlatformContextStores
from stand_ins.raw_http import RawRequest, encode_response, read_request
from tests.context_stores.common import context_store


class RecordingStore:
    """A context store that records the free requests that it receives."""

    def __init__(self, status: int) -> None:
        self.status = status
        self.requests: list[RawRequest] = []

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Record and answer one request."""
        self.requests.append(await read_request(reader))
        writer.write(encode_response(self.status))
        writer.close()


async def async_free(status: int) -> RawRequest:
    """Free two parts at a store that answers with ``status``; return the request."""
    recorder = RecordingStore(status)
    server = await asyncio.start_server(recorder.async_serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    store = context_store(Address(host=host, port=port))
    stores = PlatformContextStores()
    try:
        await stores.async_free(store, 7, [("1", "a"), ("1/c", "b")], 51_000)
    finally:
        stores.forget(store)
        server.close()
    return recorder.requests[0]


async def test_free_request_lists_parts_by_scope_and_name() -> None:
    request = await async_free(200)
    assert (request.method, request.path) == ("POST", "/v1/kv-free")
    assert json.loads(request.body) == {
        "parts": [["1", "a"], ["1/c", "b"]],
        "epoch": 7,
        "until_ms": 51_000,
    }


async def test_free_at_restarted_store_raises() -> None:
    with pytest.raises(TransportError):
        await async_free(409)
