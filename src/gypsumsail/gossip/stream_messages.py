"""What VMs tell and ask each other on the builds that began streams, in CBOR."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import cbor2

from gypsumsail.core import cbor
from gypsumsail.gateway.stream_builds import StreamBegin

STREAMS_FORMAT_VERSION: Final = 5
"""Version of the format, which also tells it from other datagrams."""

_TOLD: Final = 0
_QUESTION: Final = 1
_ANSWER: Final = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamsTold:
    """Streams that the sender began."""

    host: str
    begins: tuple[StreamBegin, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class BuildQuestion:
    """Question which build began a stream.

    Attributes
    ----------
    number
        Number of the question at the sender.
    """

    host: str
    number: int
    stream: str
    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class BuildAnswer:
    """Answer to a question.

    Attributes
    ----------
    build
        ``None`` if the sender does not know it.
    """

    host: str
    number: int
    build: str | None


StreamMessage = StreamsTold | BuildQuestion | BuildAnswer


def encode_stream_message(message: StreamMessage) -> bytes:
    """Encode a message."""
    match message:
        case StreamsTold(begins=begins):
            rows = [[item.stream, item.service, item.build] for item in begins]
            columns = [_TOLD, 0, rows]
        case BuildQuestion(number=number, stream=stream, service=service):
            columns = [_QUESTION, number, [[stream, service, ""]]]
        case BuildAnswer(number=number, build=build):
            rows = [] if build is None else [["", "", build]]
            columns = [_ANSWER, number, rows]
    return cbor2.dumps([STREAMS_FORMAT_VERSION, message.host, *columns])


def is_stream_message(fields: object) -> bool:
    """Return whether a decoded datagram is one of these messages."""
    return isinstance(fields, list) and fields[:1] == [STREAMS_FORMAT_VERSION]


def parse_stream_message(value: object) -> StreamMessage:
    """Parse a decoded datagram; raises ``ValueInvalidError``."""
    _, host, kind, number, encoded = _MESSAGE.read(value)
    rows: list[list[Any]] = list(_ROW.read_all(encoded))
    if kind == _TOLD:
        return StreamsTold(
            host=host,
            begins=tuple(
                StreamBegin(stream=stream, service=service, build=build)
                for stream, service, build in rows
            ),
        )
    if kind == _QUESTION and len(rows) == 1:
        stream, service, _ = rows[0]
        return BuildQuestion(host=host, number=number, stream=stream, service=service)
    if kind == _ANSWER and len(rows) <= 1:
        build = rows[0][2] if rows else None
        return BuildAnswer(host=host, number=number, build=build)
    raise cbor.ValueInvalidError("unknown kind of message on streams")


_MESSAGE: Final = cbor.RowReader(int, str, int, int, list)
_ROW: Final = cbor.RowReader(str, str, str)
