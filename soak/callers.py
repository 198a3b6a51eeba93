"""Clients that check each answer against the guarantees of the program."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
import random
import time

from stand_ins.v1_platform import (
    LAST_EVENT,
    SERVER_STAMP,
    Execution,
    ExecutionLog,
    RequestContent,
    event_content,
)

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
PATHS_BY_KIND = {"safe": "/safe/", "once": "/once/", "stream": "/stream/"}


@dataclass(frozen=True, slots=True, kw_only=True)
class Resumption:
    """Where a stream is taken up.

    Attributes
    ----------
    began_as
        Id of the request that brought the first event; empty if it is not named.
    last_event
        Id of the last event that the caller has.
    """

    began_as: str
    last_event: int


@dataclass(slots=True)
class CallResult:
    """Result of one call.

    Attributes
    ----------
    kind
        ``safe``: GET request that may be repeated; ``once``: POST request that must
        not be repeated, of the document's kind ``unsafe``; ``stream``: POST request
        with a resumable answer, of the document's kind ``streaming``.
    status
        HTTP status; 0 if the connection ended before the answer was complete.
    seconds
        Time until the answer was complete or the call failed.
    began_at
        Monotonic time at which the call was sent, in seconds.
    is_malformed
        Whether bytes came that are no answer in the protocol.
    customer
        Customer whose key the call had.
    """

    request_id: str
    kind: str
    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    seconds: float = 0.0
    began_at: float = 0.0
    is_malformed: bool = False
    customer: str = "a"


async def call(
    host: str,
    port: int,
    kind: str,
    number: int,
    key: str,
    deadline: float = 3.0,
    part: str = "",
    resumption: Resumption | None = None,
) -> CallResult:
    """Send one call on a connection of its own.

    The status is 0 if the connection fails or times out.

    Parameters
    ----------
    part
        Name of the second part of the prompt of a stream; empty for the usual one.
    resumption
        Stream that the call takes up; ``None`` for a new one.
    """
    caller = KeptCaller(host, port)
    try:
        return await caller.async_call(kind, number, key, deadline, part, resumption)
    finally:
        caller.close()


class KeptCaller:
    """Caller that uses its connection until the VM closes it.

    Attributes
    ----------
    connections
        Number of connections opened so far.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.connections = 0

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def async_call(
        self,
        kind: str,
        number: int,
        key: str,
        deadline: float = 3.0,
        part: str = "",
        resumption: Resumption | None = None,
    ) -> CallResult:
        """Send one call; the status is 0 if the connection fails or times out."""
        request_id = f"{number:016x}"
        result = CallResult(request_id, kind, 0)
        started_at = result.began_at = time.monotonic()
        try:
            async with asyncio.timeout(deadline + 1.0):
                await self._async_exchange(
                    encode_call(kind, number, key, deadline, part, resumption), result
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as err:
            result.status = 0
            result.is_malformed = isinstance(err, ValueError)
            self.close()
        result.seconds = time.monotonic() - started_at
        return result

    async def _async_exchange(self, request: bytes, result: CallResult) -> None:
        if self.reader is None or self.writer is None:
            self.connections += 1
            self.reader, self.writer = await asyncio.open_connection(
                self.host, self.port
            )
        self.writer.write(request)
        await _read(self.reader, result)
        if result.headers.get("connection") == "close":
            self.close()


def encode_call(
    kind: str,
    number: int,
    key: str,
    deadline: float,
    part: str = "",
    resumption: Resumption | None = None,
) -> bytes:
    """Return the request of a call."""
    part = part or f"b{number % 5}"
    request_id = f"{number:016x}"
    body = request_body(kind, number)
    lines = [
        f"{request_method(kind)} {request_target(kind)} HTTP/1.1",
        "Host: soak.example",
        f"Gypsumsail-Request-Id: {request_id}",
        f"Gypsumsail-Deadline-Ms: {int(deadline * 1000)}",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
    ]
    if kind == "stream":
        lines += [
            "Gypsumsail-Model: m0",
            "Gypsumsail-Token-Count: 300,8",
            f"Gypsumsail-Prompt-Prefix: aa:100,{part}:100,{request_id}:100",
        ]
    if resumption is not None:
        lines.append(f"Last-Event-Id: {resumption.last_event}")
        if resumption.began_as:
            lines.append(f"Resumes: {resumption.began_as}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request_method(kind: str) -> str:
    """Return the method of a call."""
    return "GET" if kind == "safe" else "POST"


def request_target(kind: str) -> str:
    """Return the path of a call."""
    return f"{PATHS_BY_KIND[kind]}x"


def request_body(kind: str, number: int) -> bytes:
    """Return the body of a call."""
    return b"" if kind == "safe" else f"body of {number}".encode()


async def _read(reader: asyncio.StreamReader, result: CallResult) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.strip().split("\r\n")
    status = int(status_line.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        result.headers[name.lower()] = value.strip()
    if "content-length" in result.headers:
        length = int(result.headers["content-length"])
        result.body = await reader.readexactly(length)
    else:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            result.body += (await reader.readexactly(size + 2))[:-2]
    result.status = status


def check_result(result: CallResult, execution_log: ExecutionLog) -> list[str]:
    """Return the guarantees that the answer to a call violates.

    A success must carry the target's stamp and the complete answer to this very
    request. A status that says that the request has not run must be true, except for
    safe requests, which may be repeated. Requests of the kind ``once`` run at most
    once, and all requests only for their own customer.
    """
    problems = []
    executions = execution_log.executions.get(result.request_id, [])
    number = int(result.request_id, 16)
    if result.status == 200:
        if result.headers.get("gypsumsail-server-stamp") != SERVER_STAMP:
            problems.append("a success without the target's stamp")
        if split_writers(result.body)[0] != expected_body(
            result.kind, result.request_id, number
        ):
            problems.append("a success without the complete answer to this request")
        if not executions:
            problems.append("a success although no target ran it")
    if result.is_malformed:
        problems.append("bytes that are no answer")
    if result.status in NOT_RUN_STATUSES and result.kind != "safe" and executions:
        problems.append(f"status {result.status} although it ran")
    if result.kind == "once" and len(executions) > 1:
        problems.append(f"TWICE: ran {len(executions)} times")
    if any(execution.tenant != result.customer for execution in executions):
        problems.append("ran for another customer")
    return [f"{result.kind} {result.request_id}: {problem}" for problem in problems]


def unasked_finding(kind: str | None, request_id: str, execution: Execution) -> str:
    """Return how an execution differs from what was sent; empty if it doesn't.

    Parameters
    ----------
    kind
        Kind of the call that was sent with this id; ``None`` if none was.
    """
    method, target, _ = execution.content
    ran = f"UNASKED: {execution.target} ran {method} {target} with id {request_id}"
    if kind is None:
        return f"{ran}, which no caller sent"
    sent = RequestContent.of(
        request_method(kind),
        request_target(kind),
        request_body(kind, int(request_id, 16)),
    )
    if execution.content != sent:
        return f"{ran}, its caller sent {sent.method} {sent.target} or another body"
    return ""


def split_writers(body: bytes) -> tuple[bytes, list[str]]:
    """Return a stream without the lines that name who wrote an event, and these."""
    lines = body.split(b"\n")
    writers = [line[2:].decode() for line in lines if line.startswith(b": ")]
    return b"\n".join(line for line in lines if not line.startswith(b": ")), writers


def expected_body(kind: str, request_id: str, number: int) -> bytes:
    """Return the complete answer to a request."""
    if kind == "stream":
        return "".join(
            f"id: {event}\ndata: {event_content(request_id, event)}\n\n"
            for event in range(1, LAST_EVENT + 1)
        ).encode()
    body = request_body(kind, number)
    return event_content(request_id, 0).encode() + body


def pick_kind(rng: random.Random) -> str:
    """Return the kind of the next call at random."""
    return rng.choices(["safe", "once", "stream"], [3, 3, 4])[0]
