"""Sends and receives gossip datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from typing import Any, cast

from gypsumsail.core import cbor
from gypsumsail.core.callback import callback
from gypsumsail.core.cbor import ValueInvalidError
from gypsumsail.gossip.const import MAX_DATAGRAM_BYTES
from gypsumsail.gossip.copy_messages import (
    CopiesConfirmed,
    encode_confirmed,
    is_confirmed,
    parse_confirmed,
)
from gypsumsail.gossip.messages import GossipMessage, encode, parse
from gypsumsail.gossip.store_messages import (
    StoreReports,
    are_store_reports,
    encode_store_reports,
    parse_store_reports,
)
from gypsumsail.gossip.stream_messages import (
    StreamMessage,
    encode_stream_message,
    is_stream_message,
    parse_stream_message,
)
from gypsumsail.gossip.target_notices import (
    TargetNotices,
    encode_notices,
    is_notices,
    parse_notices,
)
from gypsumsail.gossip.zone_reports import (
    ZoneReport,
    encode_report,
    is_report,
    parse_report,
)

_LOGGER = logging.getLogger(__name__)


class GossipEndpoint(asyncio.DatagramProtocol):
    """UDP socket of a VM.

    Attributes
    ----------
    invalid_datagrams
        Number of datagrams that were not valid messages, or could not be applied.
    """

    def __init__(
        self,
        on_message: Callable[[GossipMessage], None],
        on_report: Callable[[ZoneReport], None],
        on_notices: Callable[[TargetNotices], None],
        on_stream_message: Callable[[StreamMessage], None],
        on_copies_confirmed: Callable[[CopiesConfirmed], None],
        on_store_reports: Callable[[StoreReports], None],
    ) -> None:
        self.on_message = on_message
        self.on_report = on_report
        self.on_notices = on_notices
        self.on_stream_message = on_stream_message
        self.on_copies_confirmed = on_copies_confirmed
        self.on_store_reports = on_store_reports
        self.transport: asyncio.DatagramTransport | None = None
        self.invalid_datagrams = 0
        self.bytes_sent = 0

    async def async_start(self, host: str, port: int) -> None:
        """Open the socket."""
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
        if addresses:
            self._send(encode(message), addresses)

    @callback
    def send_report(self, report: ZoneReport, addresses: list[tuple[str, int]]) -> None:
        """Send one report to several VMs."""
        if addresses:
            self._send(encode_report(report), addresses)

    @callback
    def send_notices(
        self, message: TargetNotices, addresses: list[tuple[str, int]]
    ) -> None:
        """Send notices of targets to several VMs."""
        if addresses:
            self._send(encode_notices(message), addresses)

    @callback
    def send_stream_message(
        self, message: StreamMessage, addresses: list[tuple[str, int]]
    ) -> None:
        """Send a message on streams to several VMs."""
        if addresses:
            self._send(encode_stream_message(message), addresses)

    @callback
    def send_copies_confirmed(
        self, message: CopiesConfirmed, addresses: list[tuple[str, int]]
    ) -> None:
        """Send readings of the store to several VMs."""
        if addresses:
            self._send(encode_confirmed(message), addresses)

    @callback
    def send_store_reports(
        self, message: StoreReports, addresses: list[tuple[str, int]]
    ) -> None:
        """Send reports on context stores to several VMs."""
        if addresses:
            self._send(encode_store_reports(message), addresses)

    def _send(self, data: bytes, addresses: list[tuple[str, int]]) -> None:
        if self.transport is None:
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            _LOGGER.debug("Gossip message of %d bytes may be fragmented", len(data))
        for address in addresses:
            self.transport.sendto(data, address)
        self.bytes_sent += len(data) * len(addresses)

    def connection_made(self, transport: Any) -> None:
        """Store the transport of the open socket."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Decode and apply a datagram; count and ignore those that can't be."""
        try:
            self._handle(data)
        except ValueInvalidError as err:
            self.invalid_datagrams += 1
            _LOGGER.warning("Ignoring invalid datagram from %s: %s", addr, err)
        except Exception:
            self.invalid_datagrams += 1
            _LOGGER.exception("A datagram from %s could not be applied", addr)

    def _handle(self, data: bytes) -> None:
        value = cbor.load(data)
        if is_report(value):
            self.on_report(parse_report(value))
        elif is_notices(value):
            self.on_notices(parse_notices(value))
        elif is_stream_message(value):
            self.on_stream_message(parse_stream_message(value))
        elif is_confirmed(value):
            self.on_copies_confirmed(parse_confirmed(value))
        elif are_store_reports(value):
            self.on_store_reports(parse_store_reports(value))
        else:
            self.on_message(parse(value))

    def error_received(self, exc: Exception) -> None:
        """Ignore the error, which a host without a running VM causes."""
        _LOGGER.debug("Sending a datagram failed: %s", exc)
