"""Mutual proof of the deployment's secret, and the seals on what follows.

The side that connects sends a hello, the other answers with its proof, the first
proves itself in turn and is welcomed. A proof covers both identities, both
nonces, the protocol version and the role, so that it fits one handshake only.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
import hashlib
import hmac
from typing import TypeVar

from gypsumsail.peers.codec import dump, load, reader_of, to_plain
from gypsumsail.peers.const import FRAME_MAC_BYTES, NONCE_BYTES, PROTOCOL_VERSION
from gypsumsail.peers.errors import HandshakeError, MessageInvalidError
from gypsumsail.peers.port import EntryId


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Who speaks, and the address at which its links are accepted."""

    entry: EntryId
    peer_url: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First words of the side that connects."""

    version: int
    identity: Identity
    nonce: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Challenge:
    """Answer to a hello, with the proof of the side that accepts."""

    version: int
    identity: Identity
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Proof:
    """Proof of the side that connects."""

    proof: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Welcome:
    """The link is open on both sides."""

    version: int


class Side(StrEnum):
    """Which side of a link a proof or a seal belongs to."""

    INITIATOR = "connects"
    RESPONDER = "accepts"


_HandshakeMessageT = TypeVar("_HandshakeMessageT", Hello, Challenge, Proof, Welcome)


def encode_handshake(words: Hello | Challenge | Proof | Welcome) -> bytes:
    """Return the bytes of a part of the handshake."""
    return dump(to_plain(words))


def decode_handshake(
    data: bytes | str, expected: type[_HandshakeMessageT]
) -> _HandshakeMessageT:
    """Return a part of the handshake; raises HandshakeError."""
    if isinstance(data, str):
        raise HandshakeError("handshake is not binary")
    try:
        words = reader_of(expected)(load(data))
    except MessageInvalidError as error:
        raise HandshakeError(str(error)) from error
    assert isinstance(words, expected)
    return words


def check_hello(words: Hello | Challenge) -> None:
    """Check version and nonce; raises HandshakeError."""
    if words.version != PROTOCOL_VERSION:
        raise HandshakeError(
            f"protocol version {words.version} is not {PROTOCOL_VERSION}"
        )
    if len(words.nonce) != NONCE_BYTES:
        raise HandshakeError("nonce has the wrong length")


def proof(
    secret: bytes,
    *,
    side: Side,
    initiator: Identity,
    responder: Identity,
    initiator_nonce: bytes,
    responder_nonce: bytes,
) -> bytes:
    """Return the proof of one side for one handshake."""
    covered = [
        "gypsumsail-peer",
        PROTOCOL_VERSION,
        side.value,
        to_plain(initiator),
        to_plain(responder),
        initiator_nonce,
        responder_nonce,
    ]
    return hmac.digest(secret, dump(covered), "sha256")


def check_proof(given: bytes, expected: bytes) -> None:
    """Compare proofs in constant time; raises HandshakeError."""
    if not hmac.compare_digest(given, expected):
        raise HandshakeError("the peer secret does not match")


class FrameAuthenticator:
    """Seals one direction of a link: each frame in its place, once.

    Attributes
    ----------
    count
        Frames sealed or opened so far.
    """

    def __init__(self, secret: bytes, side: Side, both_proofs: bytes) -> None:
        self.key = hmac.digest(secret, side.value.encode() + both_proofs, "sha256")
        self.count = 0

    def sign(self, body: bytes) -> bytes:
        """Return the next frame to send."""
        return self._next_mac(body) + body

    def verify(self, frame: bytes) -> bytes:
        """Return the body of the next frame; raises MessageInvalidError."""
        given, body = frame[:FRAME_MAC_BYTES], frame[FRAME_MAC_BYTES:]
        if not hmac.compare_digest(given, self._next_mac(body)):
            raise MessageInvalidError("a frame is forged, repeated or out of order")
        return body

    def _next_mac(self, body: bytes) -> bytes:
        place = self.count.to_bytes(8, "big")
        self.count += 1
        digest = hashlib.blake2b(place, key=self.key, digest_size=FRAME_MAC_BYTES)
        digest.update(body)
        return digest.digest()
