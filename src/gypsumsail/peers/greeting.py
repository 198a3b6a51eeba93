"""The handshake over a connection."""

from __future__ import annotations

from dataclasses import dataclass
import secrets

from websockets.asyncio.connection import Connection

from gypsumsail.peers.const import MAX_HANDSHAKE_BYTES, NONCE_BYTES, PROTOCOL_VERSION
from gypsumsail.peers.diagnostics import PeerCounters
from gypsumsail.peers.errors import HandshakeError
from gypsumsail.peers.handshake import (
    Challenge,
    Hello,
    Identity,
    Proof,
    Seal,
    Side,
    Welcome,
    check_hello,
    check_proof,
    decode_words,
    encode_words,
    proof,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Greeted:
    """What a handshake agreed on."""

    peer: Identity
    seal_out: Seal
    seal_in: Seal


async def async_introduce(
    connection: Connection, me: Identity, secret: bytes, counters: PeerCounters
) -> Greeted:
    """Handshake as the side that connects; raises HandshakeError."""
    hello = Hello(
        version=PROTOCOL_VERSION, identity=me, nonce=secrets.token_bytes(NONCE_BYTES)
    )
    await _async_send(connection, encode_words(hello), counters)
    challenge = decode_words(await _async_receive(connection, counters), Challenge)
    check_hello(challenge)
    theirs, ours = _proofs(secret, hello, challenge.identity, challenge.nonce)
    check_proof(challenge.proof, theirs)
    await _async_send(connection, encode_words(Proof(proof=ours)), counters)
    decode_words(await _async_receive(connection, counters), Welcome)
    return Greeted(
        peer=challenge.identity,
        seal_out=Seal(secret, Side.CONNECTS, theirs + ours),
        seal_in=Seal(secret, Side.ACCEPTS, theirs + ours),
    )


async def async_accept(
    connection: Connection, me: Identity, secret: bytes, counters: PeerCounters
) -> Greeted:
    """Handshake as the side that accepts; raises HandshakeError."""
    hello = decode_words(await _async_receive(connection, counters), Hello)
    check_hello(hello)
    nonce = secrets.token_bytes(NONCE_BYTES)
    ours, theirs = _proofs(secret, hello, me, nonce)
    challenge = Challenge(
        version=PROTOCOL_VERSION, identity=me, nonce=nonce, proof=ours
    )
    await _async_send(connection, encode_words(challenge), counters)
    given = decode_words(await _async_receive(connection, counters), Proof)
    check_proof(given.proof, theirs)
    await _async_send(
        connection, encode_words(Welcome(version=PROTOCOL_VERSION)), counters
    )
    return Greeted(
        peer=hello.identity,
        seal_out=Seal(secret, Side.ACCEPTS, ours + theirs),
        seal_in=Seal(secret, Side.CONNECTS, ours + theirs),
    )


def _proofs(
    secret: bytes, hello: Hello, accepts: Identity, accepts_nonce: bytes
) -> tuple[bytes, bytes]:
    """Return the proofs of the side that accepts and of the one that connects."""
    accepting, connecting = (
        proof(
            secret,
            side=side,
            connects=hello.identity,
            accepts=accepts,
            connects_nonce=hello.nonce,
            accepts_nonce=accepts_nonce,
        )
        for side in (Side.ACCEPTS, Side.CONNECTS)
    )
    return accepting, connecting


async def _async_send(
    connection: Connection, data: bytes, counters: PeerCounters
) -> None:
    counters.count_sent(len(data))
    await connection.send(data)


async def _async_receive(connection: Connection, counters: PeerCounters) -> bytes:
    data = await connection.recv(decode=False)
    if len(data) > MAX_HANDSHAKE_BYTES:
        raise HandshakeError("handshake is too long")
    counters.count_received(len(data))
    return bytes(data)
