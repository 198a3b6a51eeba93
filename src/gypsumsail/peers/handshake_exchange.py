"""Exchange of the handshake messages over a connection."""

from __future__ import annotations

from dataclasses import dataclass
import secrets

from websockets.asyncio.connection import Connection

from gypsumsail.peers.const import MAX_HANDSHAKE_BYTES, NONCE_BYTES, PROTOCOL_VERSION
from gypsumsail.peers.diagnostics import PeerCounters
from gypsumsail.peers.errors import HandshakeError
from gypsumsail.peers.handshake import (
    Challenge,
    FrameAuthenticator,
    Hello,
    Identity,
    Proof,
    Side,
    Welcome,
    check_proof,
    check_version_and_nonce,
    compute_proof,
    decode_handshake,
    encode_handshake,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class HandshakeResult:
    """Identity of the peer and the keys for the frames that follow the handshake."""

    peer: Identity
    send_authenticator: FrameAuthenticator
    receive_authenticator: FrameAuthenticator


async def async_initiate_handshake(
    connection: Connection, identity: Identity, secret: bytes, counters: PeerCounters
) -> HandshakeResult:
    """Perform the handshake as the initiator; raises HandshakeError."""
    hello = Hello(
        version=PROTOCOL_VERSION,
        identity=identity,
        nonce=secrets.token_bytes(NONCE_BYTES),
    )
    await _async_send(connection, encode_handshake(hello), counters)
    challenge = decode_handshake(await _async_receive(connection, counters), Challenge)
    check_version_and_nonce(challenge)
    responder_proof, initiator_proof = _proofs(
        secret, hello, challenge.identity, challenge.nonce
    )
    check_proof(challenge.proof, responder_proof)
    await _async_send(
        connection, encode_handshake(Proof(proof=initiator_proof)), counters
    )
    decode_handshake(await _async_receive(connection, counters), Welcome)
    return HandshakeResult(
        peer=challenge.identity,
        send_authenticator=FrameAuthenticator(
            secret, Side.INITIATOR, responder_proof + initiator_proof
        ),
        receive_authenticator=FrameAuthenticator(
            secret, Side.RESPONDER, responder_proof + initiator_proof
        ),
    )


async def async_accept_handshake(
    connection: Connection, identity: Identity, secret: bytes, counters: PeerCounters
) -> HandshakeResult:
    """Perform the handshake as the responder; raises HandshakeError."""
    hello = decode_handshake(await _async_receive(connection, counters), Hello)
    check_version_and_nonce(hello)
    nonce = secrets.token_bytes(NONCE_BYTES)
    responder_proof, initiator_proof = _proofs(secret, hello, identity, nonce)
    challenge = Challenge(
        version=PROTOCOL_VERSION, identity=identity, nonce=nonce, proof=responder_proof
    )
    await _async_send(connection, encode_handshake(challenge), counters)
    given = decode_handshake(await _async_receive(connection, counters), Proof)
    check_proof(given.proof, initiator_proof)
    await _async_send(
        connection, encode_handshake(Welcome(version=PROTOCOL_VERSION)), counters
    )
    return HandshakeResult(
        peer=hello.identity,
        send_authenticator=FrameAuthenticator(
            secret, Side.RESPONDER, responder_proof + initiator_proof
        ),
        receive_authenticator=FrameAuthenticator(
            secret, Side.INITIATOR, responder_proof + initiator_proof
        ),
    )


def _proofs(
    secret: bytes, hello: Hello, responder: Identity, responder_nonce: bytes
) -> tuple[bytes, bytes]:
    """Return the proofs of the responder and of the initiator."""
    responder_proof, initiator_proof = (
        compute_proof(
            secret,
            side=side,
            initiator=hello.identity,
            responder=responder,
            initiator_nonce=hello.nonce,
            responder_nonce=responder_nonce,
        )
        for side in (Side.RESPONDER, Side.INITIATOR)
    )
    return responder_proof, initiator_proof


async def _async_send(
    connection: Connection, data: bytes, counters: PeerCounters
) -> None:
    counters.count_sent(len(data))
    await connection.send(data)


async def _async_receive(connection: Connection, counters: PeerCounters) -> bytes:
    data = await connection.recv(decode=False)
    if len(data) > MAX_HANDSHAKE_BYTES:
        raise HandshakeError("handshake message is too large")
    counters.count_received(len(data))
    return bytes(data)
