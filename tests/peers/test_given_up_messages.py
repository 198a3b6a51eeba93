"""Tests that a message that was given up does not arrive over a link later."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Final
from urllib.parse import urlsplit

import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.peers import dialing
from gypsumsail.peers.const import MAX_FRAME_BYTES
from gypsumsail.peers.network import WebsocketPeerNetwork
from gypsumsail.peers.port import EntryId, Message
from tests.peers.common import TextMessage

SEND_LIMIT_SECONDS: Final = 0.5
ARRIVAL_SECONDS: Final = 1.0
PIECE_BYTES: Final = 65_536
# More than the buffers of the relay and of its kernel take.
PARTS: Final = (bytes(MAX_FRAME_BYTES - 10_000),)


class Relay:
    """Passes on what comes, except while it holds it.

    Attributes
    ----------
    may_pass
        Whether bytes of the first end are passed on; those of the second always are.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.may_pass = asyncio.Event()
        self.may_pass.set()

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection until either end closes."""
        back, forth = await asyncio.open_connection(self.host, self.port)
        await asyncio.gather(
            self._async_copy(reader, forth, self.may_pass),
            self._async_copy(back, writer, None),
        )

    @staticmethod
    async def _async_copy(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        may_pass: asyncio.Event | None,
    ) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(PIECE_BYTES):
                if may_pass is not None:
                    await may_pass.wait()
                writer.write(data)
                await writer.drain()
        writer.close()


@asynccontextmanager
async def relay_to(network: WebsocketPeerNetwork) -> AsyncIterator[tuple[Relay, str]]:
    """Run a relay to a network; yield it with its URL."""
    address = urlsplit(network.peer_url)
    assert address.hostname is not None
    assert address.port is not None
    relay = Relay(address.hostname, address.port)
    server = await asyncio.start_server(relay.async_serve, "127.0.0.1", 0)
    try:
        yield relay, f"ws://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        relay.may_pass.set()
        server.close()


async def test_message_that_was_given_up_does_not_arrive_after_a_cut(
    pair: tuple[WebsocketPeerNetwork, WebsocketPeerNetwork],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel used to deliver it, and the link was used as long as it tried."""
    monkeypatch.setattr(dialing, "SEND_LIMIT_SECONDS", SEND_LIMIT_SECONDS)
    first, second = pair
    seen: list[str] = []

    async def async_answer(peer: EntryId, message: TextMessage) -> Message | None:
        seen.append(message.text)
        return TextMessage(text="seen")

    second.subscribe(TextMessage, async_answer)
    async with relay_to(second) as (relay, url):
        first.set_addresses({second.entry: url})
        await first.async_request(second.entry, TextMessage(text="before"), timeout=5)
        relay.may_pass.clear()
        with pytest.raises(TransportError) as caught:
            await first.async_request(
                second.entry, TextMessage(text="given up", parts=PARTS), timeout=0.2
            )
        assert caught.value.sent
        await asyncio.sleep(3 * SEND_LIMIT_SECONDS)
        relay.may_pass.set()
        await asyncio.sleep(ARRIVAL_SECONDS)
        await first.async_request(second.entry, TextMessage(text="after"), timeout=5)
    assert seen == ["before", "after"]
