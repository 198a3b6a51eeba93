"""Tests of targets that write an earlier refusal once more on a kept connection."""

from __future__ import annotations

import asyncio
import logging
import math

import pytest

from gypsumsail.core.clock import SystemClock
from gypsumsail.gateway.models import CallKind
from gypsumsail.platform.engines import PlatformEngines
from gypsumsail.rollout.port import LoadWeights, OrderAnswer
from tests.gateway.common import (
    MODEL,
    RecordedLines,
    document,
    engine,
    route,
    target,
)
from tests.platform.scripted_targets import (
    CLOSE,
    ID,
    NOT_RUN,
    SIGNED,
    ScriptedServer,
    Step,
    answer,
    gateway_before,
    serve,
    served,
)

OWN = answer(200, b"own", SIGNED)
ONCE = document(route(kind=CallKind.ONCE, max_targets=1, timeout=1.5))
REFUSALS = {
    "503": answer(503, b"", NOT_RUN, has_id=False),
    "503 with a pause": answer(503, b"", NOT_RUN, b"Retry-After: 9", has_id=False),
    "429": answer(429, b"full", NOT_RUN, has_id=False),
    "421": answer(421, b"", b"Gypsumsail-Instance-Id: other", has_id=False),
    "408": answer(408, b"", has_id=False),
    "400": answer(400, b"bad", NOT_RUN, has_id=False),
    "500": answer(500, b"error", has_id=False),
}
"""Refusals and errors that bear no request id."""


@pytest.mark.parametrize("refusal", REFUSALS.values(), ids=list(REFUSALS))
@pytest.mark.parametrize("is_true_answer_ready", [True, False])
async def test_refusal_without_id_is_not_the_answer_to_a_later_call(
    refusal: bytes, is_true_answer_ready: bool
) -> None:
    """It would be answered "not run", or run at a second target, though it runs."""
    late: list[Step] = [refusal + OWN] if is_true_answer_ready else [refusal, OWN]
    first = ScriptedServer([[OWN], late])
    second = ScriptedServer([[OWN]])
    async with served(first, second) as addresses:
        gw = gateway_before(target("t1", address=addresses[0]), routing=ONCE)
        await serve(gw)
        gw.view.targets.update(target("t2", address=addresses[1]), gw.clock.monotonic())
        gw.view.targets.states["t2"].paused_until = gw.clock.monotonic() + 0.02
        reply = await serve(gw, "id-2")
    assert (reply.status, reply.body) == (200, b"own")
    assert (first.ids, second.ids) == (["id-1", "id-2"], [])
    assert first.connections == 1


@pytest.mark.parametrize("refusal", REFUSALS.values(), ids=list(REFUSALS))
async def test_refusal_without_id_says_nothing_of_a_call_that_is_running(
    refusal: bytes,
) -> None:
    """The true answer never comes: the call may have run."""
    server = ScriptedServer([[OWN], [refusal, b""]])
    async with served(server) as addresses:
        gw = gateway_before(target("t1", address=addresses[0]), routing=ONCE)
        await serve(gw)
        reply = await serve(gw, "id-2")
    assert reply.status == 504
    assert "t1" in gw.view.targets.states
    assert gw.view.targets.states["t1"].pause.allows(gw.clock.monotonic())


async def test_refusal_without_id_on_a_new_connection_is_the_answer() -> None:
    server = ScriptedServer([[REFUSALS["503"]]])
    async with served(server) as addresses:
        gw = gateway_before(target("t1", address=addresses[0]), routing=ONCE)
        reply = await serve(gw)
    assert reply.status == 503


async def test_refusal_without_id_or_length_breaks_the_exchange_at_once() -> None:
    """Nothing behind it can be read."""
    endless = b"HTTP/1.1 503 S\r\nGypsumsail-Not-Run: 1\r\n\r\n"
    server = ScriptedServer([[OWN], [endless, b""]])
    async with served(server) as addresses:
        gw = gateway_before(target("t1", address=addresses[0]), routing=ONCE)
        await serve(gw)
        async with asyncio.timeout(0.5):
            reply = await serve(gw, "id-2")
    assert reply.status == 502


async def test_refusal_behind_the_true_answer_is_not_taken() -> None:
    server = ScriptedServer([[OWN + REFUSALS["503"]], [OWN], [OWN]])
    async with served(server) as addresses:
        gw = gateway_before(target("t1", address=addresses[0]), routing=ONCE)
        for number in range(3):
            assert (await serve(gw, f"id-{number}")).status == 200
    assert server.connections == 2


async def test_refusal_on_an_idle_connection_is_not_taken() -> None:
    server = ScriptedServer([[OWN, REFUSALS["503"]], [OWN]])
    async with served(server) as addresses:
        gw = gateway_before(target("t1", address=addresses[0]), routing=ONCE)
        await serve(gw)
        await asyncio.sleep(0.1)
        reply = await serve(gw, "id-2")
    assert reply.status == 200
    assert server.connections == 2


@pytest.mark.parametrize(
    "refusal",
    [answer(503, b"", NOT_RUN), answer(421, b"", b"Gypsumsail-Instance-Id: other")],
)
async def test_refusal_of_an_earlier_call_with_the_same_id_is_not_taken(
    refusal: bytes,
) -> None:
    """The caller obeys the refusal and sends the request again as it was."""
    server = ScriptedServer([[refusal], [OWN]], repeats=True)
    async with served(server) as addresses:
        entry = target("t1", address=addresses[0])
        gw = gateway_before(entry, routing=ONCE)
        assert (await serve(gw)).status == 503
        gw.view.targets.update(entry, gw.clock.monotonic())
        reply = await serve(gw)
    assert (reply.status, reply.body) == (200, b"own")
    assert server.connections == 2


async def test_connection_that_was_refused_carries_other_calls() -> None:
    refusal = answer(503, b"", NOT_RUN)
    server = ScriptedServer([[refusal], [OWN], [OWN]])
    async with served(server) as addresses:
        gw = gateway_before(target("t1", address=addresses[0]), routing=ONCE)
        statuses = [(await serve(gw, f"id-{number}")).status for number in range(3)]
    assert statuses == [503, 200, 200]
    assert server.connections == 1


async def test_refusal_of_an_order_without_id_is_not_the_answer_to_the_next() -> None:
    """The engine repeats the id in its other answers."""
    busy = answer(409, b"{}", has_id=False)
    server = ScriptedServer([[answer(200, b"{}")], [busy + answer(202, b"{}")]])
    order = LoadWeights(
        model=MODEL, version=2, holder="v1", fence=1, orders_taken=0, not_after=math.inf
    )
    async with served(server) as addresses:
        entry = engine("e1", address=addresses[0])
        engines = PlatformEngines(SystemClock(), "v1")
        await engines.async_report(entry)
        assert await engines.async_order(entry, order) is OrderAnswer.TAKEN
        engines.forget(entry)


async def test_skipped_answers_are_counted_and_the_first_ones_logged() -> None:
    late = REFUSALS["503"] * 4 + OWN.replace(ID, b"id-9")
    server = ScriptedServer([[OWN], [late + OWN]])
    lines = RecordedLines()
    async with served(server) as addresses:
        gw = gateway_before(target("t1", address=addresses[0]), routing=ONCE)
        gw.telemetry.log.logger.addHandler(lines)
        gw.telemetry.log.logger.setLevel(logging.INFO)
        await serve(gw)
        assert (await serve(gw, "id-2")).status == 200
        gw.telemetry.log.logger.removeHandler(lines)
    skipped = lines.of("answer skipped")
    assert [line["number"] for line in skipped] == [1, 2, 3]
    first, second = lines.of("answered")
    assert (first["use"], second["use"]) == (1, 2)
    assert first["connection"] == second["connection"] == skipped[0]["connection"]
    assert skipped[0]["request"] == "id-2"
    assert (skipped[0]["target"], skipped[0]["use"]) == ("t1", 2)
    assert (skipped[0]["status"], skipped[0]["found"]) == (503, None)
    counts = gw.telemetry.registry.exposition()
    name = "gypsumsail_gateway_skipped_answers_total"
    assert f'{name}{{service="portal",id="none"}} 4' in counts
    assert f'{name}{{service="portal",id="other"}} 1' in counts


async def test_failed_send_names_its_connection_and_the_use_of_it() -> None:
    server = ScriptedServer([[OWN], [CLOSE]])
    lines = RecordedLines()
    async with served(server) as addresses:
        gw = gateway_before(target("t1", address=addresses[0]), routing=ONCE)
        gw.telemetry.log.logger.addHandler(lines)
        gw.telemetry.log.logger.setLevel(logging.INFO)
        await serve(gw)
        assert (await serve(gw, "id-2")).status == 502
        gw.telemetry.log.logger.removeHandler(lines)
    [failed] = lines.of("send failed")
    assert failed["use"] == 2
    assert failed["connection"] == lines.of("answered")[0]["connection"] > 0
