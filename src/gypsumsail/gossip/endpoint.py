"""Sends and takes datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from typing import Any, cast

from gypsumsail.core.callback import callback
from gypsumsail.core.cbor import ValueInvalidError
from gypsumsail.gossip.const import MAX_DATAGRAM_BYTES
from gypsumsail.gossip.messages import GossipMessage, decode, encode

_LOGGER = logging.getLogger(__name__)


class GossipEndpoint(asyncio.DatagramProtocol):
    """The UDP socket of a VM.

    Attributes
    ----------
    invalid
        Datagrams that were no message.
    """

    def __init__(self, on_message: Callable[[GossipMessage], None]) -> None:
        self.on_message = on_message
        self.transport: asyncio.DatagramTransport | None = None
        self.invalid_datagrams = 0
        self.bytes_sent = 0

    async def async_start(self, host: str, port: int) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    @callback
    def stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    @callback
    def send(self, message: GossipMessage, addresses: list[tuple[str, int]]) -> None:
        """Send one message to several VMs."""
        if self.transport is None or not addresses:
            return
        data = encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            _LOGGER.debug("A message of %d bytes may be split", len(data))
        for address in addresses:
            self.transport.sendto(data, address)
        self.bytes_sent += len(data) * len(addresses)

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Decode a message; anything else is counted and left out."""
        try:
            message = decode(data)
        except ValueInvalidError as err:
            self.invalid_datagrams += 1
            _LOGGER.warning("A datagram of %s is no message: %s", addr, err)
            return
        self.on_message(message)

    def error_received(self, exc: Exception) -> None:
        """Pass over: a VM that is gone refuses datagrams."""
        _LOGGER.debug("Datagram was refused: %s", exc)
