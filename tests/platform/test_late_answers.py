"""Tests of engines and stores that send a second copy of an answer late.

The copy arrives where the answer to the next call on the connection is expected.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import json

import pytest

from gypsumsail.core.clock import SystemClock
from gypsumsail.gateway.models import Address
from gypsumsail.platform.context_stores import PlatformContextStores
from gypsumsail.platform.engines import PlatformEngines
from gypsumsail.rollout.port import LoadWeights, OrderAnswer
from stand_ins.raw_http import RawRequest, RawServer, encode_response
from tests.context_stores.common import context_store
from tests.gateway.common import MODEL, engine

HOST = "127.0.0.1"
ORDER = LoadWeights(model=MODEL, version=2, holder="v1", fence=1, orders_taken=0)


class RepeatingServer:
    """Answers each request after a copy of the answer to the one before it.

    Attributes
    ----------
    answers
        Status and body of each answer.
    echoes_id
        Whether an answer has the id of its request.
    """

    def __init__(
        self, *answers: tuple[int, dict[str, object]], echoes_id: bool = True
    ) -> None:
        self.answers = list(answers)
        self.echoes_id = echoes_id
        self.sent = b""

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
        writer.write(self.sent)
        await writer.drain()
        # The copy arrives alone, when only the answer can tell that it is late.
        await asyncio.sleep(0.02)
        writer.write(answer)
        self.sent = answer if self.echoes_id else b""
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


async def test_late_copy_of_changes_of_a_store_is_not_taken_for_newer_ones() -> None:
    changes: list[tuple[int, dict[str, object]]] = [
        (200, {"epoch": 1, "next": 1, "lost": False, "events": []}),
        (200, {"epoch": 1, "next": 2, "lost": True, "events": []}),
    ]
    async with served(RepeatingServer(*changes)) as address:
        store = context_store(address)
        stores = PlatformContextStores("v1")
        await stores.async_changes(store, 0, 0.0)
        answer = await stores.async_changes(store, 1, 0.0)
        assert (answer.next_number, answer.has_gap) == (2, True)
        stores.forget(store)


@pytest.mark.parametrize("status", [202, 409])
async def test_answer_without_an_id_counts(status: int) -> None:
    async with served(RepeatingServer((status, {}), echoes_id=False)) as address:
        target = engine(address=address)
        engines = PlatformEngines(SystemClock(), "v1")
        answer = await engines.async_order(target, ORDER)
        assert answer is (OrderAnswer.TAKEN if status == 202 else OrderAnswer.BUSY)
        engines.forget(target)
