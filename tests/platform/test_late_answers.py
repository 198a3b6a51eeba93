"""Tests of engines and stores that send a second copy of an answer late.

The copy arrives where the answer to the next call on the connection is expected.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import json
import math

import pytest

from gypsumsail.context_stores.store_view import StoreView
from gypsumsail.core.clock import SystemClock
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.models import Address
from gypsumsail.platform.context_stores import PlatformContextStores
from gypsumsail.platform.engines import PlatformEngines
from gypsumsail.rollout.port import LoadWeights, OrderAnswer
from stand_ins.raw_http import RawRequest, RawServer, encode_response
from tests.context_stores.common import answer as store_answer
from tests.context_stores.common import context_store
from tests.gateway.common import MODEL, engine

HOST = "127.0.0.1"
ORDER = LoadWeights(
    model=MODEL, version=2, holder="v1", fence=1, orders_taken=0, not_after=math.inf
)


class RepeatingServer:
    """Answers each request after a copy of the answer to the one before it.

    Attributes
    ----------
    answers
        Status and body of each answer.
    echoes_id
        Whether an answer has the id of its request, if that has one. Without, no answer
        is repeated.
    sent
        Latest answer on each connection.
    """

    def __init__(
        self, *answers: tuple[int, dict[str, object]], echoes_id: bool = True
    ) -> None:
        self.answers = list(answers)
        self.echoes_id = echoes_id
        self.sent: dict[asyncio.StreamWriter, bytes] = {}

    async def async_handle(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request."""
        status, body = self.answers.pop(0)
        request_id = request.headers.get("gypsumsail-request-id")
        headers = {}
        if self.echoes_id and request_id is not None:
            headers["Gypsumsail-Request-Id"] = request_id
        answer = encode_response(status, json.dumps(body).encode(), headers)
        writer.write(self.sent.get(writer, b""))
        await writer.drain()
        # The copy arrives alone, when only the answer can tell that it is late.
        await asyncio.sleep(0.02)
        writer.write(answer)
        self.sent[writer] = answer if self.echoes_id else b""
        return True


@asynccontextmanager
async def served(server: RepeatingServer) -> AsyncIterator[Address]:
    """Start the server and return its address."""
    raw = RawServer(server.async_handle)
    try:
        yield Address(host=HOST, port=await raw.async_start(HOST))
    finally:
        await raw.async_stop()


async def test_late_copy_of_a_report_is_not_taken_for_the_answer_to_an_order() -> None:
    async with served(RepeatingServer((200, {"born": 1}), (409, {}))) as address:
        target = engine(address=address)
        engines = PlatformEngines(SystemClock(), "v1")
        await engines.async_report(target)
        assert await engines.async_order(target, ORDER) is OrderAnswer.BUSY
        engines.forget(target)


async def test_late_copy_of_a_report_is_not_taken_for_a_newer_one() -> None:
    reports: list[tuple[int, dict[str, object]]] = [
        (200, {"born": 1, "call_seq": 1}),
        (200, {"born": 1, "call_seq": 2}),
    ]
    async with served(RepeatingServer(*reports)) as address:
        target = engine(address=address)
        engines = PlatformEngines(SystemClock(), "v1")
        await engines.async_report(target)
        assert (await engines.async_report(target)).orders_taken == 2
        engines.forget(target)


async def test_late_copy_without_changes_of_a_store_hides_no_gap() -> None:
    changes: list[tuple[int, dict[str, object]]] = [
        (200, {"epoch": 1, "next": 1, "lost": False, "events": []}),
        (200, {"epoch": 1, "next": 2, "lost": True, "events": []}),
    ]
    async with served(RepeatingServer(*changes)) as address:
        store = context_store(address)
        stores = PlatformContextStores()
        await stores.async_changes(store, 0, 0.0)
        copy = await stores.async_changes(store, 1, 0.0)
        assert (copy.next_number, copy.has_gap, copy.changes) == (1, False, ())
        answer = await stores.async_changes(store, 1, 0.0)
        assert (answer.next_number, answer.has_gap) == (2, True)
        stores.forget(store)


async def test_late_copy_of_changes_of_a_store_is_not_taken_for_newer_ones() -> None:
    first_change = [1, "+", "1", "own", 5_000, MODEL]
    changes: list[tuple[int, dict[str, object]]] = [
        (200, {"epoch": 1, "next": 1, "lost": False, "events": [first_change]}),
        (200, {"epoch": 1, "next": 2, "lost": True, "events": []}),
    ]
    async with served(RepeatingServer(*changes)) as address:
        store = context_store(address)
        stores = PlatformContextStores()
        view = StoreView(store)
        view.load(store_answer(life=1, next_number=0), 0.0)
        view.apply_changes(await stores.async_changes(store, 0, 0.0), 0.0)
        assert view.repeats_earlier(await stores.async_changes(store, 1, 0.0))
        stores.forget(store)


async def test_late_copy_of_the_contents_of_a_store_is_not_taken_for_changes() -> None:
    answers: list[tuple[int, dict[str, object]]] = [
        (200, {"epoch": 1, "next": 1, "held": []}),
        (200, {"epoch": 1, "next": 2, "lost": False, "events": []}),
    ]
    server = RepeatingServer(*answers)
    async with served(server) as address:
        store = context_store(address)
        stores = PlatformContextStores()
        await stores.async_contents(store)
        with pytest.raises(TransportError):
            await stores.async_changes(store, 1, 0.0)
        assert not stores.clients
        stores.forget(store)


async def test_late_copy_of_changes_of_a_store_is_not_taken_for_freed_parts() -> None:
    answers: list[tuple[int, dict[str, object]]] = [
        (200, {"epoch": 1, "next": 1, "lost": False, "events": []}),
        (409, {}),
    ]
    async with served(RepeatingServer(*answers)) as address:
        store = context_store(address)
        stores = PlatformContextStores()
        await stores.async_changes(store, 0, 0.0)
        with pytest.raises(TransportError, match="409"):
            await stores.async_free(store, 1, [("1", "own")], 1)
        stores.forget(store)


@pytest.mark.parametrize("status", [202, 409])
async def test_answer_without_an_id_counts(status: int) -> None:
    async with served(RepeatingServer((status, {}), echoes_id=False)) as address:
        target = engine(address=address)
        engines = PlatformEngines(SystemClock(), "v1")
        answer = await engines.async_order(target, ORDER)
        assert answer is (OrderAnswer.TAKEN if status == 202 else OrderAnswer.BUSY)
        engines.forget(target)
