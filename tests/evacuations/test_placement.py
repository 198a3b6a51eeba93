"""Tests that no call is sent to a target of an evacuated zone."""

from __future__ import annotations

import asyncio

import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.coordinator import Gateway
from gypsumsail.gateway.forwarding import ForwardRefusal, ForwardTerms, forward_refusal
from tests.context_stores.common import coordinator
from tests.gateway.common import (
    ENGINES,
    PORTAL,
    RecordedReply,
    ScriptedExchange,
    ScriptedTargets,
    call,
    document,
    engine,
    gateway,
    prompt,
    route,
    stream_route,
    target,
)

NEAR = target("near")
FAR = target("far", zone="z2")


def evacuated(calls: ScriptedTargets, *zones: str) -> Gateway:
    """Return a gateway with plain targets and engines in two zones."""
    engines = (engine("e1"), engine("e2", zone="z2"))
    gw = gateway(
        calls,
        NEAR,
        FAR,
        *engines,
        routing=document(route(), stream_route(is_resumable=True)),
    )
    gw.view.evacuated_zones = set(zones)
    return gw


async def test_load_moves_to_the_remaining_zone() -> None:
    calls = ScriptedTargets(*(ScriptedExchange() for _ in range(8)))
    gw = evacuated(calls, "z1")
    await asyncio.gather(*(gw.async_handle(call(), RecordedReply()) for _ in range(8)))
    assert {sent.target.name for sent in calls.sent} == {"far"}
    placer = gw.queues[PORTAL].placer
    assert placer.capacity(gw.clock.monotonic()).workers == FAR.slots


async def test_call_without_another_zone_is_refused_and_not_sent() -> None:
    calls, reply = ScriptedTargets(), RecordedReply()
    gw = evacuated(calls, "z1", "z2")
    await gw.async_handle(call(), reply)
    assert (reply.status, calls.sent) == (503, [])
    assert [name for name, _ in reply.headers] == [b"retry-after"]


@pytest.mark.parametrize(("zones", "sends"), [((), 2), (("z2",), 1)])
async def test_stream_is_not_resumed_in_an_evacuated_zone(
    zones: tuple[str, ...], sends: int
) -> None:
    broken = TransportError("reset", sent=True)
    calls = ScriptedTargets(
        ScriptedExchange(body=[b"id: 1\n\n", broken], weight_version=1),
        ScriptedExchange(body=[b"id: 2\n\n"], weight_version=1),
    )
    gw = evacuated(calls, *zones)
    await gw.async_handle(call("/s/x", prompt=prompt()), RecordedReply())
    assert len(calls.sent) == sends


async def test_call_in_progress_ends_without_a_health_check_in_the_zone() -> None:
    """The health path of a plain target is served like a call."""
    calls, reply = ScriptedTargets(ScriptedExchange(is_framed=False)), RecordedReply()
    calls.is_connectable = True
    calls.async_check_health = None  # type: ignore[assignment, method-assign]
    gw = evacuated(calls, "z2")
    calls.answers[0].delay = 0.05  # type: ignore[union-attr]
    task = asyncio.create_task(gw.async_handle(call(), reply))
    await asyncio.sleep(0.01)
    gw.view.evacuated_zones = {"z1", "z2"}
    await task
    assert reply.status == 200


async def test_calls_wait_until_the_evacuated_zones_are_known() -> None:
    calls, reply = ScriptedTargets(ScriptedExchange()), RecordedReply()
    gw = evacuated(calls)
    gw.view.allows_calls = lambda now: False
    task = asyncio.create_task(gw.async_handle(call(now=gw.clock.monotonic()), reply))
    await asyncio.sleep(0.05)
    assert not calls.sent
    gw.view.allows_calls = lambda now: True
    await task
    assert reply.status == 200


def test_only_open_targets_count_as_reachable_for_forwarded_calls() -> None:
    gw = evacuated(ScriptedTargets(), "z2")
    now = gw.clock.monotonic()
    gw.view.targets.states["near"].mark_unreachable(now)
    terms = ForwardTerms(
        service=PORTAL, document_revision=1, max_targets=1, time_left=1.0
    )
    assert forward_refusal(gw, terms, now) is ForwardRefusal.UNREACHABLE


def test_no_context_is_fetched_from_an_engine_of_the_zone() -> None:
    gw = evacuated(ScriptedTargets())
    now = gw.clock.monotonic()
    parts = prompt().parts
    cache = gw.view.targets.states["e2"].cache
    cache.capacity_tokens = 100_000
    cache.add("s", parts, 0)
    stores = coordinator(gw.view.targets, gw.clock)
    assert stores.fetchable_prefix_parts(ENGINES, "s", parts, None, now) > 0
    stores.evacuated_zones = {"z2"}
    assert stores.fetchable_prefix_parts(ENGINES, "s", parts, None, now) == 0
