"""Simple reading of requests as HTTP/1.1 frames them, to compare the server with."""

from __future__ import annotations

import re

REQUEST_LINE = re.compile(rb"(?:\r\n)*GET /a HTTP/1\.1\r\n")
HEAD_LINE = re.compile(rb"([A-Za-z-]+): ([^\r\n]+)\r\n")
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]+)\r\n")
END = b"\r\n"


def framed_bodies(data: bytes) -> list[bytes]:
    """Return the bodies of the complete requests at the beginning of some bytes."""
    bodies: list[bytes] = []
    position = 0
    while (found := _read_request(data, position)) is not None:
        body, position = found
        bodies.append(body)
    return bodies


def _read_request(data: bytes, position: int) -> tuple[bytes, int] | None:
    """Return the body of a request and the position after it."""
    line = REQUEST_LINE.match(data, position)
    if line is None:
        return None
    position = line.end()
    headers: dict[bytes, bytes] = {}
    while (field := HEAD_LINE.match(data, position)) is not None:
        headers[field[1].lower()] = field[2]
        position = field.end()
    if not data.startswith(END, position):
        return None
    position += len(END)
    if headers.get(b"transfer-encoding") == b"chunked":
        return _read_chunks(data, position)
    end = position + int(headers.get(b"content-length", b"0"))
    return (data[position:end], end) if end <= len(data) else None


def _read_chunks(data: bytes, position: int) -> tuple[bytes, int] | None:
    """Return a chunked body and the position after it; it has no trailer fields."""
    body = b""
    while (size := CHUNK_SIZE.match(data, position)) is not None:
        begin, length = size.end(), int(size[1], 16)
        position = begin + length + len(END)
        if data[begin + length : position] != END:
            return None
        if not length:
            return body, position
        body += data[begin : begin + length]
    return None
