"""Real callers' port and target around a gateway, for tests of the borders."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
from contextlib import asynccontextmanager
from dataclasses import dataclass
import json
import logging
import re
from typing import Final

from gypsumsail.core.errors import InvalidRequestError
from gypsumsail.gateway.coordinator import Gateway
from gypsumsail.gateway.models import Address, CallKind
from gypsumsail.platform.calls import PlatformReply, PlatformTargetCalls, parse_call
from gypsumsail.transport.http_reply import Reply
from gypsumsail.transport.http_request import HttpRequest, ServerLimits
from gypsumsail.transport.http_server import HttpServer
from stand_ins.raw_http import RawRequest, encode_response
from tests.gateway.common import (
    RecordedLines,
    ScriptedTargets,
    document,
    gateway,
    route,
    target,
)

ID: Final = b"9c41d07be2a35f68"
HEAD_LIMIT_BYTES: Final = 2_048
BODY_LIMIT_BYTES: Final = 16_384
LIMITS: Final = ServerLimits(
    head_bytes=HEAD_LIMIT_BYTES,
    body_bytes=BODY_LIMIT_BYTES,
    request_seconds=1.0,
    idle_seconds=1.0,
)
ANSWER_SECONDS: Final = 2.0
INSTANCE: Final = "i-portal"

_REQUEST_LINE: Final = re.compile(rb"([A-Z-]+) (/[\x21-\x7e]*) HTTP/1\.1")
_FIELD: Final = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)"
)


@dataclass(frozen=True, slots=True, kw_only=True)
class StrictRequest:
    """Request as a target reads it that accepts only what the standard allows."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def values(self, name: bytes) -> list[bytes]:
        """Return the values of all headers with a lower-case name."""
        return [value for key, value in self.headers if key.lower() == name]

    @property
    def request_id(self) -> bytes:
        """Return the value of the only request id."""
        [value] = self.values(b"gypsumsail-request-id")
        return value


class MalformedError(Exception):
    """A target got bytes that are no request."""


async def async_read_strictly(reader: asyncio.StreamReader) -> StrictRequest:
    """Read one request whose body has at most one ``Content-Length``."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    request_line = _REQUEST_LINE.fullmatch(first)
    if request_line is None:
        raise MalformedError(first)
    headers = []
    for line in lines:
        match = _FIELD.fullmatch(line)
        if match is None:
            raise MalformedError(line)
        headers.append((match[1], match[2].strip(b" \t")))
    framing = {
        name: [value for key, value in headers if key.lower() == name]
        for name in (b"content-length", b"transfer-encoding", b"host")
    }
    lengths = framing[b"content-length"]
    if framing[b"transfer-encoding"] or len(lengths) > 1 or len(framing[b"host"]) != 1:
        raise MalformedError(head)
    body = await reader.readexactly(int(lengths[0]) if lengths else 0)
    return StrictRequest(
        method=request_line[1],
        target=request_line[2],
        headers=tuple(headers),
        body=body,
    )


class StrictTarget:
    """Target that records what it reads, and answers with the request's body.

    It answers HEAD with the length of a body that it doesn't send.

    Attributes
    ----------
    malformed
        Bytes that were no request, or that a connection ended in.
    """

    def __init__(self) -> None:
        self.requests: list[StrictRequest] = []
        self.malformed: list[bytes] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def async_stop(self) -> None:
        """Wait until all connections have ended."""
        await asyncio.gather(*self.tasks)

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        with contextlib.suppress(ConnectionError):
            while True:
                try:
                    request = await async_read_strictly(reader)
                except asyncio.IncompleteReadError as err:
                    if err.partial:
                        self.malformed.append(err.partial)
                    break
                except (MalformedError, ValueError) as err:
                    self.malformed.append(repr(err).encode())
                    break
                self.requests.append(request)
                writer.write(self._answer(request))
        writer.close()

    @staticmethod
    def _answer(request: StrictRequest) -> bytes:
        lines = [b"HTTP/1.1 200 OK", b"Gypsumsail-Server-Stamp: s"]
        lines += [
            b"Gypsumsail-Request-Id: " + value
            for value in request.values(b"gypsumsail-request-id")
        ]
        length = 4 if request.method == b"HEAD" else len(request.body)
        lines.append(b"Content-Length: %d" % length)
        return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


class Border:
    """Callers' port of a VM, with one target that is read strictly.

    Attributes
    ----------
    lines
        What the gateway has logged.
    """

    def __init__(self) -> None:
        self.lines = RecordedLines()
        self.target = StrictTarget()
        self.refused: list[int] = []
        self.gateway: Gateway | None = None
        self.port = 0

    async def _async_handle(self, request: HttpRequest, reply: Reply) -> None:
        assert self.gateway is not None
        try:
            call = parse_call(request)
        except InvalidRequestError as err:
            reply.send(err.status, [], b"")
            return
        await self.gateway.async_handle(call, PlatformReply(reply, call.request_id))

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[Border]:
        """Run the target and the port."""
        target_server = await asyncio.start_server(
            self.target.async_serve, "127.0.0.1", 0
        )
        address = Address(
            host="127.0.0.1", port=target_server.sockets[0].getsockname()[1]
        )
        routing = document(
            route(is_public=True),
            route("keyed", prefix="/k/"),
            route("other", host="other.example", prefix="/", is_public=True),
            route("stream", prefix="/s/", kind=CallKind.STREAM, is_public=True),
        )
        vm = gateway(ScriptedTargets(), target(address=address), routing=routing)
        calls = PlatformTargetCalls(vm.clock)
        vm.calls = calls
        self.gateway = vm
        vm.telemetry.log.logger.addHandler(self.lines)
        vm.telemetry.log.logger.setLevel(logging.INFO)
        server = HttpServer(self._async_handle, LIMITS, vm.clock, self.refused.append)
        await server.async_start("127.0.0.1", 0)
        self.port = server.port
        try:
            yield self
        finally:
            vm.telemetry.log.logger.removeHandler(self.lines)
            await server.async_stop()
            for pool in calls.pools.values():
                pool.close()
            target_server.close()
            await self.target.async_stop()

    async def async_send(
        self,
        *pieces: bytes,
        wait: float = ANSWER_SECONDS,
        answers: int = 1,
        pause: float = 0.0,
    ) -> bytes:
        """Send bytes and return what comes until ``answers`` have come.

        Parameters
        ----------
        wait
            Time limit, in seconds.
        pause
            Time after each of the pieces, in seconds.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        found = b""
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(wait):
                for piece in pieces:
                    writer.write(piece)
                    await asyncio.sleep(pause)
                while not _is_whole(found, answers):
                    data = await reader.read(65_536)
                    if not data:
                        break
                    found += data
        writer.close()
        return found


def _is_whole(data: bytes, answers: int) -> bool:
    """Return whether a number of answers has come, interim ones not counted."""
    starts = [match.start() for match in re.finditer(rb"HTTP/1\.1 [2-5]", data)]
    if len(starts) < answers:
        return False
    head, end, body = data[starts[-1] :].partition(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: (\d+)", head)
    return bool(end) and (length is None or len(body) >= int(length[1]))


def head_lines(*lines: bytes, target_text: bytes = b"/a/x?q=1") -> list[bytes]:
    """Return the lines of a proper head, with further ones."""
    return [
        b"POST " + target_text + b" HTTP/1.1",
        b"Host: h.example",
        b"Gypsumsail-Request-Id: " + ID,
        *lines,
    ]


def encode_head(lines: list[bytes]) -> bytes:
    """Return the bytes of a head."""
    return b"\r\n".join(lines) + b"\r\n\r\n"


def chunked_request(*trailer: bytes, head: list[bytes] | None = None) -> bytes:
    """Return a request with the body ``body`` in a chunk, and trailer lines."""
    lines = head_lines() if head is None else head
    section = b"".join(line + b"\r\n" for line in trailer)
    return (
        encode_head([*lines, b"Transfer-Encoding: chunked"])
        + b"4\r\nbody\r\n0\r\n"
        + section
        + b"\r\n"
    )


class PlainTarget:
    """A target of a plain service, which runs whatever is a request.

    Without a request id, or under the name of another instance, it runs nothing.

    Attributes
    ----------
    runs
        Requests that it ran.
    received
        Number of all requests that reached it.
    """

    def __init__(self) -> None:
        self.runs: list[RawRequest] = []
        self.received = 0

    async def async_handle(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; keep the connection."""
        self.received += 1
        not_run = {"Gypsumsail-Not-Run": "1", "Gypsumsail-Instance-Id": INSTANCE}
        if "gypsumsail-request-id" not in request.headers:
            writer.write(encode_response(400, b"", not_run))
        elif request.headers.get("gypsumsail-target-instance", INSTANCE) != INSTANCE:
            writer.write(encode_response(421, b"", not_run))
        else:
            self.runs.append(request)
            writer.write(encode_response(404, b"no such page"))
        return True


class RepeatingContextStore:
    """A context store that sends copies of earlier answers, and repeats no ids.

    Attributes
    ----------
    events
        Changes: number, ``+`` or ``-``, scope, part, tokens and model.
    copy_interval
        Number of answers of which one comes after a copy of the one before it on the
        connection; 0 for no copies.
    has_growing_numbers
        Whether changes raise the number from which the next ones continue.
    lists, connections
        Number of calls for the contents, and of connections.
    """

    def __init__(self, copy_interval: int = 0) -> None:
        self.events: list[tuple[int, str, str, str, int, str]] = []
        self.copy_interval = copy_interval
        self.has_growing_numbers = True
        self.lists = 0
        self.answers = 0
        self.sent: dict[asyncio.StreamWriter, bytes] = {}

    @property
    def connections(self) -> int:
        """Return the number of connections that were answered."""
        return len(self.sent)

    def change(self, part: str, tokens: int) -> None:
        """Add a part, or remove it if it has no tokens."""
        sign = "+" if tokens else "-"
        number = len(self.events) + 1
        self.events.append((number, sign, "1", part, tokens, "m"))

    async def async_handle(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one call; keep the connection."""
        if request.path.endswith("list"):
            self.lists += 1
            body = self._contents()
        else:
            body = await self._async_changes(int(request.query["since"]))
        answer = encode_response(200, json.dumps(body).encode())
        self.answers += 1
        if self.copy_interval and self.answers % self.copy_interval == 0:
            writer.write(self.sent.get(writer, b""))
            await writer.drain()
            # The copy arrives alone, when only the answer can tell that it is late.
            await asyncio.sleep(0.02)
        writer.write(answer)
        self.sent[writer] = answer
        return True

    def _contents(self) -> dict[str, object]:
        held = {event[3]: event[4] for event in self.events}
        parts = [("1", part, tokens, "m") for part, tokens in held.items() if tokens]
        return {"epoch": 7, "next": len(self.events), "held": parts}

    async def _async_changes(self, since: int) -> dict[str, object]:
        for _ in range(40):
            if len(self.events) > since:
                break
            await asyncio.sleep(0.02)
        last = len(self.events) if self.has_growing_numbers else since
        return {"epoch": 7, "next": last, "lost": False, "events": self.events[since:]}
