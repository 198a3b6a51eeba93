"""Mutual authentication with the peer secret, and authentication of the frames.

The initiator sends a hello. The responder answers with a challenge that contains its
proof. The initiator sends its own proof, and the responder confirms it with a
welcome. A proof is an HMAC over both identities, both nonces, the protocol version
and the side, so it is valid for a single handshake only.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
import hashlib
import hmac
from typing import TypeVar

from gypsumsail.peers.codec import decoder_for, dump, load, to_plain
from gypsumsail.peers.const import FRAME_MAC_BYTES, NONCE_BYTES, PROTOCOL_VERSION
from gypsumsail.peers.errors import HandshakeError, MessageInvalidError
from gypsumsail.peers.port import EntryId


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """An entry process and its address, as they are authenticated by the handshake."""

    entry: EntryId
    peer_url: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First message, sent by the initiator."""

    version: int
    identity: Identity
    nonce: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Challenge:
    """Response to a hello, with the proof of the responder."""

    version: int
    identity: Identity
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Proof:
    """Proof of the initiator."""

    proof: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Welcome:
    """Confirmation by the responder that the link is established."""

    version: int


class Side(StrEnum):
    """The side of a link that a proof or an authentication key belongs to."""

    INITIATOR = "connects"
    RESPONDER = "accepts"


_HandshakeMessageT = TypeVar("_HandshakeMessageT", Hello, Challenge, Proof, Welcome)


def encode_handshake(part: Hello | Challenge | Proof | Welcome) -> bytes:
    """Encode a handshake message."""
    return dump(to_plain(part))


def decode_handshake(
    data: bytes | str, expected: type[_HandshakeMessageT]
) -> _HandshakeMessageT:
    """Decode a handshake message; raises HandshakeError."""
    if isinstance(data, str):
        raise HandshakeError("handshake message is not binary")
    try:
        part = decoder_for(expected)(load(data))
    except MessageInvalidError as error:
        raise HandshakeError(str(error)) from error
    assert isinstance(part, expected)
    return part


def check_version_and_nonce(part: Hello | Challenge) -> None:
    """Check the protocol version and the nonce; raises HandshakeError."""
    if part.version != PROTOCOL_VERSION:
        raise HandshakeError(
            f"peer has protocol version {part.version}, expected {PROTOCOL_VERSION}"
        )
    if len(part.nonce) != NONCE_BYTES:
        raise HandshakeError("nonce has the wrong length")


def compute_proof(
    secret: bytes,
    *,
    side: Side,
    initiator: Identity,
    responder: Identity,
    initiator_nonce: bytes,
    responder_nonce: bytes,
) -> bytes:
    """Compute the proof of one side for one handshake."""
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
        raise HandshakeError("peer secret does not match")


class FrameAuthenticator:
    """Authenticates the frames of one direction of a link.

    The MAC covers the position of a frame and its key differs per direction, so that a
    replayed, reordered or reflected frame is rejected.

    Attributes
    ----------
    count
        Number of frames signed or verified so far.
    """

    def __init__(self, secret: bytes, side: Side, both_proofs: bytes) -> None:
        self.key = hmac.digest(secret, side.value.encode() + both_proofs, "sha256")
        self.count = 0

    def sign(self, body: bytes) -> bytes:
        """Return the next frame to send: the MAC followed by the body."""
        return self._next_mac(body) + body

    def verify(self, frame: bytes) -> bytes:
        """Return the body of the next received frame; raises MessageInvalidError."""
        given, body = frame[:FRAME_MAC_BYTES], frame[FRAME_MAC_BYTES:]
        if not hmac.compare_digest(given, self._next_mac(body)):
            raise MessageInvalidError("frame is forged, replayed or out of order")
        return body

    def _next_mac(self, body: bytes) -> bytes:
        position = self.count.to_bytes(8, "big")
        self.count += 1
        digest = hashlib.blake2b(position, key=self.key, digest_size=FRAME_MAC_BYTES)
        digest.update(body)
        return digest.digest()
