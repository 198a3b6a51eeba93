"""Tests of fields that a caller sends after a chunked body."""

from __future__ import annotations

import asyncio

import pytest

from gypsumsail.forwarding.messages import encode_forward
from gypsumsail.gateway.forwarding import ForwardTerms
from gypsumsail.gateway.models import Address
from gypsumsail.gateway.port import SendTerms
from gypsumsail.platform.calls import PlatformTargetCalls
from tests.forwarding.common import ForwardingPair
from tests.gateway.common import PORTAL, RunningClock, ScriptedExchange, call, target
from tests.platform.common import (
    HEAD_LIMIT_BYTES,
    ID,
    Border,
    chunked_request,
    encode_head,
    head_lines,
)
from tests.raw_server import raw_server

TRAILER_FIELDS = [
    b"Gypsumsail-Request-Id: ffffffffffffffff",
    b"Host: other.example",
    b"Authorization: Bearer key-of-a",
    b"Gypsumsail-Model: m9",
    b"Gypsumsail-Token-Count: 9,9",
    b"Gypsumsail-Prompt-Prefix: ff:9",
    b"Gypsumsail-Deadline-Ms: 1",
    b"Connection: gypsumsail-request-id",
    b"Last-Event-Id: 7",
    b"Resumes: ffffffffffffffff",
    b"Gypsumsail-Tenant: b",
    b"Gypsumsail-Target-Instance: t9",
    b"Kv-From: 10.0.0.9:80/h",
    b"X-Checksum: 1",
]


@pytest.mark.parametrize("field", TRAILER_FIELDS)
async def test_trailer_field_changes_nothing(field: bytes) -> None:
    async with Border().serving() as border:
        plain = await border.async_send(chunked_request())
        found = await border.async_send(chunked_request(field))
    assert found.startswith(b"HTTP/1.1 200")
    assert found == plain
    expected, request = border.target.requests
    assert request.body == b"body"
    assert request.request_id == ID
    assert _without_deadline(request.headers) == _without_deadline(expected.headers)


def _without_deadline(
    headers: tuple[tuple[bytes, bytes], ...],
) -> list[tuple[bytes, bytes]]:
    return [pair for pair in headers if pair[0] != b"Gypsumsail-Deadline-Ms"]


async def test_trailer_that_asks_to_close_changes_only_the_connection() -> None:
    async with Border().serving() as border:
        found = await border.async_send(chunked_request(b"Connection: close"))
    assert found.startswith(b"HTTP/1.1 200")
    assert found.endswith(b"\r\n\r\nbody")
    assert not border.target.requests[0].values(b"connection")


@pytest.mark.parametrize(
    "field",
    [b"Content-Length: 4", b"Content-Length: 99", b"Transfer-Encoding: chunked"],
)
async def test_trailer_with_framing_is_rejected(field: bytes) -> None:
    """No sender may send these after a body (RFC 9110, 6.5.1)."""
    async with Border().serving() as border:
        found = await border.async_send(chunked_request(field))
    assert found.startswith(b"HTTP/1.1 400")
    assert not border.target.requests


async def test_trailer_gives_a_request_no_id() -> None:
    head = [line for line in head_lines() if b"-Id" not in line]
    async with Border().serving() as border:
        found = await border.async_send(
            chunked_request(b"Gypsumsail-Request-Id: " + ID, head=head)
        )
    assert found.startswith(b"HTTP/1.1 400")
    assert not border.target.requests


async def test_trailer_gives_a_request_no_key() -> None:
    head = head_lines(target_text=b"/k/x")
    async with Border().serving() as border:
        found = await border.async_send(
            chunked_request(b"Authorization: Bearer key-of-a", head=head)
        )
    assert found.startswith(b"HTTP/1.1 401")
    assert not border.target.requests


async def test_trailer_is_no_part_of_the_next_request() -> None:
    following = encode_head([*head_lines(b"Content-Length: 4")]) + b"next"
    async with Border().serving() as border:
        await border.async_send(
            chunked_request(b"X-A: 1", b"X-B: 2") + following, answers=2
        )
    assert [request.body for request in border.target.requests] == [b"body", b"next"]
    for request in border.target.requests:
        assert not request.values(b"x-a") + request.values(b"x-b")


@pytest.mark.parametrize(
    "lines",
    [
        [b"X: " + b"y" * HEAD_LIMIT_BYTES],
        [b"X: " + b"y" * 100] * (HEAD_LIMIT_BYTES // 100),
    ],
)
async def test_trailer_section_has_the_size_limit_of_a_head(lines: list[bytes]) -> None:
    async with Border().serving() as border:
        found = await border.async_send(chunked_request(*lines))
    assert found.startswith(b"HTTP/1.1 431")
    assert border.refused == [431]
    assert not border.target.requests


async def test_large_body_does_not_count_toward_the_size_of_the_trailer() -> None:
    chunk = b"%x\r\n%b\r\n" % (4_096, b"b" * 4_096)
    data = encode_head(head_lines(b"Transfer-Encoding: chunked")) + chunk * 3
    async with Border().serving() as border:
        found = await border.async_send(data, b"0\r\nX: y\r\n\r\n")
    assert found.startswith(b"HTTP/1.1 200")
    assert len(border.target.requests[0].body) == 3 * 4_096


@pytest.mark.parametrize(
    "line",
    [
        b"no colon",
        b"X : y",
        b": y",
        b" X: folded",
        b"X: a\x00b",
        b"X: a\nb",
        b"X: a\rb",
        b"X\x80: y",
    ],
)
async def test_malformed_trailer_is_rejected(line: bytes) -> None:
    async with Border().serving() as border:
        found = await border.async_send(chunked_request(line))
    assert found.startswith(b"HTTP/1.1 400")
    assert not border.target.requests


@pytest.mark.parametrize("start", [b"0\r\nX: ", b"1;", b"0\r\n"])
async def test_bytes_without_end_around_chunks_are_refused(start: bytes) -> None:
    """The limit holds before a field, or the name of an extension, has ended."""
    head = encode_head(head_lines(b"Transfer-Encoding: chunked"))
    unit = b"X: y\r\n" if start.endswith(b"\n") else b"a"
    endless = unit * (4 * HEAD_LIMIT_BYTES // len(unit))
    async with Border().serving() as border:
        found = await border.async_send(
            head + start, endless, endless, wait=0.8, pause=0.02
        )
    assert found.startswith(b"HTTP/1.1 431")
    assert not border.target.requests


async def test_trailer_of_an_answer_is_dropped() -> None:
    """Neither that of the answer nor that of a late answer before it counts."""
    chunks = b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
    trailer = b"Gypsumsail-Server-Stamp: s\r\nGypsumsail-Not-Run: 1\r\nX: y\r\n\r\n"
    late = b"HTTP/1.1 200 OK\r\nGypsumsail-Request-Id: other\r\n" + chunks + trailer
    mine = b"HTTP/1.1 200 OK\r\nGypsumsail-Request-Id: " + ID + b"\r\n"
    async with raw_server([late + mine + chunks + trailer]) as server:
        address = Address(host="127.0.0.1", port=int(server.url.rpartition(":")[2]))
        calls = PlatformTargetCalls(RunningClock())
        entry = target(address=address)
        sent = call(request_id=ID.decode())
        now = calls.clock.monotonic()
        terms = SendTerms(time_left=2.0, customer="a", priority=1)
        exchange = await calls.async_send(entry, sent, terms, now)
        head = await exchange.async_head()
        assert await exchange.async_read_all(100) == b"body"
        exchange.finish()
        calls.forget(entry)
    assert not head.is_signed
    assert not head.says_not_run
    assert not any(name == b"x" for name, _ in head.headers)


async def test_trailer_at_the_port_between_vms_is_dropped() -> None:
    pair = ForwardingPair(ScriptedExchange())
    await pair.async_start()
    terms = ForwardTerms(
        service=PORTAL, document_revision=1, max_targets=1, time_left=2.0, build=""
    )
    message = encode_forward("v1", pair.call(), terms)
    reader, writer = await asyncio.open_connection("127.0.0.1", pair.server.port)
    writer.write(
        b"POST /peer/forward HTTP/1.1\r\nHost: h\r\nForward-Id: mine\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
        b"%x\r\n%b\r\n0\r\nForward-Id: other\r\n\r\n" % (len(message), message)
    )
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    writer.close()
    await pair.async_stop()
    assert head.startswith(b"http/1.1 200")
    assert head.count(b"forward-id") == 1
    assert b"forward-id: mine" in head
