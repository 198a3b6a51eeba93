"""Frames of an authenticated link."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from gypsumsail.peers.codec import dump, load, pack_message, unpack_message
from gypsumsail.peers.errors import MessageInvalidError
from gypsumsail.peers.port import Message

_NOTIFICATION: Final = 0
_REQUEST: Final = 1
_RESPONSE: Final = 2
_ERROR: Final = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Notification:
    """A message that expects no response."""

    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request; its response carries the same number."""

    number: int
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """The response to a request; ``message`` is ``None`` if no handler returned one."""

    number: int
    message: Message | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorResponse:
    """The response to a request whose handler raised an exception."""

    number: int
    reason: str


Frame = Notification | Request | Response | ErrorResponse


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame."""
    match frame:
        case Notification(message=message):
            return dump([_NOTIFICATION, *pack_message(message)])
        case Request(number=number, message=message):
            return dump([_REQUEST, number, *pack_message(message)])
        case Response(number=number, message=None):
            return dump([_RESPONSE, number])
        case Response(number=number, message=message):
            assert message is not None
            return dump([_RESPONSE, number, *pack_message(message)])
        case ErrorResponse(number=number, reason=reason):
            return dump([_ERROR, number, reason])


def decode_frame(data: bytes) -> Frame:
    """Decode a frame; raises MessageInvalidError."""
    match load(data):
        case [int(kind), str(name), fields] if kind == _NOTIFICATION:
            return Notification(message=unpack_message(name, fields))
        case [int(kind), int(number), name, fields] if kind == _REQUEST:
            return Request(number=number, message=unpack_message(name, fields))
        case [int(kind), int(number)] if kind == _RESPONSE:
            return Response(number=number, message=None)
        case [int(kind), int(number), name, fields] if kind == _RESPONSE:
            return Response(number=number, message=unpack_message(name, fields))
        case [int(kind), int(number), str(reason)] if kind == _ERROR:
            return ErrorResponse(number=number, reason=reason)
    raise MessageInvalidError("unknown frame type or layout")
