"""Tests of the platform's store of objects, against answers as it gives them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import json
from typing import Any
from urllib.parse import urlsplit

import pytest

from gypsumsail.core.errors import TransportError, UnavailableError
from gypsumsail.gateway.models import Address
from gypsumsail.object_api.port import ConflictError, WatchExpiredError
from gypsumsail.platform.client import JsonClient
from gypsumsail.platform.objects import PlatformObjects
from tests.raw_server import raw_server


def raw(name: str, rev: Any, spec: Any) -> dict[str, Any]:
    return {"metadata": {"name": name, "rev": rev}, "spec": spec, "status": None}


def reply(body: Any, status: int = 200) -> bytes:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = f"HTTP/1.1 {status} S\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


@asynccontextmanager
async def store(*answers: bytes | None) -> AsyncIterator[PlatformObjects]:
    async with raw_server(answers) as server:
        parts = urlsplit(server.url)
        assert parts.hostname is not None
        assert parts.port is not None
        client = JsonClient(Address(host=parts.hostname, port=parts.port))
        yield PlatformObjects(client, 0.5)
        client.close()


async def test_pages_are_put_together() -> None:
    first = {"items": [raw("a", 3, 1)], "has_more": True, "store_revision": 9}
    second = {"items": [raw("b", 4, 2)], "has_more": False, "store_revision": 11}
    async with store(reply(first), reply(second)) as objects:
        found = await objects.async_list("k")
    assert [item.key for item in found.objects] == ["k/a", "k/b"]
    assert found.revision == 9


async def test_an_entry_of_another_writer_leaves_the_others() -> None:
    items = [raw("a", 3, 1), "text", {"metadata": 7}, raw("b", "x", 1), raw("", 5, 1)]
    body = {"items": items, "has_more": False, "store_revision": 9}
    async with store(reply(body)) as objects:
        found = await objects.async_list("k")
    assert [item.key for item in found.objects] == ["k/a"]


async def test_bytes_that_are_no_text_leave_the_others() -> None:
    body = json.dumps(
        {"items": [raw("a", 3, 1), raw("b", 4, "BAD")], "store_revision": 9}
    ).encode()
    async with store(reply(body.replace(b"BAD", b"\xff\xfe"))) as objects:
        found = await objects.async_list("k")
    assert [item.key for item in found.objects] == ["k/a", "k/b"]


async def test_changes_tell_written_from_removed() -> None:
    events = [
        {"object": raw("a", 10, 1), "deleted": False},
        {"object": raw("b", 8, 1), "deleted": True},
        "text",
    ]
    async with store(reply({"events": events, "store_revision": 12})) as objects:
        found = await objects.async_watch("k", after_revision=9, wait=0.1)
    assert [(item.key, item.value is None) for item in found.objects] == [
        ("k/a", False),
        ("k/b", True),
    ]
    assert found.revision == 12


async def test_forgotten_history_is_told_apart() -> None:
    async with store(reply({}, 410)) as objects:
        with pytest.raises(WatchExpiredError):
            await objects.async_watch("k", after_revision=9, wait=0.1)


@pytest.mark.parametrize("status", [429, 503])
async def test_a_refusal_has_done_nothing(status: int) -> None:
    async with store(reply({}, status)) as objects:
        with pytest.raises(UnavailableError) as caught:
            await objects.async_put("k/a", b"x", if_version=0)
    assert not caught.value.sent


@pytest.mark.parametrize("answer", [None, reply(b"[1"), reply({"items": 7})])
async def test_no_answer_may_have_done_something(answer: bytes | None) -> None:
    async with store(answer) as objects:
        with pytest.raises(TransportError) as caught:
            await objects.async_list("k")
    assert caught.value.sent


async def test_a_conflict_names_the_revision() -> None:
    async with store(reply(raw("a", 7, 1), 409)) as objects:
        with pytest.raises(ConflictError) as caught:
            await objects.async_put("k/a", b"x", if_version=3)
    assert caught.value.current == 7


async def test_a_missing_object_is_none() -> None:
    async with store(reply({}, 404)) as objects:
        assert await objects.async_get("k/a") is None


async def test_two_writes_of_the_same_bytes_differ() -> None:
    """A write that changes nothing keeps its revision, and hid renewed leases."""
    specs: list[Any] = []

    class Recording(JsonClient):
        async def async_call(self, *args: Any, **kwargs: Any) -> Any:
            specs.append(kwargs["body"]["spec"])
            return await super().async_call(*args, **kwargs)

    async with store(reply(raw("a", 7, 1)), reply(raw("a", 8, 1))) as objects:
        objects.client.__class__ = Recording
        await objects.async_put("k/a", b"x", if_version=3)
        await objects.async_put("k/a", b"x", if_version=7)
    assert specs[0] != specs[1]


async def test_own_bytes_come_back() -> None:
    spec = {"base64": "AQI=", "write": "x.1"}
    async with store(reply(raw("a", 7, spec))) as objects:
        found = await objects.async_get("k/a")
    assert found is not None
    assert found.value == b"\x01\x02"
