"""Tests of the object store client against raw HTTP answers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import json
from typing import Any
from urllib.parse import urlsplit

import pytest

from gypsumsail.core.errors import TransportError, UnavailableError
from gypsumsail.gateway.models import Address
from gypsumsail.object_api.eras import position
from gypsumsail.object_api.port import ConflictError, WatchExpiredError
from gypsumsail.platform.client import JsonClient
from gypsumsail.platform.objects import OBJECT_ANSWER_MAX_BYTES, PlatformObjects
from gypsumsail.platform.store_answers import MAX_PAGE_COMMAS
from tests.common import ManualClock
from tests.raw_server import raw_server

TIMEOUT_SECONDS = 0.5


def object_json(name: str, rev: Any, spec: Any) -> dict[str, Any]:
    return {"metadata": {"name": name, "rev": rev}, "spec": spec, "status": None}


def http_response(body: Any, status: int = 200, era: str | None = None) -> bytes:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = f"HTTP/1.1 {status} S\r\nContent-Length: {len(data)}\r\n"
    head += "\r\n" if era is None else f"Store-Era: {era}\r\n\r\n"
    return head.encode() + data


@asynccontextmanager
async def serve_objects(*answers: bytes | None) -> AsyncIterator[PlatformObjects]:
    async with raw_server(answers) as server:
        parts = urlsplit(server.url)
        assert parts.hostname is not None
        assert parts.port is not None
        client = JsonClient(Address(host=parts.hostname, port=parts.port))
        yield PlatformObjects(client, TIMEOUT_SECONDS, ManualClock())
        client.close()


async def test_list_joins_pages() -> None:
    first = {"items": [object_json("a", 3, 1)], "has_more": True, "store_revision": 9}
    second = {
        "items": [object_json("b", 4, 2)],
        "has_more": False,
        "store_revision": 11,
    }
    async with serve_objects(http_response(first), http_response(second)) as objects:
        listing = await objects.async_list("k")
    assert [item.key for item in listing.objects] == ["k/a", "k/b"]
    assert listing.revision == 9


async def test_malformed_items_are_skipped() -> None:
    items = [
        object_json("a", 3, 1),
        "text",
        {"metadata": 7},
        object_json("b", "x", 1),
        object_json("", 5, 1),
    ]
    body = {"items": items, "has_more": False, "store_revision": 9}
    async with serve_objects(http_response(body)) as objects:
        listing = await objects.async_list("k")
    assert [item.key for item in listing.objects] == ["k/a"]


async def test_invalid_utf8_does_not_hide_other_objects() -> None:
    body = json.dumps(
        {
            "items": [object_json("a", 3, 1), object_json("b", 4, "BAD")],
            "store_revision": 9,
        }
    ).encode()
    async with serve_objects(
        http_response(body.replace(b"BAD", b"\xff\xfe"))
    ) as objects:
        listing = await objects.async_list("k")
    assert [item.key for item in listing.objects] == ["k/a", "k/b"]


async def test_watch_distinguishes_updates_from_deletions() -> None:
    events = [
        {"object": object_json("a", 10, 1), "deleted": False},
        {"object": object_json("b", 8, 1), "deleted": True},
        "text",
    ]
    async with serve_objects(
        http_response({"events": events, "store_revision": 12})
    ) as objects:
        listing = await objects.async_watch("k", after_revision=9, wait=0.1)
    assert [(item.key, item.value is None) for item in listing.objects] == [
        ("k/a", False),
        ("k/b", True),
    ]
    assert listing.revision == 12


async def test_watch_of_expired_revision_raises_watch_expired() -> None:
    async with serve_objects(http_response({}, 410)) as objects:
        with pytest.raises(WatchExpiredError):
            await objects.async_watch("k", after_revision=9, wait=0.1)


@pytest.mark.parametrize("status", [429, 503])
async def test_rejected_write_is_reported_as_not_sent(status: int) -> None:
    async with serve_objects(http_response({}, status)) as objects:
        with pytest.raises(UnavailableError) as caught:
            await objects.async_put("k/a", b"x", if_version=0)
    assert not caught.value.sent


@pytest.mark.parametrize(
    "answer", [None, http_response(b"[1"), http_response({"items": 7})]
)
async def test_missing_or_malformed_answer_is_reported_as_sent(
    answer: bytes | None,
) -> None:
    async with serve_objects(answer) as objects:
        with pytest.raises(TransportError) as caught:
            await objects.async_list("k")
    assert caught.value.sent


async def test_conflict_carries_current_version() -> None:
    async with serve_objects(http_response(object_json("a", 7, 1), 409)) as objects:
        with pytest.raises(ConflictError) as caught:
            await objects.async_put("k/a", b"x", if_version=3)
    assert caught.value.current == 7


async def test_get_of_missing_object_returns_none() -> None:
    async with serve_objects(http_response({}, 404)) as objects:
        assert await objects.async_get("k/a") is None


async def test_repeated_writes_of_same_bytes_differ() -> None:
    """Check that other VMs notice a lease renewal that writes the same bytes.

    The platform keeps the version of an object when a write changes nothing, so each
    write must differ from the previous one.
    """
    specs: list[Any] = []

    class RecordingClient(JsonClient):
        async def async_call_bytes(self, *args: Any, **kwargs: Any) -> Any:
            specs.append(kwargs["body"]["spec"])
            return await super().async_call_bytes(*args, **kwargs)

    async with serve_objects(
        http_response(object_json("a", 7, 1)), http_response(object_json("a", 8, 1))
    ) as objects:
        # Records the requests of the existing client.
        objects.client.__class__ = RecordingClient
        await objects.async_put("k/a", b"x", if_version=3)
        await objects.async_put("k/a", b"x", if_version=7)
    assert specs[0] != specs[1]


async def test_get_decodes_stored_bytes() -> None:
    spec = {"base64": "AQI=", "write": "x.1"}
    async with serve_objects(http_response(object_json("a", 7, spec))) as objects:
        stored = await objects.async_get("k/a")
    assert stored is not None
    assert stored.value == b"\x01\x02"


LISTING = {"items": [object_json("a", 3, 1)], "has_more": False, "store_revision": 9}
WRITTEN = object_json("a", 4, {"base64": "AQI=", "write": "x.1"})


async def test_versions_and_revisions_carry_the_era() -> None:
    changes = {"events": [{"object": object_json("a", 10, 2)}], "store_revision": 11}
    async with serve_objects(
        http_response(LISTING, era="2"), http_response(changes, era="2")
    ) as objects:
        listing = await objects.async_list("k")
        watched = await objects.async_watch(
            "k", after_revision=listing.revision, wait=0.1
        )
    assert listing.revision == position(2, 9)
    assert [item.version for item in listing.objects] == [position(2, 3)]
    assert watched.revision == position(2, 11)
    assert [item.version for item in watched.objects] == [position(2, 10)]


async def test_watch_from_an_earlier_era_expires_without_a_call() -> None:
    async with serve_objects(http_response(LISTING, era="2")) as objects:
        await objects.async_list("k")
        with pytest.raises(WatchExpiredError, match="earlier era"):
            await objects.async_watch("k", after_revision=position(1, 9), wait=0.1)


async def test_watch_that_is_answered_in_a_later_era_expires() -> None:
    no_changes = {"events": [], "store_revision": 9}
    async with serve_objects(
        http_response(LISTING, era="1"), http_response(no_changes, era="2")
    ) as objects:
        listing = await objects.async_list("k")
        with pytest.raises(WatchExpiredError, match="earlier era"):
            await objects.async_watch("k", after_revision=listing.revision, wait=0.1)


async def test_condition_from_an_earlier_era_is_a_conflict_without_a_call() -> None:
    async with serve_objects(http_response(LISTING, era="2")) as objects:
        await objects.async_list("k")
        with pytest.raises(ConflictError, match="before the store was restored"):
            await objects.async_put("k/a", b"", if_version=position(1, 3))
        with pytest.raises(ConflictError, match="before the store was restored"):
            await objects.async_delete("k/a", if_version=position(1, 3))


async def test_write_that_is_answered_in_a_later_era_is_a_conflict() -> None:
    async with serve_objects(
        http_response(LISTING, era="1"), http_response(WRITTEN, era="2")
    ) as objects:
        await objects.async_list("k")
        with pytest.raises(ConflictError, match="restored meanwhile"):
            await objects.async_put("k/a", b"", if_version=position(1, 3))


async def test_first_answer_that_states_an_era_is_no_restore() -> None:
    async with serve_objects(http_response(WRITTEN, era="7")) as objects:
        version = await objects.async_put("k/a", b"", if_version=0)
    assert version == position(7, 4)


async def test_list_whose_pages_are_of_two_eras_is_rejected() -> None:
    first = {"items": [object_json("a", 3, 1)], "has_more": True, "store_revision": 9}
    async with serve_objects(
        http_response(first, era="1"), http_response(LISTING, era="2")
    ) as objects:
        with pytest.raises(TransportError, match="restored meanwhile"):
            await objects.async_list("k")


async def test_answer_of_an_earlier_era_is_rejected() -> None:
    async with serve_objects(
        http_response(LISTING, era="3"), http_response(LISTING, era="2")
    ) as objects:
        await objects.async_list("k")
        with pytest.raises(TransportError, match="era 2"):
            await objects.async_list("k")


@pytest.mark.parametrize("era", [None, "", "x", "-1", "1.5", "99999999999"])
async def test_missing_or_invalid_era_counts_as_the_latest_one(era: str | None) -> None:
    async with serve_objects(
        http_response(LISTING, era="3"), http_response(LISTING, era=era)
    ) as objects:
        await objects.async_list("k")
        assert (await objects.async_list("k")).revision == position(3, 9)


async def test_watch_with_too_many_changes_is_replaced_by_a_listing() -> None:
    changes = [{"object": object_json("a", 10, "x" * OBJECT_ANSWER_MAX_BYTES)}]
    body = {"events": changes, "store_revision": 12}
    async with serve_objects(http_response(body)) as objects:
        with pytest.raises(WatchExpiredError):
            await objects.async_watch("k", after_revision=9, wait=0.4)


async def test_listing_with_countless_entries_is_not_decoded() -> None:
    entries = b"1," * MAX_PAGE_COMMAS
    body = b'{"store_revision":1,"items":[' + entries + b"1]}"
    async with serve_objects(http_response(body)) as objects:
        with pytest.raises(TransportError, match="too many parts"):
            await objects.async_list("k")


async def test_body_of_a_listing_may_take_longer_than_its_head() -> None:
    """RECOVER: a page with a large entry takes seconds on a narrow link."""
    response = http_response(LISTING)

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response[:-1])
        await asyncio.sleep(1.5 * TIMEOUT_SECONDS)
        writer.write(response[-1:])
        writer.close()

    async with await asyncio.start_server(answer, "127.0.0.1") as server:
        host, port = server.sockets[0].getsockname()
        client = JsonClient(Address(host=host, port=port))
        objects = PlatformObjects(client, TIMEOUT_SECONDS, ManualClock())
        listing = await objects.async_list("k")
        client.close()
    assert listing.revision == 9


async def test_listing_goes_on_after_many_pages_with_one_entry_each() -> None:
    """RECOVER: as many large entries came before those of the sound targets."""
    names = [f"x{number:03}" for number in range(150)]
    pages = [
        {
            "items": [object_json(name, 3, 1)],
            "has_more": name != names[-1],
            "store_revision": 9,
        }
        for name in names
    ]
    async with serve_objects(*map(http_response, pages)) as objects:
        listing = await objects.async_list("k")
    assert [item.key for item in listing.objects] == [f"k/{name}" for name in names]
