"""Frames on an authenticated link."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from gypsumsail.peers.codec import dump, load, pack_message, unpack_message
from gypsumsail.peers.errors import MessageInvalidError
from gypsumsail.peers.port import Message

_TELL: Final = 0
_ASK: Final = 1
_ANSWER: Final = 2
_FAILURE: Final = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Tell:
    """A message without an answer."""

    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class Ask:
    """A request; the answer carries its number."""

    number: int
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The answer to a request; no message means that the handler had none."""

    number: int
    message: Message | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """The request was received and its handler failed."""

    number: int
    reason: str


Frame = Tell | Ask | Answer | Failure


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    match frame:
        case Tell(message=message):
            return dump([_TELL, *pack_message(message)])
        case Ask(number=number, message=message):
            return dump([_ASK, number, *pack_message(message)])
        case Answer(number=number, message=None):
            return dump([_ANSWER, number])
        case Answer(number=number, message=message):
            assert message is not None
            return dump([_ANSWER, number, *pack_message(message)])
        case Failure(number=number, reason=reason):
            return dump([_FAILURE, number, reason])


def decode_frame(data: bytes) -> Frame:
    """Return the frame; raises MessageInvalidError."""
    match load(data):
        case [int(kind), str(name), fields] if kind == _TELL:
            return Tell(message=unpack_message(name, fields))
        case [int(kind), int(number), name, fields] if kind == _ASK:
            return Ask(number=number, message=unpack_message(name, fields))
        case [int(kind), int(number)] if kind == _ANSWER:
            return Answer(number=number, message=None)
        case [int(kind), int(number), name, fields] if kind == _ANSWER:
            return Answer(number=number, message=unpack_message(name, fields))
        case [int(kind), int(number), str(reason)] if kind == _FAILURE:
            return Failure(number=number, reason=reason)
    raise MessageInvalidError("unknown frame")
