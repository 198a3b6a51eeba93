"""Parses callers' requests and exchanges HTTP messages with targets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
import re
from typing import Final

from gypsumsail.cold_targets.models import ColdStatement
from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import InvalidRequestError, TransportError
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gateway.const import CONNECT_SECONDS
from gypsumsail.gateway.models import (
    Address,
    Call,
    HeaderPairs,
    Prompt,
    PromptPart,
    TargetEntry,
)
from gypsumsail.gateway.port import (
    AnswerHead,
    SendTerms,
    SkippedAnswer,
)
from gypsumsail.gateway.targets import TargetReportedLoad
from gypsumsail.platform import names
from gypsumsail.platform.connection_use import connection_use
from gypsumsail.platform.lives import TargetLives
from gypsumsail.platform.notices import parse_notices
from gypsumsail.transport.exchange import ExchangeConnection, SkippedResponse
from gypsumsail.transport.exchange_pool import ExchangePool
from gypsumsail.transport.http_reply import Reply, ReplyPhase
from gypsumsail.transport.http_request import CHUNKED_VERSION, HttpRequest

MAX_PRIORITY: Final = 9
"""Largest value of the priority header; larger priorities are reduced to it."""
MAX_DEADLINE_MS: Final = 86_400_000
"""Largest deadline of a caller; larger ones are reduced to it."""
MAX_COUNT_DIGITS: Final = 15
"""Digits of a figure of the load header above which it is malformed."""
MAX_WORK_PERCENT: Final = 100_000.0
"""Largest time of work, in percent of the usual, that a target may state."""
BEARER_PREFIX: Final = "bearer "
SINGLE_VALUE_HEADERS: Final = frozenset(
    {
        names.REQUEST_ID_HEADER,
        names.DEADLINE_HEADER,
        names.MODEL_HEADER,
        names.TOKEN_COUNT_HEADER,
        names.PROMPT_PARTS_HEADER,
        names.LAST_EVENT_ID_HEADER,
        names.RESUMES_HEADER,
        b"authorization",
    }
)
OPTIONAL_WHITESPACE: Final = b" \t"
"""Whitespace around a header value that is no part of it (RFC 9110, 5.5)."""
NO_STORE_MARK: Final = b"-"
"""Stands for a part of the prompt for which no store is used."""
_ABSOLUTE_TARGET: Final = re.compile(
    rb"(?i:https?)://([^/?#@\[\]]+|\[[0-9A-Fa-f:.]+\](?::[0-9]*)?)([/?#].*|)"
)
"""Authority without user information, and the rest of an absolute request target."""


def parse_call(request: HttpRequest) -> Call:
    """Parse a request into a call.

    Raises
    ------
    InvalidRequestError
        A header that the gateway evaluates is malformed or occurs more than once.
    """
    header_values: dict[bytes, str] = {}
    connection_options = _connection_options(request)
    forwarded = []
    host = ""
    request_target, authority = _split_request_target(request.target)
    received = tuple(request.headers)
    if authority:
        received = _replace_host(received, authority)
    for name, value in received:
        key = name.lower()
        if key in SINGLE_VALUE_HEADERS:
            if key in header_values:
                raise InvalidRequestError(
                    f"header {key.decode()} occurs more than once"
                )
            header_values[key] = value.strip(OPTIONAL_WHITESPACE).decode("latin-1")
        if key == b"host":
            host = value.decode("latin-1").strip()
        if (
            key not in names.CONNECTION_HEADERS
            and key not in names.STRIPPED_REQUEST_HEADERS
            and key not in connection_options
            and not _resembles_known_header(key)
        ):
            forwarded.append((name, value))
    return Call(
        request_id=header_values.get(names.REQUEST_ID_HEADER, ""),
        method=request.method,
        target=request_target,
        host=host.lower().partition(":")[0],
        path=request_target.partition(b"?")[0].decode("latin-1"),
        headers=tuple(forwarded),
        body=request.body,
        api_key=_parse_api_key(header_values.get(b"authorization", "")),
        received_at=request.received_at,
        deadline=_parse_deadline(
            header_values.get(names.DEADLINE_HEADER), request.received_at
        ),
        prompt=_parse_prompt(header_values),
        resume_after=header_values.get(names.LAST_EVENT_ID_HEADER, ""),
        resumes=header_values.get(names.RESUMES_HEADER, ""),
        received_headers=received,
        reads_chunks=request.version == CHUNKED_VERSION,
    )


def _resembles_known_header(key: bytes) -> bool:
    """Return whether a server that reads ``_`` as ``-`` takes a name for another."""
    return b"_" in key and key.replace(b"_", b"-") in names.KNOWN_REQUEST_HEADERS


def _connection_options(request: HttpRequest) -> set[bytes]:
    """Return the headers that the caller sent for this connection only."""
    options = {
        item.strip().lower()
        for name, value in request.headers
        if name.lower() == b"connection"
        for item in value.split(b",")
    }
    return options - names.END_TO_END_HEADERS


def _split_request_target(request_target: bytes) -> tuple[bytes, bytes]:
    """Return the path with the query, and the authority of an absolute target."""
    if request_target.startswith(b"/"):
        return request_target, b""
    match = _ABSOLUTE_TARGET.fullmatch(request_target)
    if match is None:
        raise InvalidRequestError(
            "the request target is neither a path nor an absolute HTTP URL"
        )
    authority, rest = match.groups()
    return rest if rest.startswith(b"/") else b"/" + rest, authority


def _replace_host(headers: HeaderPairs, host: bytes) -> HeaderPairs:
    """Return the headers with the host of an absolute target (RFC 9112, 3.2.2)."""
    return tuple(
        (name, host if name.lower() == b"host" else value) for name, value in headers
    )


def _parse_api_key(authorization: str) -> str:
    if authorization[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return ""
    return authorization[len(BEARER_PREFIX) :].strip()


def _parse_deadline(text: str | None, now: float) -> float | None:
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()):
        raise InvalidRequestError("the deadline is not a whole number of milliseconds")
    return now + min(int(text), MAX_DEADLINE_MS) / MILLISECONDS_PER_SECOND


def _parse_prompt(header_values: dict[bytes, str]) -> Prompt | None:
    model = header_values.get(names.MODEL_HEADER)
    count = header_values.get(names.TOKEN_COUNT_HEADER)
    if model is None or count is None:
        return None
    input_tokens, _, output_tokens = count.partition(",")
    parts = []
    for item in filter(
        None, header_values.get(names.PROMPT_PARTS_HEADER, "").split(",")
    ):
        part, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(name=part, tokens=_parse_token_count(tokens)))
    return Prompt(
        model=model,
        input_tokens=_parse_token_count(input_tokens),
        output_tokens=_parse_token_count(output_tokens or "0"),
        parts=tuple(parts),
    )


def _parse_token_count(text: str) -> int:
    text = text.strip()
    if not (text.isascii() and text.isdigit()):
        raise InvalidRequestError("a token count is not a whole number")
    return int(text)


def encode_request(call: Call, target: TargetEntry, terms: SendTerms) -> bytes:
    """Encode a call as the HTTP request that is sent to a target."""
    remaining_ms = max(int(terms.time_left * MILLISECONDS_PER_SECOND), 1)
    lines = [b"%b %b HTTP/1.1" % (call.method, call.target)]
    lines += [b"%b: %b" % pair for pair in call.headers]
    lines.append(b"Gypsumsail-Deadline-Ms: %d" % remaining_ms)
    lines.append(b"Gypsumsail-Target-Instance: %b" % target.name.encode())
    if terms.customer:
        lines.append(b"Gypsumsail-Tenant: %b" % terms.customer.encode())
    if terms.resume_after:
        event_id = terms.resume_after.encode("latin-1", "replace")
        lines.append(b"Last-Event-Id: %b" % event_id)
    if terms.cache_scope:
        lines.append(b"Gypsumsail-Cache-Salt: %b" % terms.cache_scope.encode())
    if call.prompt is not None:
        lines += _encode_prompt_headers(terms)
    if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + call.body


def _encode_prompt_headers(terms: SendTerms) -> list[bytes]:
    priority = min(max(terms.priority, 0), MAX_PRIORITY)
    lines = [b"Gypsumsail-Request-Priority: %d" % priority]
    if terms.weight_version is not None:
        lines.append(b"Gypsumsail-Expect-Version: %d" % terms.weight_version)
    transfer = terms.transfer
    if any(transfer.fetch):
        lines.append(b"Gypsumsail-Kv-Fetch: " + _encode_addresses(transfer.fetch))
    if any(transfer.fetch) and transfer.fetch_until_ms:
        lines.append(b"Gypsumsail-Kv-Until: %d" % transfer.fetch_until_ms)
    if any(transfer.save):
        lines.append(b"Gypsumsail-Kv-Save: " + _encode_addresses(transfer.save))
    return lines


def _encode_addresses(stores: tuple[Address | None, ...]) -> bytes:
    """Encode one store for each part of the prompt, in the order of the parts."""
    return b",".join(
        NO_STORE_MARK if store is None else str(store).encode() for store in stores
    )


def parse_answer_head(connection: ExchangeConnection, now: float) -> AnswerHead:
    """Parse the status and headers of a target's answer."""
    headers_by_name = dict(connection.headers)
    weights = headers_by_name.get(names.WEIGHT_VERSIONS_HEADER, b"").strip()
    return AnswerHead(
        status=connection.status,
        is_signed=names.SERVER_STAMP_HEADER in headers_by_name,
        says_not_run=names.NOT_RUN_HEADER in headers_by_name,
        is_wrong_target=connection.status == 421,
        target_name=headers_by_name.get(names.INSTANCE_ID_HEADER, b"").decode(
            "latin-1"
        ),
        load=_parse_load(headers_by_name.get(names.SERVER_LOAD_HEADER), now),
        weight_version=int(weights) if weights.isdigit() else None,
        is_framed=connection.has_framing,
        notices=parse_notices(connection.status, connection.headers, headers_by_name),
        headers=tuple(
            pair
            for pair in connection.headers
            if pair[0] not in names.CONNECTION_HEADERS
        ),
    )


def _parse_load(value: bytes | None, now: float) -> TargetReportedLoad | None:
    """Parse the load header.

    It has running calls, waiting calls and optionally slots and the time that work
    takes, in percent of the usual. Returns ``None`` if the header is missing or one of
    its first three figures is malformed.
    """
    if value is None:
        return None
    fields = [field.strip() for field in value.split(b",")]
    if len(fields) < 2 or not all(map(_is_count, fields[:3])):
        return None
    running, waiting = int(fields[0]), int(fields[1])
    if len(fields) < 4:
        return TargetReportedLoad(running=running, waiting=waiting, at=now)
    factor = _parse_work_factor(fields[3])
    return TargetReportedLoad(
        running=running,
        waiting=waiting,
        at=now,
        work_factor=factor,
        invalid_factor=fields[3].decode("latin-1") if factor is None else "",
    )


def _is_count(text: bytes) -> bool:
    return text.isdigit() and len(text) <= MAX_COUNT_DIGITS


def _parse_work_factor(text: bytes) -> float | None:
    """Return the factor on the usual time of work; ``None`` if it is invalid."""
    try:
        percent = float(text)
    except ValueError:
        return None
    if not 0 < percent <= MAX_WORK_PERCENT:
        return None
    return percent / 100


class TargetExchange:
    """A call to a target over a pooled connection.

    Attributes
    ----------
    has_body
        Whether the answer has a body; that to HEAD has none, whatever its length says.
    life
        Life that the target has stated over the connection; ``None`` if it has not.
    """

    def __init__(
        self,
        pool: ExchangePool,
        connection: ExchangeConnection,
        clock: Clock,
        *,
        has_body: bool = True,
        life: int | None = None,
    ) -> None:
        self.pool = pool
        self.connection = connection
        self.clock = clock
        self.has_body = has_body
        self.life = life
        self.use = connection_use(connection)

    async def async_head(self) -> AnswerHead:
        """Wait for the status and headers of the answer."""
        await self.connection.async_wait_for_head()
        head = parse_answer_head(self.connection, self.clock.monotonic())
        return head if self.has_body else replace(head, is_framed=True)

    async def async_read(self) -> bytes:
        """Return the next bytes of the body; empty at its end."""
        if not self.has_body:
            return b""
        return await self.connection.async_read()

    async def async_read_all(self, limit: int) -> bytes:
        """Return the complete body of at most ``limit`` bytes."""
        if not self.has_body:
            return b""
        return await self.connection.async_read_all(limit)

    @callback
    def finish(self) -> None:
        """Return the connection to the pool; close it if the answer is incomplete."""
        self.pool.release(self.connection)

    @callback
    def abort(self) -> None:
        """Close the connection."""
        self.connection.abort()


class PlatformTargetCalls:
    """Sends calls to targets over one connection pool for each target instance.

    Attributes
    ----------
    on_skipped
        Called with a target and an answer of it that was not taken.
    on_cold_stated
        Called with a target whose answer to a check states how long it stays cold, and
        the time at which the check was sent.
    """

    def __init__(self, clock: Clock, vm: str = "") -> None:
        self.clock = clock
        self.lives = TargetLives(vm, clock)
        self.lives.on_cold_stated = lambda target, cold, sent_at: self.on_cold_stated(
            target, cold, sent_at
        )
        self.on_cold_stated: Callable[[TargetEntry, ColdStatement, float], None] = (
            lambda target, cold, sent_at: None
        )
        self.on_skipped: Callable[[TargetEntry, SkippedAnswer], None] = (
            lambda target, skipped: None
        )
        self.pools: dict[tuple[str, int], ExchangePool] = {}

    async def async_send(
        self, target: TargetEntry, call: Call, terms: SendTerms, now: float
    ) -> TargetExchange:
        """Send a call.

        Parameters
        ----------
        now
            Monotonic time at which ``terms.time_left`` was computed.

        Raises
        ------
        TransportError
            No connection could be opened, the target did not state the life that the
            terms ask for, or the time limit passed while connecting. Nothing was sent.
        """
        pool = self._pool(target)
        request_id = call.request_id.encode("latin-1")
        connection = await self.lives.async_connection(
            pool, target, request_id, terms.life_proof
        )
        time_left = terms.time_left - (self.clock.monotonic() - now)
        if time_left <= 0:
            pool.release(connection)
            raise TransportError("the time limit passed while connecting", sent=False)
        request = encode_request(call, target, replace(terms, time_left=time_left))
        # The connection skips responses with another request ID, such as a late second
        # answer to an earlier call.
        connection.send(
            request,
            (names.REQUEST_ID_HEADER, request_id),
            limit_seconds=None,
        )
        use = connection_use(connection)

        def report_skipped(skipped: SkippedResponse) -> None:
            found = skipped.request_id
            answer = SkippedAnswer(
                status=skipped.status,
                request_id=None if found is None else found.decode("latin-1"),
                expected_id=call.request_id,
                use=use,
                number=skipped.number,
            )
            self.on_skipped(target, answer)

        connection.on_skipped = report_skipped
        has_body = call.method != b"HEAD"
        return TargetExchange(
            pool,
            connection,
            self.clock,
            has_body=has_body,
            life=self.lives.by_connection.get(connection),
        )

    async def async_life(self, target: TargetEntry) -> int | None:
        """Return the life that an engine states over a new connection, if any.

        The connection stays in the pool for a later call.

        Raises
        ------
        TransportError
            No connection could be opened, no answer came, or another target answered.
        """
        pool = self._pool(target)
        connection = await pool.async_connect()
        try:
            return await self.lives.async_ask(connection, target)
        finally:
            pool.release(connection)

    async def async_check_health(self, target: TargetEntry, path: str) -> None:
        """Check that a plain target answers; see ``async_life``."""
        pool = self._pool(target)
        connection = await pool.async_connect()
        try:
            await self.lives.async_check_health(connection, target, path)
        finally:
            pool.release(connection)

    async def async_check(self, target: TargetEntry) -> None:
        """Check that a target accepts connections.

        The connection stays in the pool for a later call.

        Raises
        ------
        TransportError
            The connection can't be opened.
        """
        await self._pool(target).async_add_idle()

    @callback
    def forget(self, target: TargetEntry) -> None:
        """Close the idle connections to a target that no longer exists."""
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
    """Sends the gateway's reply to a caller and adds the request ID."""

    def __init__(self, reply: Reply, request_id: str) -> None:
        self.reply = reply
        self.request_id = request_id

    @property
    def has_begun(self) -> bool:
        """Return whether any byte of the reply has been sent."""
        return self.reply.phase is not ReplyPhase.NOT_STARTED

    @callback
    def send(self, status: int, headers: HeaderPairs, body: bytes) -> None:
        """Send a complete reply."""
        self.reply.send(status, self._with_request_id(headers), body)

    @callback
    def begin(self, status: int, headers: HeaderPairs) -> None:
        """Send the status and headers of a stream."""
        self.reply.begin(status, self._with_request_id(headers))

    @callback
    def write(self, data: bytes) -> None:
        """Send a chunk of a stream."""
        self.reply.write(data)

    @callback
    def end(self) -> None:
        """Mark a stream as complete."""
        self.reply.end()

    @callback
    def abort(self) -> None:
        """Abort the reply."""
        self.reply.abort()

    async def async_drain(self) -> None:
        """Wait until the caller has read enough of the buffered data."""
        await self.reply.async_drain()

    def _with_request_id(self, headers: HeaderPairs) -> list[tuple[bytes, bytes]]:
        pairs = list(headers)
        if self.request_id and not any(
            key == names.REQUEST_ID_HEADER for key, _ in pairs
        ):
            pairs.append((names.REQUEST_ID_HEADER, self.request_id.encode("latin-1")))
        return pairs
