"""Stand-in of a target that sends broken answers, which its callers choose by path."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import contextlib
from dataclasses import dataclass
from enum import Enum, auto

from stand_ins.raw_http import reset_connection

ID_LINE = b"@ID@"
"""Stands for the line of the head that repeats the id of the request."""
ID_NAMES = ("gypsumsail-request-id", "forward-id")
STAMP = b"Gypsumsail-Server-Stamp: broken"
PART = b"ten bytes."
HEALTH_PATH = "/healthz"
REPORT_PATH = "/v1/report"
RESET_DELAY_SECONDS = 0.05
READ_BYTES = 65_536
MAX_OPEN_SECONDS = 30.0


class End(Enum):
    """What becomes of the connection after an answer.

    Attributes
    ----------
    OPEN
        It stays open, for the next request.
    RESET
        It is reset.
    SHUT_AND_RESET
        The target ends its side, and resets the connection shortly after.
    SHUT_AND_READ
        The target ends its side, reads the whole request, and closes the connection.
    CLOSE
        It is closed; the kernel resets it if bytes of the request are unread.
    """

    OPEN = auto()
    RESET = auto()
    SHUT_AND_RESET = auto()
    SHUT_AND_READ = auto()
    CLOSE = auto()


@dataclass(frozen=True, slots=True, kw_only=True)
class BrokenAnswer:
    """Answer to one request.

    Attributes
    ----------
    data
        Bytes of the answer.
    is_early
        Whether it is sent when the head of the request has arrived, and the body of the
        request stays unread.
    delay
        Seconds between the answer and the end of the connection.
    """

    data: bytes
    is_early: bool = False
    end: End = End.OPEN
    delay: float = 0.0


def encode_answer(
    status: bytes,
    *lines: bytes,
    body: bytes = PART,
    has_length: bool = True,
) -> bytes:
    """Return a signed answer with the id of the request.

    Parameters
    ----------
    lines
        Lines of the head before those of a sound answer.
    """
    head = [b"HTTP/1.1 " + status + b" S", *lines]
    head += [ID_LINE, STAMP, b"Content-Type: text/event-stream"]
    if has_length:
        head.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(head) + b"\r\n\r\n" + body


REPORT = BrokenAnswer(data=encode_answer(b"200", body=b'{"born": 1}'))
"""Sound answer to calls for the state of a target."""


class BrokenTarget:
    """Target whose answer to a request is named by the last segment of its path.

    Attributes
    ----------
    answers
        Answers by their names.
    default
        Answer to requests that name no answer.
    requests
        Names of the answers that were asked for.
    port
        Port that it listens on.
    """

    def __init__(
        self,
        answers: Mapping[str, BrokenAnswer],
        default: BrokenAnswer | None = None,
    ) -> None:
        self.answers = answers
        self.default = default
        self.requests: list[str] = []
        self.port = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def async_start(self, host: str) -> None:
        """Start listening on a free port."""
        self.server = await asyncio.start_server(self._async_serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def async_stop(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            async with asyncio.timeout(MAX_OPEN_SECONDS):
                while await self._async_answer(reader, writer):
                    pass
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        path, headers = await _async_read_head(reader)
        answer = self._choose(path)
        if not answer.is_early:
            await reader.readexactly(int(headers.get("content-length", "0")))
        writer.write(answer.data.replace(ID_LINE, _id_line(headers)))
        await writer.drain()
        await asyncio.sleep(answer.delay)
        await _async_end(answer.end, reader, writer)
        return answer.end is End.OPEN

    def _choose(self, path: str) -> BrokenAnswer:
        if path in (HEALTH_PATH, REPORT_PATH):
            return REPORT
        name = path.rpartition("/")[2]
        self.requests.append(name)
        answer = self.answers.get(name, self.default)
        assert answer is not None
        return answer


async def _async_read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Return the path and the headers of a request, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return request_line.split(" ")[1], headers


def _id_line(headers: dict[str, str]) -> bytes:
    ids = [f"{name}: {headers[name]}" for name in ID_NAMES if name in headers]
    return (ids or ["X-Id: none"])[0].encode()


async def _async_end(
    end: End, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    match end:
        case End.RESET:
            reset_connection(writer)
        case End.SHUT_AND_RESET:
            writer.write_eof()
            await asyncio.sleep(RESET_DELAY_SECONDS)
            reset_connection(writer)
        case End.SHUT_AND_READ:
            writer.write_eof()
            with contextlib.suppress(ConnectionError):
                while await reader.read(READ_BYTES):
                    pass
        case End.OPEN | End.CLOSE:
            pass
