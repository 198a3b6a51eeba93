"""Tests of the platform stand-in."""

from __future__ import annotations

import asyncio

import httpx
import pytest

from bench.processes import Launcher
from tests.stand_ins.common import set_fault, wait_for_watch


def if_version(number: int) -> dict[str, str]:
    return {"If-Version": str(number)}


async def test_object_writes_are_conditional_on_the_version(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    url = (await launcher.start_module("platform", "stand_ins.platform")).url
    key = f"{url}/objects/documents/claims"
    assert (await client.get(key)).status_code == 404
    first = await client.put(key, content=b"one", headers=if_version(0))
    assert first.json() == {"version": 1}
    lost = await client.put(key, content=b"other", headers=if_version(0))
    assert (lost.status_code, lost.json()) == (409, {"current": 1})
    found = await client.get(key)
    assert (found.content, found.headers["x-version"]) == (b"one", "1")
    too_large = await client.put(
        key, content=b"x" * (1024 * 1024 + 1), headers=if_version(1)
    )
    assert too_large.status_code == 413
    assert (await client.delete(key, headers=if_version(1))).status_code == 200
    again = await client.put(key, content=b"new life", headers=if_version(0))
    assert again.json() == {"version": 1}
    listed = (await client.get(f"{url}/objects?prefix=documents/")).json()
    assert listed["revision"] == 3
    assert [o["version"] for o in listed["objects"]] == [1]


async def test_watch_waits_for_changes_and_expires(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    platform = await launcher.start_module("platform", "stand_ins.platform")
    watch = asyncio.create_task(
        client.get(f"{platform.url}/watch?prefix=a/&after=0&wait=20")
    )
    await wait_for_watch(client, platform)
    for key in ("b/1", "a/1"):
        url = f"{platform.url}/objects/{key}"
        await client.put(url, content=b"x", headers=if_version(0))
    changes = (await watch).json()
    assert [o["key"] for o in changes["objects"]] == ["a/1"]
    await set_fault(client, platform, "silent_watch")
    silent = await client.get(f"{platform.url}/watch?prefix=a/&after=0&wait=0.05")
    assert silent.json()["objects"] == []
    await set_fault(client, platform, "silent_watch", on=False)
    await set_fault(client, platform, "forget_revisions")
    forgotten = await client.get(f"{platform.url}/watch?prefix=a/&after=1&wait=0")
    assert forgotten.status_code == 410


async def test_faults_lose_delay_and_refuse_responses(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    platform = await launcher.start_module("platform", "stand_ins.platform")
    key = f"{platform.url}/objects/k"
    await set_fault(client, platform, "lose_answers", share=1.0, seed=1)
    with pytest.raises(httpx.RemoteProtocolError):
        await client.put(key, content=b"kept", headers=if_version(0))
    await set_fault(client, platform, "lose_answers", on=False)
    assert (await client.get(key)).content == b"kept"
    await set_fault(client, platform, "outage")
    assert (await client.get(key)).status_code == 503
    await set_fault(client, platform, "outage", on=False)
    await set_fault(client, platform, "stale_reads")
    await client.put(key, content=b"newer", headers=if_version(1))
    assert (await client.get(key)).content == b"kept"
    await set_fault(client, platform, "stale_reads", on=False)
    await set_fault(client, platform, "slow", seconds=5)
    with pytest.raises(httpx.ReadTimeout):
        await client.get(key, timeout=0.1)
    await set_fault(client, platform, "slow", on=False)
    assert (await client.get(key)).content == b"newer"


async def test_rate_limits_apply_and_a_waiting_watch_uses_a_read(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    arguments = ("--reads-per-second", "1", "--writes-per-second", "1")
    platform = await launcher.start_module("p", "stand_ins.platform", arguments)
    writes = await asyncio.gather(
        *(
            client.put(f"{platform.url}/objects/{n}", headers=if_version(0))
            for n in range(20)
        )
    )
    assert {429, 200} == {response.status_code for response in writes}
    refused = next(r for r in writes if r.status_code == 429)
    assert int(refused.headers["retry-after"]) > 0
    path = f"{platform.url}/watch?prefix=a&after=1&wait=60"
    watch = asyncio.create_task(client.get(path))
    await wait_for_watch(client, platform)
    for _ in range(30):
        read = await client.get(f"{platform.url}/objects/0")
        assert read.status_code == 429
        await asyncio.sleep(0.05)
    watch.cancel()


async def test_vm_list_is_stale(launcher: Launcher, client: httpx.AsyncClient) -> None:
    platform = await launcher.start_module("platform", "stand_ins.platform")
    vms = [{"vm_id": "entry-1", "state": "live"}]
    await client.put(f"{platform.url}/control/vms", json={"vms": vms})
    assert (await client.get(f"{platform.url}/vms")).json() == {"vms": vms}
    await set_fault(client, platform, "list_lag", seconds=3600)
    assert (await client.get(f"{platform.url}/vms")).json() == {"vms": []}


async def test_die_ends_the_process(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    platform = await launcher.start_module("platform", "stand_ins.platform")
    with pytest.raises(httpx.HTTPError):
        await set_fault(client, platform, "die")
    assert await platform.process.wait() == 9
