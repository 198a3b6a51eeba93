"""Tests of answer streams against a scripted server."""

from __future__ import annotations

import socket

import pytest
import uvloop

from gypsumsail.core.errors import TransportError, UnavailableError
from gypsumsail.targets.errors import EngineRefusedError
from gypsumsail.targets.port import AnswerEnd, AnswerToken, EngineRequest
from gypsumsail.targets.stream import EngineStreams
from tests.raw_server import CLOSE, RESET, raw_server
from tests.targets.common import TEXTS, answer_events, engine_request, http_stream

WHOLE = http_stream(b"".join(answer_events()))


async def read(
    streams: EngineStreams, request: EngineRequest | None = None
) -> list[AnswerToken | AnswerEnd]:
    """Read an answer stream to its end; return its parts."""
    found: list[AnswerToken | AnswerEnd] = []
    async for batch in streams.stream(request or engine_request()):
        found += batch
    return found


def test_streams_run_on_uvloop() -> None:
    async def read_twice() -> int:
        async with raw_server([WHOLE]) as server:
            streams = EngineStreams(server.url)
            await read(streams)
            await read(streams)
            await streams.async_close()
            return server.connections

    assert uvloop.run(read_twice()) == 1


async def test_connection_is_reused_only_after_a_complete_answer() -> None:
    async with raw_server([WHOLE]) as server:
        streams = EngineStreams(server.url)
        for _ in range(2):
            parts = await read(streams)
            assert [p.text for p in parts if isinstance(p, AnswerToken)] == list(TEXTS)
            assert isinstance(parts[-1], AnswerEnd)
        assert (server.connections, server.requests) == (1, 2)
        cancelled = streams.stream(engine_request())
        await anext(cancelled)
        await cancelled.aclose()  # type: ignore[attr-defined]
        await read(streams)
        assert server.connections == 2
        await streams.async_close()


@pytest.mark.parametrize(
    "answer",
    [
        None,  # The server closes the connection.
        WHOLE[:-5] + CLOSE,
        http_stream(answer_events()[0]),
        http_stream(answer_events()[0], is_complete=False) + CLOSE,
        b"HTTP/1.1 200 OK\r\ncontent-type: text/html\r\ncontent-length: 0\r\n\r\n",
        RESET,  # The server resets the connection.
        b"HTTP/1.1 500 Error\r\ncontent-length: 100000\r\n\r\n" + b"x" * 100_000,
        b"nonsense\r\n\r\n",
        WHOLE + b"more",
    ],
)
async def test_incomplete_or_malformed_answer_counts_as_sent(
    answer: bytes | None,
) -> None:
    async with raw_server([answer]) as server:
        streams = EngineStreams(server.url)
        with pytest.raises(TransportError) as caught:
            await read(streams)
        assert caught.value.sent
        assert not streams.pool.idle
        await streams.async_close()
    assert server.requests == 1


async def test_oversized_response_head_is_rejected() -> None:
    async with raw_server([b"HTTP/1.1 200 OK\r\nx: " + b"y" * 1_000_000]) as server:
        streams = EngineStreams(server.url)
        with pytest.raises(TransportError, match="head") as caught:
            await read(streams)
    assert caught.value.sent


@pytest.mark.parametrize("loss", [None, RESET])
async def test_request_is_not_retried_when_a_reused_connection_is_lost(
    loss: bytes | None,
) -> None:
    async with raw_server([WHOLE, loss]) as server:
        streams = EngineStreams(server.url)
        await read(streams)
        with pytest.raises(TransportError) as caught:
            await read(streams)
    assert caught.value.sent
    assert (server.connections, server.requests) == (1, 2)


async def test_refused_connection_reports_nothing_sent() -> None:
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        streams = EngineStreams(f"http://127.0.0.1:{closed.getsockname()[1]}")
        with pytest.raises(TransportError) as caught:
            await read(streams)
    assert not caught.value.sent


async def test_deadline_ends_a_stalled_answer() -> None:
    async with raw_server([b""]) as server:
        streams = EngineStreams(server.url)
        with pytest.raises(TransportError, match="deadline") as caught:
            await read(streams, engine_request(deadline=0.1))
    assert caught.value.sent


@pytest.mark.parametrize(
    ("status", "body", "kind", "sent"),
    [
        (409, b'{"error": "version"}', EngineRefusedError, False),
        (409, b'{"error": "model"}', EngineRefusedError, False),
        (409, b'{"error": "role"}', EngineRefusedError, False),
        (503, b'{"error": "full"}', EngineRefusedError, False),
        (409, b'{"error": "full"}', TransportError, True),
        (409, b'{"error": "id"}', TransportError, True),
        (503, b'{"error": "outage"}', UnavailableError, True),
        (503, b"", UnavailableError, True),
        (500, b'{"error": "full"}', TransportError, True),
    ],
)
async def test_refusal_counts_as_not_run_only_if_the_protocol_guarantees_it(
    status: int, body: bytes, kind: type[TransportError], sent: bool
) -> None:
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n\r\n"
    async with raw_server([head.encode() + body]) as server:
        streams = EngineStreams(server.url)
        with pytest.raises(TransportError) as caught:
            await read(streams)
        await streams.async_close()
    assert type(caught.value) is kind
    assert caught.value.sent is sent
