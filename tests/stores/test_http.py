"""Tests of the store's HTTP client against the stand-in store."""

from __future__ import annotations

import httpx
import pytest

from bench.processes import Launcher
from gypsumsail.core.errors import TransportError
from gypsumsail.stores.http import HttpStore
from gypsumsail.stores.port import StoredBlock, Tier
from tests.raw_server import raw_server
from tests.stand_ins.test_store import UNLIMITED_LINKS, write


async def test_list_hold_move_and_free_blocks(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    process = await launcher.start_module("s", "stand_ins.store", UNLIMITED_LINKS)
    store = HttpStore(process.url)
    for name in ("a.1", "b.1"):
        await write(client, process, name)
    contents = await store.async_contents(after=1)
    block = StoredBlock(name="b.1", tier=Tier.MEMORY, size=100)
    assert contents.blocks == (block,)
    assert await store.async_hold(("a.1", "x.1"), seconds=3600) == {"a.1"}
    await store.async_move(("b.1",), tier=Tier.DISK)
    await store.async_free(("a.1", "b.1"))
    load = await store.async_load()
    assert {tier.tier: tier.used for tier in load.tiers} == {
        Tier.MEMORY: 100,
        Tier.DISK: 0,
    }
    assert load.incarnation == contents.incarnation
    await store.async_close()


@pytest.mark.parametrize("body", [b'{"held": ["other.1"]}', b'{"held": "a.1"}'])
async def test_malformed_hold_answer_raises(body: bytes) -> None:
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
    async with raw_server([head.encode() + body]) as server:
        store = HttpStore(server.url)
        with pytest.raises(TransportError):
            await store.async_hold(("a.1",), seconds=1)
        await store.async_close()
