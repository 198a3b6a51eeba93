"""Tests of targets that answer before they have read a long body, and read on later."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
import socket
from typing import Final

from gypsumsail.gateway.models import Address, CallKind
from gypsumsail.platform.calls import PlatformTargetCalls
from tests.gateway.common import (
    RecordedReply,
    ScriptedTargets,
    call,
    document,
    gateway,
    route,
    target,
)

PAUSE_SECONDS: Final = 3.3
IDLE_SECONDS: Final = 2.0
LONG_BODY: Final = b"x" * 600_000
ANSWER: Final = (
    b"HTTP/1.1 200 S\r\ngypsumsail-request-id: %b\r\n"
    b"gypsumsail-server-stamp: s\r\nContent-Length: 2\r\n\r\nok"
)


@asynccontextmanager
async def late_reading_target() -> AsyncIterator[int]:
    """Answer the first request at its head and read its body after a pause."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    listener.setblocking(False)
    loop = asyncio.get_running_loop()

    async def serve() -> None:
        accepted, _ = await loop.sock_accept(listener)
        accepted.setblocking(False)
        with accepted, suppress(ConnectionError):
            data = await loop.sock_recv(accepted, 2_000)
            await loop.sock_sendall(accepted, ANSWER % b"one")
            await asyncio.sleep(PAUSE_SECONDS)
            while data:
                data = await loop.sock_recv(accepted, 65_536)
                if b"equest-Id: two" in data or b"equest-id: two" in data.lower():
                    await loop.sock_sendall(accepted, ANSWER % b"two")

    task = asyncio.create_task(serve())
    try:
        yield listener.getsockname()[1]
    finally:
        task.cancel()
        listener.close()


async def test_call_after_a_long_body_is_no_crash_of_its_target() -> None:
    """The kernel counts its limit from when the target stopped reading."""
    async with late_reading_target() as port:
        entry = target(address=Address(host="127.0.0.1", port=port))
        routing = document(route(kind=CallKind.ONCE, max_targets=1, is_public=True))
        gw = gateway(ScriptedTargets(), entry, routing=routing)
        gw.calls = PlatformTargetCalls(gw.clock)
        replies = []
        for name, body, seconds in (("one", LONG_BODY, 8.0), ("two", b"", 1.5)):
            now = gw.clock.monotonic()
            sent = call(
                request_id=name,
                body=body,
                headers=((b"Gypsumsail-Request-Id", name.encode()),),
                received_at=now,
                deadline=now + seconds,
            )
            reply = RecordedReply()
            await gw.async_handle(sent, reply)
            replies.append(reply.status)
            await asyncio.sleep(IDLE_SECONDS if name == "one" else 0.0)
        assert not gw.crash_suspects.crashed_lives
        assert replies == [200, 200]
