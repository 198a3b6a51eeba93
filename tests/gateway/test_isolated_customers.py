"""Tests of calls whose customer is isolated, or ceases to be, while they are served."""

from __future__ import annotations

import asyncio

import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.coordinator import Gateway
from gypsumsail.gateway.models import Customer, RoutingDocument
from gypsumsail.sharing.scopes import shared_scope, unshared_scope
from tests.gateway.common import (
    KEY,
    RecordedReply,
    ScriptedExchange,
    ScriptedTargets,
    call,
    document,
    engine,
    gateway,
    prompt,
    stream_route,
    target,
)

OTHER_KEY = "key-of-b"
OTHER = Customer(name="b")
SHARING = {KEY: Customer(name="a"), OTHER_KEY: OTHER}
ISOLATED = {KEY: Customer(name="a", is_isolated=True), OTHER_KEY: OTHER}


def routing(customers: dict[str, Customer]) -> RoutingDocument:
    return document(stream_route(is_resumable=True), customers_by_key=customers)


def answer(version: int = 1) -> ScriptedExchange:
    return ScriptedExchange(body=[b"id: 1\n\n"], weight_version=version)


async def async_send(gw: Gateway, key: str = KEY, request_id: str = "id-1") -> None:
    its_call = call("/s/x", prompt=prompt(), api_key=key, request_id=request_id)
    await gw.async_handle(its_call, RecordedReply())


async def async_wait_and_send(
    before: dict[str, Customer], *after: dict[str, Customer]
) -> list[str]:
    """Return the scopes of a call that waits during changes, and of a later one.

    The first one is a call of the customer that changes, the other one of another.
    """
    calls = ScriptedTargets(answer(), answer())
    gw = gateway(calls, engine(), routing=routing(before))
    gw.view.knows_notices = lambda now: False
    waiting = asyncio.create_task(async_send(gw))
    await asyncio.sleep(0)
    for customers in after:
        gw.set_document(routing(customers))
    gw.view.knows_notices = lambda now: True
    gw.dispatch()
    await waiting
    await async_send(gw, OTHER_KEY)
    return [sent.terms.cache_scope for sent in calls.sent]


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (SHARING, ISOLATED),
        (ISOLATED, SHARING),
        (SHARING, {"new-key-of-a": ISOLATED[KEY], OTHER_KEY: OTHER}),
        (ISOLATED, {OTHER_KEY: OTHER}),
    ],
)
async def test_call_that_waits_during_the_change_is_kept_apart(
    before: dict[str, Customer], after: dict[str, Customer]
) -> None:
    """WALL: it was cached in the scope of all other customers."""
    isolated = routing(after).isolated_customers
    assert await async_wait_and_send(before, after) == [
        "1/a",
        shared_scope("b", 1, isolated),
    ]


async def test_call_that_waits_while_its_customer_is_isolated_is_kept_apart() -> None:
    """WALL: a document between its acceptance and its send did not count."""
    assert await async_wait_and_send(SHARING, ISOLATED, SHARING) == ["1/a", "1"]


async def test_call_that_is_sent_once_more_after_the_change_is_kept_apart() -> None:
    """WALL: its second send was cached in the scope of all other customers."""
    lost = ScriptedExchange(head_error=TransportError("reset", sent=True))
    lost.delay = 0.05
    calls = ScriptedTargets(lost, answer(), answer())
    gw = gateway(calls, engine("e1"), engine("e2"), routing=routing(SHARING))
    sending = asyncio.create_task(async_send(gw))
    await asyncio.sleep(0.02)
    gw.set_document(routing(ISOLATED))
    await sending
    await async_send(gw, OTHER_KEY)
    first, second, other = [sent.terms.cache_scope for sent in calls.sent]
    assert (first, second) == ("1", "1/a")
    assert other not in (first, second)


async def test_call_that_an_earlier_document_isolates_is_not_forwarded() -> None:
    """Guards against another VM that would share its context."""
    calls = ScriptedTargets(answer())
    gw = gateway(calls, engine(), routing=routing(ISOLATED))
    gw.view.choose_helper = lambda service, tried, homes, now: "10.0.0.9"
    gw.view.knows_notices = lambda now: False
    waiting = asyncio.create_task(async_send(gw))
    await asyncio.sleep(0)
    gw.set_document(routing(SHARING))
    now = gw.clock.monotonic()
    (job,) = gw.jobs.values()
    gw.view.targets.states["e1"].mark_unreachable(now)
    assert gw.view.is_cut_off(job.service, now)
    assert not gw.queues[job.service].placer.should_forward(job, now)  # type: ignore[attr-defined]
    waiting.cancel()


async def test_call_that_waits_while_a_rejected_document_isolates_is_kept_apart() -> (
    None
):
    """WALL: a document with an error elsewhere did not isolate its customers."""
    calls = ScriptedTargets(answer(), answer())
    gw = gateway(calls, engine(), routing=routing(SHARING))
    gw.view.knows_notices = lambda now: False
    waiting = asyncio.create_task(async_send(gw))
    await asyncio.sleep(0)
    gw.view.isolation.apply_rejected(frozenset("a"))
    (job,) = gw.jobs.values()
    assert not gw.view.isolation.is_known_to_others("a", job.isolated)
    gw.view.knows_notices = lambda now: True
    gw.dispatch()
    await waiting
    await async_send(gw, OTHER_KEY)
    scopes = [sent.terms.cache_scope for sent in calls.sent]
    assert scopes == ["1/a", shared_scope("b", 1, frozenset("a"))]


async def test_prompt_that_is_not_fully_described_is_not_shared() -> None:
    """WALL: calls without a token count had no scope, which all of them share."""
    calls = ScriptedTargets(answer(), answer())
    gw = gateway(calls, engine(), routing=routing(ISOLATED))
    for key in (KEY, OTHER_KEY):
        await gw.async_handle(call("/s/x", api_key=key), RecordedReply())
    scopes = [sent.terms.cache_scope for sent in calls.sent]
    assert len(set(scopes)) == 2
    assert {len(scope) for scope in scopes} == {len(unshared_scope())}


async def test_customers_share_nothing_while_isolation_is_unknown() -> None:
    """WALL: a VM that had been suspended did not know who is isolated by then."""
    calls = ScriptedTargets(answer(), answer(), answer())
    gw = gateway(calls, engine(), routing=routing(SHARING))
    gw.view.is_isolation_known = lambda now: False
    for key in (KEY, OTHER_KEY):
        await async_send(gw, key)
    gw.view.is_isolation_known = lambda now: True
    await async_send(gw)
    assert [sent.terms.cache_scope for sent in calls.sent] == ["1/a", "1/b", "1"]


async def test_call_to_a_plain_service_has_no_scope() -> None:
    calls = ScriptedTargets(ScriptedExchange())
    gw = gateway(calls, target())
    await gw.async_handle(call(), RecordedReply())
    assert calls.sent[0].terms.cache_scope == ""


@pytest.mark.parametrize("request_id", ["id-1", "1", "1/b", "1//group"])
async def test_request_id_opens_no_scope_on_unknown_weights(request_id: str) -> None:
    """WALL: the scope was the request id, which another customer can repeat."""
    calls = ScriptedTargets(answer(0), answer(0))
    gw = gateway(calls, engine(version=0), routing=routing(ISOLATED))
    await async_send(gw, KEY, request_id)
    await async_send(gw, OTHER_KEY, request_id)
    scopes = {sent.terms.cache_scope for sent in calls.sent}
    assert len(scopes) == 2
    assert request_id not in scopes
    assert {len(scope) for scope in scopes} == {len(unshared_scope())}
