"""Splits a stream of events and knows the last one that went out."""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.core.errors import TransportError

MAX_EVENT_BYTES = 1024 * 1024


@dataclass(slots=True)
class EventSplitter:
    """Cuts a stream of bytes at the ends of its events.

    Attributes
    ----------
    last_id
        Id of the last whole event; empty before the first one.
    """

    last_id: str = ""
    rest: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events that they complete."""
        self.rest += data
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
        """Return whether an event has begun and is not whole."""
        return bool(self.rest)

    def _note_last_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b"\n")):
            name, _, value = line.partition(b":")
            if name == b"id":
                self.last_id = value.strip().decode("ascii", "replace")
                return
