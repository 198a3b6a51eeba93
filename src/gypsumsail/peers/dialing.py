"""Establish outgoing and incoming connections between entries."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.exceptions import WebSocketException

from gypsumsail.core.errors import TransportError
from gypsumsail.peers.const import (
    CLOSE_TIMEOUT_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_BYTES,
    SEND_LIMIT_SECONDS,
)
from gypsumsail.peers.diagnostics import PeerCounters
from gypsumsail.peers.errors import HandshakeError
from gypsumsail.peers.handshake import Identity
from gypsumsail.peers.handshake_exchange import (
    HandshakeResult,
    async_accept_handshake,
    async_initiate_handshake,
)
from gypsumsail.transport.socket_options import limit_sending


@dataclass(frozen=True, slots=True, kw_only=True)
class AuthenticatedConnection:
    """A connection whose peer has been authenticated."""

    connection: Connection
    handshake: HandshakeResult


async def async_dial(
    peer_url: str, identity: Identity, secret: bytes, counters: PeerCounters
) -> AuthenticatedConnection:
    """Connect to a peer and authenticate it; raises TransportError."""
    connection: Connection | None = None
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            connection = await connect(
                peer_url,
                compression=None,
                max_size=MAX_HANDSHAKE_BYTES,
                ping_interval=None,
                close_timeout=CLOSE_TIMEOUT_SECONDS,
                proxy=None,
                user_agent_header=None,
            )
            handshake = await async_initiate_handshake(
                connection, identity, secret, counters
            )
    except (OSError, TimeoutError, WebSocketException) as error:
        await _async_close_failed(connection)
        raise TransportError(
            f"could not connect to {peer_url}: {error or 'timed out'}", sent=False
        ) from error
    except HandshakeError:
        counters.refused += 1
        await _async_close_failed(connection)
        raise
    return _finish_authentication(connection, handshake)


async def async_authenticate_incoming(
    connection: Connection, identity: Identity, secret: bytes, counters: PeerCounters
) -> AuthenticatedConnection:
    """Authenticate the peer of an incoming connection; raises HandshakeError."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            handshake = await async_accept_handshake(
                connection, identity, secret, counters
            )
    except (HandshakeError, TimeoutError, WebSocketException) as error:
        counters.refused += 1
        raise HandshakeError(str(error) or "handshake timed out") from error
    return _finish_authentication(connection, handshake)


def _finish_authentication(
    connection: Connection, handshake: HandshakeResult
) -> AuthenticatedConnection:
    """Raise the frame size limit and return the authenticated connection.

    The limit stays small until then, so that an unauthenticated peer cannot fill
    the memory. From then on the kernel gives up a link that is cut, so that another
    one is opened once the peer is reached again.
    """
    limit_sending(connection.transport, SEND_LIMIT_SECONDS)
    connection.protocol.max_message_size = MAX_FRAME_BYTES
    return AuthenticatedConnection(connection=connection, handshake=handshake)


async def _async_close_failed(connection: Connection | None) -> None:
    if connection is None:
        return
    with contextlib.suppress(WebSocketException, OSError):
        await connection.close()
