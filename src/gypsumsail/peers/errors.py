"""Errors of the links between entries."""

from __future__ import annotations

from typing import ClassVar

from gypsumsail.core.errors import GypsumsailError, TransportError
from gypsumsail.peers.port import EntryId


class MessageInvalidError(GypsumsailError):
    """Bytes from a peer are not a valid message."""

    code: ClassVar[str] = "message_invalid"


class HandshakeError(TransportError):
    """The other side did not prove that it belongs to the deployment."""

    code: ClassVar[str] = "handshake"

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=False)


class OtherEntryError(TransportError):
    """Another entry answers at the address: the expected one has been replaced.

    Attributes
    ----------
    found
        The entry that proved itself at the address.
    """

    code: ClassVar[str] = "other_entry"

    def __init__(self, message: str, *, found: EntryId) -> None:
        super().__init__(message, sent=False)
        self.found = found
