"""Tests of what a target states of its life, and of answers that end with it."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

import pytest

from gypsumsail.gateway.models import CallKind, TargetEntry
from tests.gateway.common import (
    PORTAL,
    RecordedReply,
    document,
    engine,
    route,
    stream_route,
    target,
)
from tests.platform.scripted_targets import (
    CLOSE,
    END,
    HEALTH_PATH,
    ID,
    RESET,
    SIGNED,
    ScriptedServer,
    Step,
    answer,
    gateway_before,
    serve,
    served,
)

HEAD: Final = b"HTTP/1.1 200 S\r\nGypsumsail-Request-Id: " + ID + b"\r\n" + SIGNED
EVENTS: Final = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
REST: Final = b"id: 3\ndata: c\n\n"
UNFRAMED: Final = HEAD + b"\r\n\r\n"
BROKEN: Final[list[Step]] = [HEAD + b"\r\nContent-Length: 99\r\n\r\n" + EVENTS, RESET]


def gone_on() -> list[Step]:
    """Return the script of a stream that goes on with its third event."""
    return [answer(200, REST, SIGNED)]


async def serve_plain(
    *scripts: list[Step], kind: CallKind
) -> tuple[RecordedReply, ScriptedServer]:
    """Let two plain targets play the scripts in the order in which they are called."""
    server = ScriptedServer(list(scripts))
    async with served(server, server) as addresses:
        entries = [
            target(f"t{number}", address=address)
            for number, address in enumerate(addresses)
        ]
        routing = document(route(kind=kind, timeout=3.0))
        gw = gateway_before(*entries, routing=routing)
        reply = await serve(gw)
    return reply, server


async def serve_streams(
    entries: list[TargetEntry], servers: list[ScriptedServer], count: int = 1
) -> list[RecordedReply]:
    """Let engines serve resumable streams, one after the other."""
    async with served(*servers) as addresses:
        listed = [
            engine(found.name, address=address, life=found.life, build=found.build)
            for found, address in zip(entries, addresses, strict=True)
        ]
        routing = document(stream_route(is_resumable=True, timeout=3.0))
        gw = gateway_before(*listed, routing=routing)
        gw.tick(gw.clock.monotonic())
        # The first one is chosen, as long as the other's calls take longer.
        for state in list(gw.view.targets.states.values())[1:]:
            state.usual_seconds = 9.0
            state.record_failure(gw.clock.monotonic())
        return [await serve(gw, f"id-{n}", path="/s/x") for n in range(count)]


@pytest.mark.parametrize("kind", [CallKind.REPEATABLE, CallKind.ONCE])
async def test_answer_without_length_of_a_target_that_ended_is_not_complete(
    kind: CallKind,
) -> None:
    """MIXED: a killed process closes its connections as one that has answered does."""
    reply, server = await serve_plain(
        [UNFRAMED + b"half", END], [answer(200, b"whole", SIGNED)], kind=kind
    )
    if kind is CallKind.ONCE:
        assert (reply.status, len(server.ids)) == (502, 1)
    else:
        assert (reply.status, reply.body) == (200, b"whole")


async def test_answer_without_length_of_a_running_target_is_complete() -> None:
    reply, server = await serve_plain([UNFRAMED + b"whole", CLOSE], kind=CallKind.ONCE)
    assert (reply.status, reply.body) == (200, b"whole")
    assert server.checks == [HEALTH_PATH]


async def test_plain_target_without_a_health_path_is_asked_nothing() -> None:
    """UNASKED: it would run any other request that it is sent."""
    server = ScriptedServer([[UNFRAMED + b"whole", CLOSE]])
    async with served(server) as addresses:
        routing = document(route(kind=CallKind.ONCE, timeout=3.0))
        service = replace(routing.services[PORTAL], health_path="")
        routing = replace(routing, services={**routing.services, PORTAL: service})
        gw = gateway_before(target("t1", address=addresses[0]), routing=routing)
        reply = await serve(gw)
    assert (reply.status, reply.body) == (200, b"whole")
    assert len(server.ids) == 1
    assert not server.checks


async def test_stream_without_length_of_a_running_engine_is_complete() -> None:
    first, other = ScriptedServer([[UNFRAMED + EVENTS, CLOSE]]), ScriptedServer([])
    (reply,) = await serve_streams([engine("e1"), engine("e2")], [first, other])
    assert reply.body == EVENTS
    assert reply.is_complete
    assert not other.ids


async def test_stream_of_an_engine_that_restarted_meanwhile_goes_on() -> None:
    """ORDER: another process at the address is no sign that the stream was complete."""
    first, other = ScriptedServer([[UNFRAMED + EVENTS, CLOSE]]), ScriptedServer([])
    other.scripts.append(gone_on())

    def end_of_life(last: int) -> bytes:
        first.life = 2
        return b""

    first.scripts[0].insert(1, end_of_life)
    (reply,) = await serve_streams([engine("e1"), engine("e2")], [first, other])
    assert reply.body == EVENTS + REST
    assert reply.is_complete
    assert other.resumed_after == ["2"]


async def test_stream_does_not_go_on_at_an_engine_of_another_build() -> None:
    """ORDER: it has restarted, and its entry names the build of its earlier life."""
    first = ScriptedServer([list(BROKEN)])
    restarted = ScriptedServer([gone_on()], life=2)
    entries = [engine("e1", build="v1"), engine("e2", build="v1")]
    (reply,) = await serve_streams(entries, [first, restarted])
    assert reply.body == EVENTS
    assert reply.is_aborted
    assert not restarted.ids


async def test_stream_of_an_engine_that_restarted_before_it_stays_there() -> None:
    """ORDER: such a stream counted as one of the build that the entry names."""
    restarted = ScriptedServer([list(BROKEN)], life=2)
    other = ScriptedServer([gone_on()])
    entries = [engine("e1", build="v1"), engine("e2", build="v1")]
    (reply,) = await serve_streams(entries, [restarted, other])
    assert reply.body == EVENTS
    assert reply.is_aborted
    assert not other.ids


async def test_engine_is_asked_for_its_life_once_on_each_connection() -> None:
    whole: list[list[Step]] = [[answer(200, EVENTS, SIGNED)] for _ in range(3)]
    server = ScriptedServer(whole)
    replies = await serve_streams([engine("e1")], [server], count=3)
    assert all(reply.is_complete for reply in replies)
    assert server.connections == 1
    assert len(server.checks) == 1


async def test_engine_that_is_listed_without_a_life_is_not_asked() -> None:
    """Each life of such a target has a name of its own."""
    server = ScriptedServer([[answer(200, EVENTS, SIGNED)]])
    (reply,) = await serve_streams([engine("e1", life=0)], [server])
    assert reply.is_complete
    assert not server.checks
