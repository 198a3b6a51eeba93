"""Reads callers' requests and speaks to targets in the platform's words."""

from __future__ import annotations

from typing import Final
from urllib.parse import urlsplit

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import InvalidRequestError, TransportError
from gypsumsail.gateway.const import CONNECT_SECONDS
from gypsumsail.gateway.models import (
    Address,
    Call,
    HeaderPairs,
    Prompt,
    PromptPart,
    TargetEntry,
)
from gypsumsail.gateway.port import AnswerHead, SendTerms
from gypsumsail.gateway.targets import TargetReportedLoad
from gypsumsail.platform import names
from gypsumsail.transport.exchange import ExchangeConnection, ExchangePool
from gypsumsail.transport.http_reply import Reply, ReplyPhase
from gypsumsail.transport.http_request import HttpRequest

MILLISECONDS: Final = 1000.0
HIGHEST_URGENCY: Final = 9
LONGEST_DEADLINE_MS: Final = 86_400_000
BEARER: Final = "bearer "
SINGLE_HEADERS: Final = frozenset(
    {
        names.REQUEST_ID,
        names.DEADLINE,
        names.MODEL,
        names.TOKEN_COUNT,
        names.PROMPT_PARTS,
        names.LAST_EVENT,
        b"authorization",
    }
)
NO_STORE: Final = b"-"


def read_call(request: HttpRequest) -> Call:
    """Return the call of a request.

    Raises
    ------
    InvalidRequestError
        A header that decides something is malformed or stands twice.
    """
    found: dict[bytes, str] = {}
    dropped = _named_by_connection(request)
    forwarded = []
    host = ""
    for name, value in request.headers:
        key = name.lower()
        if key in SINGLE_HEADERS:
            if key in found:
                raise InvalidRequestError(f"{key.decode()} stands twice")
            found[key] = value.decode("latin-1").strip()
        if key == b"host":
            host = value.decode("latin-1").strip()
        if (
            key not in names.CONNECTION_HEADERS
            and key not in names.SET_BY_GATEWAY
            and key not in dropped
        ):
            forwarded.append((name, value))
    target, absolute_host = _origin_form(request.target)
    host = (absolute_host or host).lower()
    return Call(
        request_id=found.get(names.REQUEST_ID, ""),
        method=request.method,
        target=target,
        host=host.partition(":")[0],
        path=target.partition(b"?")[0].decode("latin-1"),
        headers=tuple(forwarded),
        body=request.body,
        api_key=_api_key(found.get(b"authorization", "")),
        received_at=request.received_at,
        deadline=_deadline(found.get(names.DEADLINE), request.received_at),
        prompt=_prompt(found),
        resume_after=found.get(names.LAST_EVENT, ""),
    )


def _named_by_connection(request: HttpRequest) -> set[bytes]:
    return {
        item.strip().lower()
        for name, value in request.headers
        if name.lower() == b"connection"
        for item in value.split(b",")
    }


def _origin_form(target: bytes) -> tuple[bytes, str]:
    """Return path and query, and the host of an absolute target."""
    if target.startswith(b"/"):
        return target, ""
    parts = urlsplit(target.decode("latin-1"))
    if parts.scheme not in ("http", "https") or not parts.netloc:
        raise InvalidRequestError("the request target is no path")
    path = parts.path or "/"
    query = f"?{parts.query}" if parts.query else ""
    return f"{path}{query}".encode("latin-1"), parts.netloc


def _api_key(authorization: str) -> str:
    if authorization[: len(BEARER)].lower() != BEARER:
        return ""
    return authorization[len(BEARER) :].strip()


def _deadline(text: str | None, now: float) -> float | None:
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()):
        raise InvalidRequestError("the deadline is no whole number")
    return now + min(int(text), LONGEST_DEADLINE_MS) / MILLISECONDS


def _prompt(found: dict[bytes, str]) -> Prompt | None:
    model = found.get(names.MODEL)
    count = found.get(names.TOKEN_COUNT)
    if model is None or count is None:
        return None
    read, _, written = count.partition(",")
    parts = []
    for item in filter(None, found.get(names.PROMPT_PARTS, "").split(",")):
        part, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(name=part, tokens=_count(tokens)))
    return Prompt(
        model=model,
        input_tokens=_count(read),
        output_tokens=_count(written or "0"),
        parts=tuple(parts),
    )


def _count(text: str) -> int:
    text = text.strip()
    if not (text.isascii() and text.isdigit()):
        raise InvalidRequestError("a count of tokens is no whole number")
    return int(text)


def encode_request(call: Call, target: TargetEntry, terms: SendTerms) -> bytes:
    """Return the bytes of a call as they go to a target."""
    left = max(int(terms.time_left * MILLISECONDS), 1)
    lines = [b"%b %b HTTP/1.1" % (call.method, call.target)]
    lines += [b"%b: %b" % pair for pair in call.headers]
    lines.append(b"Gypsumsail-Deadline-Ms: %d" % left)
    lines.append(b"Gypsumsail-Target-Instance: %b" % target.name.encode())
    if terms.customer:
        lines.append(b"Gypsumsail-Tenant: %b" % terms.customer.encode())
    if terms.resume_after:
        lines.append(b"Last-Event-Id: %b" % terms.resume_after.encode())
    if call.prompt is not None:
        lines += _prompt_lines(terms)
    if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + call.body


def _prompt_lines(terms: SendTerms) -> list[bytes]:
    urgency = min(max(terms.priority, 0), HIGHEST_URGENCY)
    lines = [
        b"Gypsumsail-Request-Priority: %d" % urgency,
        b"Gypsumsail-Cache-Salt: %b" % terms.cache_scope.encode(),
    ]
    if terms.weight_version is not None:
        lines.append(b"Gypsumsail-Expect-Version: %d" % terms.weight_version)
    move = terms.transfer
    if any(move.fetch):
        lines.append(b"Gypsumsail-Kv-Fetch: " + _addresses(move.fetch))
    if any(move.fetch) and move.fetch_until_ms:
        lines.append(b"Gypsumsail-Kv-Until: %d" % move.fetch_until_ms)
    if any(move.save):
        lines.append(b"Gypsumsail-Kv-Save: " + _addresses(move.save))
    return lines


def _addresses(stores: tuple[Address | None, ...]) -> bytes:
    return b",".join(
        NO_STORE if store is None else str(store).encode() for store in stores
    )


def read_answer(connection: ExchangeConnection, now: float) -> AnswerHead:
    """Return the head of a target's answer."""
    found = dict(connection.headers)
    weights = found.get(names.WEIGHTS, b"").strip()
    return AnswerHead(
        status=connection.status,
        is_signed=names.SIGNATURE in found,
        says_not_run=names.NOT_RUN in found,
        is_wrong_target=connection.status == 421,
        target_name=found.get(names.ANSWERED_BY, b"").decode("latin-1"),
        load=_load(found.get(names.LOAD), now),
        weight_version=int(weights) if weights.isdigit() else None,
        headers=tuple(
            pair
            for pair in connection.headers
            if pair[0] not in names.CONNECTION_HEADERS
        ),
    )


def _load(value: bytes | None, now: float) -> TargetReportedLoad | None:
    """Decode running calls, waiting calls and slots."""
    if value is None:
        return None
    fields = value.split(b",")
    if len(fields) < 2 or not all(field.strip().isdigit() for field in fields):
        return None
    return TargetReportedLoad(running=int(fields[0]), waiting=int(fields[1]), at=now)


class TargetExchange:
    """One call at a target over a pooled connection."""

    def __init__(
        self, pool: ExchangePool, connection: ExchangeConnection, clock: Clock
    ) -> None:
        self.pool = pool
        self.connection = connection
        self.clock = clock

    async def async_head(self) -> AnswerHead:
        """Wait for the head of the answer."""
        await self.connection.async_head()
        return read_answer(self.connection, self.clock.monotonic())

    async def async_read(self) -> bytes:
        """Return bytes of the body; empty at its end."""
        return await self.connection.async_read()

    async def async_read_all(self, limit: int) -> bytes:
        """Return the whole body."""
        return await self.connection.async_read_all(limit)

    @callback
    def finish(self) -> None:
        """Give the connection back, or close it when the answer isn't whole."""
        self.pool.release(self.connection)

    @callback
    def abort(self) -> None:
        """Close the connection."""
        self.connection.abort()


class PlatformTargetCalls:
    """Sends calls to targets, over connections that are kept for each target's life."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.pools: dict[tuple[str, int], ExchangePool] = {}

    async def async_send(
        self, target: TargetEntry, call: Call, terms: SendTerms, now: float
    ) -> TargetExchange:
        """Send a call; raise ``TransportError`` where nothing was sent."""
        pool = self._pool(target)
        connection = await pool.async_acquire()
        spent = self.clock.monotonic() - now
        if spent >= terms.time_left:
            pool.release(connection)
            raise TransportError("no time was left after connecting", sent=False)
        request = encode_request(call, target, terms)
        connection.send(request, (names.REQUEST_ID, call.request_id.encode()))
        return TargetExchange(pool, connection, self.clock)

    async def async_check(self, target: TargetEntry) -> None:
        """Open a connection and keep it for a call; raise ``TransportError``."""
        await self._pool(target).async_add_idle()

    @callback
    def forget(self, target: TargetEntry) -> None:
        """Close idle connections to a target that is gone."""
        pool = self.pools.pop((target.name, target.life), None)
        if pool is not None:
            pool.close()

    def _pool(self, target: TargetEntry) -> ExchangePool:
        key = (target.name, target.life)
        pool = self.pools.get(key)
        if pool is None:
            address = target.address
            pool = ExchangePool(address.host, address.port, CONNECT_SECONDS)
            self.pools[key] = pool
        return pool


class PlatformReply:
    """The reply to a caller, for the gateway."""

    def __init__(self, reply: Reply, request_id: str) -> None:
        self.reply = reply
        self.request_id = request_id

    @property
    def has_begun(self) -> bool:
        """Return whether any byte of the reply was sent."""
        return self.reply.phase is not ReplyPhase.NOT_STARTED

    @callback
    def send(self, status: int, headers: HeaderPairs, body: bytes) -> None:
        """Send a whole reply."""
        self.reply.send(status, self._with_id(headers), body)

    @callback
    def begin(self, status: int, headers: HeaderPairs) -> None:
        """Send the head of a stream."""
        self.reply.begin(status, self._with_id(headers))

    @callback
    def write(self, data: bytes) -> None:
        """Send a part of a stream."""
        self.reply.write(data)

    @callback
    def end(self) -> None:
        """Mark a stream as whole."""
        self.reply.end()

    @callback
    def abort(self) -> None:
        """Break the reply off."""
        self.reply.abort()

    async def async_drain(self) -> None:
        """Wait while the caller reads slowly."""
        await self.reply.async_drain()

    def _with_id(self, headers: HeaderPairs) -> list[tuple[bytes, bytes]]:
        pairs = list(headers)
        if self.request_id and not any(key == names.REQUEST_ID for key, _ in pairs):
            pairs.append((names.REQUEST_ID, self.request_id.encode()))
        return pairs
