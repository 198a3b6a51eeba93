"""Splits a stream of server-sent events and records the id of the last one."""

from __future__ import annotations

from dataclasses import dataclass, field
import re
from typing import Final

from gypsumsail.core.errors import TransportError

MAX_EVENT_BYTES: Final = 64 * 1024
MAX_ID_DIGITS: Final = 18
"""Longest id that is compared as a number."""
EVENT_FIELDS: Final = frozenset({b"data", b"event", b"id", b"retry"})
"""Fields of which an event has at least one; only they may lack a value."""
_FIELD_NAME: Final = re.compile(rb"[A-Za-z][A-Za-z0-9_-]*")


class InvalidEventError(TransportError):
    """An event is malformed, or its id is not higher than the one before."""


@dataclass(slots=True)
class EventSplitter:
    """Splits a byte stream at the boundaries of its events, and checks these.

    Attributes
    ----------
    last_id
        Id of the last complete event, or of the last one that the caller has; empty
        before the first one.
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
        InvalidEventError
            An event is malformed, as an error's text would be, or its id is not higher
            than the one before.
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
        checked = 0
        try:
            while checked < len(whole):
                found = whole.find(b"\n\n", checked)
                event_end = found + 2 if found >= 0 else len(whole)
                self._check(whole[checked:event_end])
                checked = event_end
        except InvalidEventError:
            if not checked:
                raise
            # Raised again with the next bytes; until then, the event is incomplete.
            self.rest[:0] = whole[checked:]
        return whole[:checked]

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event has been received."""
        return bool(self.rest)

    def _check(self, event: bytes) -> None:
        """Check the lines of an event and store its id."""
        lines = [line for line in event.split(b"\n") if line and line[:1] != b":"]
        has_event_field = not lines
        last_id = self.last_id
        for line in lines:
            name, colon, value = line.partition(b":")
            if name in EVENT_FIELDS:
                has_event_field = True
            elif not colon or not _FIELD_NAME.fullmatch(name):
                raise InvalidEventError("malformed event in the stream", sent=True)
            if name == b"id":
                last_id = _next_id(last_id, value.strip())
        if not has_event_field:
            raise InvalidEventError("malformed event in the stream", sent=True)
        self.last_id = last_id


def _next_id(last_id: str, value: bytes) -> str:
    number, last = _number(value), _number(last_id.encode())
    if number is not None and last is not None and number <= last:
        raise InvalidEventError("event out of order in the stream", sent=True)
    return value.decode("ascii", "replace")


def _number(value: bytes) -> int | None:
    return int(value) if value.isdigit() and len(value) <= MAX_ID_DIGITS else None
