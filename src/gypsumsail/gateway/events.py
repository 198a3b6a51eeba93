"""Splits a stream of server-sent events and records the id of the last one."""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.core.errors import TransportError

MAX_EVENT_BYTES = 1024 * 1024


@dataclass(slots=True)
class EventSplitter:
    """Splits a byte stream at the boundaries of its events.

    Attributes
    ----------
    last_id
        Id of the last complete event; empty before the first one.
    rest
        Bytes of the event that is not complete yet.
    has_bytes
        Whether any bytes have been added.
    """

    last_id: str = ""
    rest: bytearray = field(default_factory=bytearray)
    has_bytes: bool = False

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        Raises
        ------
        TransportError
            An event exceeds ``MAX_EVENT_BYTES``.
        """
        self.rest += data
        self.has_bytes = True
        end = self.rest.rfind(b"\n\n")
        if end < 0:
            if len(self.rest) > MAX_EVENT_BYTES:
                raise TransportError("an event of the stream is too long", sent=True)
            return b""
        whole = bytes(self.rest[: end + 2])
        del self.rest[: end + 2]
        self._note_last_id(whole)
        return whole

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event has been received."""
        return bool(self.rest)

    def _note_last_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b"\n")):
            name, _, value = line.partition(b":")
            if name == b"id":
                self.last_id = value.strip().decode("ascii", "replace")
                return
