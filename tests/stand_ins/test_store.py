"""Tests of the store stand-in."""

from __future__ import annotations

import asyncio

import httpx
import xxhash

from bench.processes import Launcher, RunningProcess
from tests.stand_ins.common import counters, set_fault, wait_until

UNLIMITED_LINKS = ("--memory-bytes-per-second", "0", "--disk-bytes-per-second", "0")


async def write(
    client: httpx.AsyncClient,
    store: RunningProcess,
    name: str,
    *,
    size: int = 100,
    body: bytes = b"value",
    checksum_of: bytes = b"value",
) -> int:
    response = await client.put(
        f"{store.url}/blocks/{name}?tier=memory&size={size}",
        content=body,
        headers={"X-Checksum": xxhash.xxh3_64_hexdigest(checksum_of)},
    )
    return response.status_code


async def test_blocks_are_checked_written_once_and_limited_by_tier_size(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    arguments = (*UNLIMITED_LINKS, "--memory-bytes", "250")
    store = await launcher.start_module("s", "stand_ins.store", arguments)
    assert await write(client, store, "a.1", body=b"val") == 422
    assert (await client.get(f"{store.url}/blocks/a.1")).status_code == 404
    assert await write(client, store, "a.1") == 201
    found = await client.get(f"{store.url}/blocks/a.1")
    assert found.content == b"value"
    assert found.headers["x-checksum"] == xxhash.xxh3_64_hexdigest(b"value")
    assert await write(client, store, "b.1") == 201
    assert await write(client, store, "c.1") == 507
    await client.post(f"{store.url}/move", json={"names": ["a.1"], "tier": "disk"})
    await set_fault(client, store, "full")
    assert await write(client, store, "c.1") == 507
    await set_fault(client, store, "full", on=False)
    assert await write(client, store, "c.1") == 201
    names = {"names": ["a.1"]}
    await client.post(f"{store.url}/free", json=names)
    assert (await client.get(f"{store.url}/blocks/a.1")).status_code == 404
    assert await write(client, store, "a.1") == 409
    listed = (await client.get(f"{store.url}/contents?after=0")).json()
    assert [block["name"] for block in listed["blocks"]] == ["b.1", "c.1"]


async def test_held_block_is_freed_after_its_hold(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    store = await launcher.start_module("s", "stand_ins.store", UNLIMITED_LINKS)
    await write(client, store, "long.1")
    await write(client, store, "short.1")
    order = {"names": ["long.1", "none.1"], "seconds": 3600}
    held = (await client.post(f"{store.url}/hold", json=order)).json()
    assert held == {"held": ["long.1"]}
    brief = {"names": ["short.1"], "seconds": 0.2}
    await client.post(f"{store.url}/hold", json=brief)
    both = {"names": ["long.1", "short.1"]}
    await client.post(f"{store.url}/free", json=both)
    again = (await client.post(f"{store.url}/hold", json=order)).json()
    assert again == {"held": []}

    async def is_gone() -> bool:
        response = await client.get(f"{store.url}/blocks/short.1")
        return response.status_code == 404

    await wait_until(is_gone)
    assert (await client.get(f"{store.url}/blocks/long.1")).status_code == 200


async def test_incomplete_write_stores_nothing(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    store = await launcher.start_module("s", "stand_ins.store", UNLIMITED_LINKS)
    _, writer = await asyncio.open_connection("127.0.0.1", int(store.ready_line))
    checksum = xxhash.xxh3_64_hexdigest(b"value")
    head = f"PUT /blocks/a.1?tier=memory&size=100 HTTP/1.1\r\nX-Checksum: {checksum}"
    writer.write(f"{head}\r\nContent-Length: 5\r\n\r\nval".encode())
    await writer.drain()
    writer.close()
    assert (await client.get(f"{store.url}/blocks/a.1")).status_code == 404
    assert (await counters(client, store))["written"] == 0
    assert await write(client, store, "a.1") == 201


async def test_writes_queue_on_a_slow_link(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    arguments = ("--memory-bytes-per-second", "1000")
    store = await launcher.start_module("s", "stand_ins.store", arguments)
    await set_fault(client, store, "link_factor", factor=0.1)
    writing = asyncio.create_task(write(client, store, "a.1", size=100_000))

    async def is_queued() -> bool:
        return (await tier_load(client, store))["queued_bytes"] > 0

    await wait_until(is_queued)
    load = await tier_load(client, store)
    assert load["bytes_per_second"] == 100
    assert load["used"] == 100_000
    writing.cancel()


async def tier_load(client: httpx.AsyncClient, store: RunningProcess) -> dict[str, int]:
    tiers = (await client.get(f"{store.url}/load")).json()["tiers"]
    return dict(tiers[0])
