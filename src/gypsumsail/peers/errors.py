"""Errors of the links between entries."""

from __future__ import annotations

from typing import ClassVar

from gypsumsail.core.errors import GypsumsailError, TransportError
from gypsumsail.peers.port import EntryId


class MessageInvalidError(GypsumsailError):
    """Data received from a peer is not a valid message."""

    code: ClassVar[str] = "message_invalid"


class HandshakeError(TransportError):
    """The handshake failed.

    For example, the peer does not know the peer secret of the deployment, has another
    protocol version, or opened a link and did not complete the handshake in time.
    """

    code: ClassVar[str] = "handshake"

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=False)


class OtherEntryError(TransportError):
    """Another entry answers at the address because the expected one was replaced.

    Attributes
    ----------
    found
        The authenticated entry at the address.
    """

    code: ClassVar[str] = "other_entry"

    def __init__(self, message: str, *, found: EntryId) -> None:
        super().__init__(message, sent=False)
        self.found = found
