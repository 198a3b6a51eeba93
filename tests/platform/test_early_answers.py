"""Tests of targets that answer before they have read a long body, and read on later."""

from __future__ import annotations

import asyncio
import socket

import pytest

from gypsumsail.core.clock import SystemClock
from gypsumsail.gateway.models import Address
from gypsumsail.gateway.port import SendTerms
from gypsumsail.platform.calls import PlatformTargetCalls
from stand_ins.raw_http import encode_response
from tests.gateway.common import call, target

HOST = "127.0.0.1"
BUFFER_BYTES = 8_192
READ_DELAY_SECONDS = 0.2
ID = "Gypsumsail-Request-Id"


class EarlyTarget:
    """A target that answers each request once it has read the head.

    Attributes
    ----------
    bodies
        Whole bodies by the id of their requests.
    cut
        Ids of the requests whose body ended early, with the connection.
    """

    def __init__(self) -> None:
        self.bodies: dict[str, bytes] = {}
        self.cut: list[str] = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self.listener.bind((HOST, 0))
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """Return the address at which the target listens."""
        return Address(host=HOST, port=self.listener.getsockname()[1])

    async def async_start(self) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(
            self._async_serve, sock=self.listener, limit=BUFFER_BYTES
        )

    def stop(self) -> None:
        """Stop to listen."""
        assert self.server is not None
        self.server.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while head := await self._async_head(reader):
                request_id = head["gypsumsail-request-id"]
                writer.write(encode_response(200, b"early", {ID: request_id}))
                await asyncio.sleep(READ_DELAY_SECONDS)
                await self._async_body(reader, request_id, int(head["content-length"]))
        finally:
            writer.close()

    async def _async_head(self, reader: asyncio.StreamReader) -> dict[str, str]:
        try:
            text = (await reader.readuntil(b"\r\n\r\n")).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            return {}
        method, *lines = text.strip().split("\r\n")
        assert method.startswith("POST /a/x HTTP/1.1")
        pairs = (line.split(": ", 1) for line in lines)
        return {name.lower(): value for name, value in pairs}

    async def _async_body(
        self, reader: asyncio.StreamReader, request_id: str, length: int
    ) -> None:
        try:
            self.bodies[request_id] = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.cut.append(request_id)


@pytest.mark.parametrize("body_bytes", [100, 200_000, 4_000_000])
@pytest.mark.parametrize("is_cancelled", [False, True])
async def test_next_request_is_not_read_as_the_rest_of_an_earlier_body(
    body_bytes: int, is_cancelled: bool
) -> None:
    early = EarlyTarget()
    await early.async_start()
    entry = target(address=early.address)
    calls = PlatformTargetCalls(SystemClock())
    terms = SendTerms(time_left=5.0, customer="a", priority=5)
    bodies = {f"id{number}": b"%d" % number * body_bytes for number in range(4)}
    for request_id, body in bodies.items():
        sent = call(
            "/a/x",
            method=b"POST",
            body=body,
            request_id=request_id,
            headers=((ID.encode(), request_id.encode()),),
        )
        exchange = await calls.async_send(entry, sent, terms, calls.clock.monotonic())
        if is_cancelled:
            exchange.abort()
            continue
        head = await exchange.async_head()
        assert head.status == 200
        assert await exchange.async_read_all(100) == b"early"
        exchange.finish()
    await asyncio.sleep(len(bodies) * 2 * READ_DELAY_SECONDS)
    calls.forget(entry)
    early.stop()
    assert all(early.bodies[key] == bodies[key] for key in early.bodies)
    if not is_cancelled:
        assert {*early.bodies, *early.cut} == {*bodies}
