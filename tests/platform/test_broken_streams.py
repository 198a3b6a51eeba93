"""Tests of streams that break off after they have begun, and of the next target."""

from __future__ import annotations

import pytest

from gypsumsail.gateway.coordinator import Gateway
from tests.gateway.common import (
    RecordedReply,
    document,
    engine,
    stream_route,
)
from tests.platform.scripted_targets import (
    CLOSE,
    END,
    ID,
    NOT_RUN,
    RESET,
    SIGNED,
    ScriptedServer,
    Step,
    answer,
    gateway_before,
    serve,
    served,
)

LAST_EVENT = 6
HEAD_LINES = b"HTTP/1.1 200 S\r\nGypsumsail-Request-Id: " + ID + b"\r\n" + SIGNED
CHUNKED = HEAD_LINES + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED = HEAD_LINES + b"\r\n\r\n"
ERROR_HEAD = b"HTTP/1.1 500 S\r\nContent-Length: 5\r\n\r\nerror"


def event(number: int) -> bytes:
    """Return an event of the stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def events(first: int, last: int = LAST_EVENT) -> bytes:
    """Return some events of the stream."""
    return b"".join(event(number) for number in range(first, last + 1))


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def begun(*steps: Step) -> list[Step]:
    """Return the script of a stream with two events before some steps."""
    return [CHUNKED + chunk(events(1, 2)), *steps]


def counted(data: bytes) -> bytes:
    """Return a signed answer with a length."""
    return answer(200, data, SIGNED)


PART = event(3)[:9]
REST: list[Step] = [
    lambda last: CHUNKED + chunk(events(last + 1)) + b"0\r\n\r\n",
]
BREAKS: dict[str, list[Step]] = {
    "reset between events": begun(RESET),
    "reset within an event": begun(chunk(PART), RESET),
    "chunks end between events": begun(CLOSE),
    "chunks end within a chunk": begun(chunk(PART)[:-4], CLOSE),
    "last chunk within an event": begun(chunk(PART) + b"0\r\n\r\n"),
    "no length, end within an event": [UNFRAMED + events(1, 2) + PART, CLOSE],
    "no length, reset": [UNFRAMED + events(1, 2), RESET],
    # Real targets that are killed close their connections; they don't reset them.
    "no length, end of the target": [UNFRAMED + events(1, 2), END],
    "length, end between events": [counted(events(1))[: -len(events(3))], CLOSE],
    "another answer among chunks": begun(ERROR_HEAD),
    "error's text in a chunk": begun(chunk(b"error: no memory\n\n"), RESET),
    "error's page in a chunk": begun(chunk(b"<html>\n<p>error</p>\n\n"), RESET),
    "error's head in a chunk": begun(chunk(ERROR_HEAD + b"\n\n"), b"0\r\n\r\n"),
    "error's head, no length": [UNFRAMED + events(1, 2) + ERROR_HEAD + b"\n\n", CLOSE],
    "event out of order": begun(chunk(event(1)), RESET),
}
"""Streams that break off after the second event."""
ERRORS: dict[str, list[Step]] = {
    "500": [answer(500, b"error\n\n")],
    "500 signed": [answer(500, events(3), SIGNED)],
    "500 without length": [
        b"HTTP/1.1 500 S\r\nGypsumsail-Request-Id: " + ID + b"\r\n\r\nerror\n\n",
        CLOSE,
    ],
    "500 without length or id": [b"HTTP/1.1 500 S\r\n\r\n<p>error</p>\n\n", CLOSE],
    "503 not run": [answer(503, b"full", NOT_RUN)],
    "503": [answer(503, b"full")],
    "429 not run": [answer(429, b"full", NOT_RUN)],
    "408": [answer(408, b"late")],
    "421": [answer(421, b"", b"Gypsumsail-Instance-Id: other")],
    "404": [answer(404, b"nothing here\n\n", SIGNED)],
    "400 without id": [answer(400, b"bad\n\n", has_id=False)],
    "301": [answer(301, b"moved\n\n", SIGNED, b"Location: /x")],
    "304": [
        b"HTTP/1.1 304 S\r\nGypsumsail-Request-Id: " + ID + b"\r\n" + SIGNED,
        b"\r\n\r\n",
    ],
    "204": [
        b"HTTP/1.1 204 S\r\nGypsumsail-Request-Id: " + ID + b"\r\n" + SIGNED,
        b"\r\n\r\n",
    ],
    "206": [answer(206, events(3), SIGNED)],
    "200 unsigned": [answer(200, events(3))],
    "200 without id": [answer(200, events(3), SIGNED, has_id=False)],
    "200 with a text": [counted(b"error: no memory\n\n")],
    "200 with a page": [counted(b"<html>\n<p>error</p>\n\n")],
    "200 with JSON": [counted(b'{"error": "no memory"}\n\n')],
    "200 with another answer": [counted(ERROR_HEAD + b"\n\n")],
    "200 from the first event": [counted(events(1))],
    "200 without length or body": [UNFRAMED, CLOSE],
    "200 cut": [counted(events(3))[:-3], CLOSE],
    "no answer": [CLOSE],
    "reset": [RESET],
    "no answer in the protocol": [b"error\r\n\r\n"],
}
"""What the next target answers."""


async def serve_stream(
    *scripts: list[Step], max_targets: int = 3
) -> tuple[RecordedReply, Gateway, ScriptedServer]:
    """Let three engines play the scripts in the order in which they are called."""
    server = ScriptedServer([list(script) for script in scripts])
    async with served(server, server, server) as addresses:
        engines = [
            engine(f"e{number}", address=address)
            for number, address in enumerate(addresses)
        ]
        routing = document(
            stream_route(is_resumable=True, max_targets=max_targets, timeout=2.0)
        )
        gw = gateway_before(*engines, routing=routing)
        reply = await serve(gw, path="/s/x")
    return reply, gw, server


@pytest.mark.parametrize("how", BREAKS)
async def test_broken_stream_goes_on_with_its_next_event(how: str) -> None:
    reply, _, server = await serve_stream(BREAKS[how], REST)
    assert reply.body == events(1)
    assert reply.is_complete
    assert server.resumed_after == ["", "2"]


@pytest.mark.parametrize("how", BREAKS)
async def test_broken_stream_without_another_target_is_broken_off(how: str) -> None:
    reply, _, _ = await serve_stream(BREAKS[how], max_targets=1)
    assert reply.body == events(1, 2)
    assert reply.is_aborted
    assert not reply.is_complete


@pytest.mark.parametrize("error", ERRORS)
async def test_error_of_the_next_target_stays_out_of_the_stream(error: str) -> None:
    reply, _, server = await serve_stream(
        BREAKS["reset between events"], ERRORS[error], [RESET], max_targets=2
    )
    # Another instance at the address does not count as a target.
    assert len(server.ids) == (3 if error == "421" else 2)
    assert reply.body in [events(1, last) for last in range(2, LAST_EVENT)]
    assert reply.is_aborted
    assert not reply.is_complete


@pytest.mark.parametrize("error", ERRORS)
async def test_stream_goes_on_at_a_third_target_after_an_error(error: str) -> None:
    reply, _, server = await serve_stream(
        BREAKS["reset between events"], ERRORS[error], REST
    )
    assert reply.body == events(1)
    assert reply.is_complete
    assert len(server.ids) == 3


async def test_end_without_the_event_that_was_cut_is_no_end() -> None:
    """The first target had begun another event, so the stream has one."""
    reply, _, _ = await serve_stream(
        BREAKS["reset within an event"], [counted(b"")], max_targets=2
    )
    assert reply.body == events(1, 2)
    assert reply.is_aborted


async def test_end_of_a_stream_whose_events_have_all_come_completes_it() -> None:
    """The first target broke off between its last event and the end."""
    whole: list[Step] = [CHUNKED + chunk(events(1)), RESET]
    reply, _, _ = await serve_stream(whole, [counted(b"")])
    assert reply.body == events(1)
    assert reply.is_complete


@pytest.mark.parametrize("status", [204, 206, 304, 404])
async def test_stream_that_a_caller_takes_up_does_not_end_with_another_status(
    status: int,
) -> None:
    """Its caller would take the empty answer for the end of the stream."""
    script: list[Step] = [
        b"HTTP/1.1 %d S\r\nGypsumsail-Request-Id: " % status + ID + b"\r\n",
        SIGNED + b"\r\n",
        b"\r\n" if status in (204, 304) else b"Content-Length: 0\r\n\r\n",
    ]
    server = ScriptedServer([script])
    async with served(server) as addresses:
        routing = document(stream_route(is_resumable=True, max_targets=1))
        gw = gateway_before(engine("e1", address=addresses[0]), routing=routing)
        gw.tick(gw.clock.monotonic())
        gw.resumption.builds.sole_build = lambda service, now: ""  # type: ignore[method-assign]
        reply = await serve(gw, path="/s/x", resume_after="3", resumes="id-0")
    assert server.ids
    assert reply.status == (status if status >= 300 else 502)
