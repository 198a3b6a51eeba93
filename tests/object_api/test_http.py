"""Tests of the platform's HTTP client against the stand-in platform."""

from __future__ import annotations

import httpx
import pytest

from bench.processes import Launcher
from gypsumsail.core.errors import TransportError, UnavailableError
from gypsumsail.object_api.http import HttpPlatform
from gypsumsail.object_api.port import ConflictError, VmState, WatchExpiredError
from tests.raw_server import raw_server
from tests.stand_ins.common import set_fault


async def test_objects_round_trip(launcher: Launcher) -> None:
    process = await launcher.start_module("p", "stand_ins.platform")
    platform = HttpPlatform(process.url)
    key = "documents/a b/../?#%/ü"
    assert await platform.async_get(key) is None
    assert await platform.async_put(key, b"\x00\xff", if_version=0) == 1
    with pytest.raises(ConflictError) as caught:
        await platform.async_put(key, b"x", if_version=0)
    assert caught.value.current == 1
    found = await platform.async_get(key)
    assert found is not None
    assert (found.value, found.version) == (b"\x00\xff", 1)
    listing = await platform.async_list("documents/")
    assert listing.objects == (found,)
    await platform.async_delete(key, if_version=1)
    with pytest.raises(ConflictError) as caught:
        await platform.async_delete(key, if_version=1)
    assert caught.value.current == 0
    changes = await platform.async_watch(
        "documents/", after_revision=listing.revision, wait=20
    )
    assert [(o.key, o.value) for o in changes.objects] == [(key, None)]
    empty = await platform.async_watch(
        "documents/", after_revision=changes.revision, wait=0.01
    )
    assert (empty.objects, empty.revision) == ((), changes.revision)
    await platform.async_close()


async def test_platform_faults_raise_errors(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    arguments = ("--writes-per-second", "1")
    process = await launcher.start_module("p", "stand_ins.platform", arguments)
    platform = HttpPlatform(process.url)
    await set_fault(client, process, "lose_answers")
    with pytest.raises(TransportError) as caught:
        await platform.async_put("k", b"kept", if_version=0)
    assert caught.value.sent
    await set_fault(client, process, "lose_answers", on=False)
    found = await platform.async_get("k")
    assert found is not None
    assert found.value == b"kept"
    await set_fault(client, process, "outage")
    with pytest.raises(UnavailableError):
        await platform.async_get("k")
    await set_fault(client, process, "outage", on=False)
    await set_fault(client, process, "forget_revisions")
    with pytest.raises(WatchExpiredError):
        await platform.async_watch("", after_revision=0, wait=0)
    await platform.async_close()


async def test_malformed_vm_is_skipped(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    process = await launcher.start_module("p", "stand_ins.platform")
    valid = {"vm_id": "e1", "incarnation": "i", "zone": "z", "role": "entry"}
    valid |= {"service": "", "state": "leaving", "url": "http://127.0.0.1:1"}
    valid["peer_url"] = "ws://127.0.0.1:2"
    changes = [{"role": "balancer"}, {"url": "u"}, {"url": "http://h:x"}]
    changes += [{"peer_url": "http://127.0.0.1:2"}]
    changes += [{"role": "engine", "url": "https://127.0.0.1:1"}]
    vms = [valid, *(valid | change for change in changes), 7]
    await client.put(f"{process.url}/control/vms", json={"vms": vms})
    platform = HttpPlatform(process.url)
    (record,) = await platform.async_vms()
    assert (record.vm_id, record.state) == ("e1", VmState.LEAVING)
    await platform.async_close()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"objects": [{"key": "k", "version": -1, "value_base64": ""}], "revision":1}',
        b'{"objects": [{"key": "k", "version": 1, "value_base64": "?"}], "revision":1}',
        b'{"objects": [], "revision": null}',
    ],
)
async def test_malformed_listing_raises(body: bytes) -> None:
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
    async with raw_server([head.encode() + body]) as server:
        platform = HttpPlatform(server.url)
        with pytest.raises(TransportError):
            await platform.async_list("")
        await platform.async_close()
