"""Answer streams of an engine over a dedicated connection pool."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace
import json
from typing import Final

from gypsumsail.core.errors import TransportError, UnavailableError
from gypsumsail.targets.errors import EngineRefusedError, RefusalReason
from gypsumsail.targets.events import EventParser
from gypsumsail.targets.port import AnswerEnd, AnswerToken, EngineRequest
from gypsumsail.transport.connection import StreamConnection
from gypsumsail.transport.const import ERROR_BODY_LIMIT_BYTES, EVENT_STREAM_CONTENT_TYPE
from gypsumsail.transport.errors import BrokenStreamError
from gypsumsail.transport.pool import StreamConnectionPool

_OK: Final = 200


class EngineStreams:
    """Opens answer streams to one engine.

    Each connection carries one answer at a time.
    """

    def __init__(self, base_url: str) -> None:
        self.pool = StreamConnectionPool(base_url)

    async def async_close(self) -> None:
        """Close the idle connections; active streams continue."""
        self.pool.close()

    async def stream(
        self, request: EngineRequest
    ) -> AsyncIterator[tuple[AnswerToken | AnswerEnd, ...]]:
        """Send a request; yield the validated parts of the answer in batches.

        Closing the iterator early closes the connection but does not cancel the
        request at the engine; use
        ``HttpEngineClient.async_cancel`` for that.

        Raises
        ------
        EngineRefusedError
            The engine refused the request and did not run it.
        EngineGaveUpError
            The engine ended the request before its answer was complete.
        TransportError
            The engine could not be reached, or the answer was interrupted.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        connection = await self.pool.async_acquire()
        time_left = request.deadline - (loop.time() - started_at)
        if time_left <= 0:
            self.pool.release(connection, is_complete=False)
            raise TransportError("the deadline passed while connecting", sent=False)
        timer = loop.call_later(time_left, connection.fail, "deadline exceeded")
        is_complete = False
        try:
            connection.send(
                self._encode(replace(request, deadline=time_left)),
                limit_seconds=time_left,
            )
            await connection.async_wait_for_head()
            await _async_check_head(connection)
            parser = EventParser(request.attempt_id, first_token=request.first_token)
            while chunk := await connection.async_read():
                tokens = parser.feed(chunk)
                if tokens:
                    yield tuple(tokens)
            answer_end = parser.finish()
            is_complete = True
            yield (answer_end,)
        finally:
            timer.cancel()
            self.pool.release(connection, is_complete=is_complete)

    def _encode(self, request: EngineRequest) -> bytes:
        body = encode_request(request)
        head = (
            "POST /v1/completions HTTP/1.1\r\n"
            f"host: {self.pool.host}:{self.pool.port}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


def encode_request(request: EngineRequest) -> bytes:
    """Return the JSON body of a completion request."""
    kept = request.kept
    return json.dumps(
        {
            "request_id": request.attempt_id,
            "model": request.model,
            "adapter": request.adapter,
            "weight_version": request.weight_version,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "cache_salt": request.cache_salt,
            "priority": request.priority,
            "deadline": request.deadline,
            "first_token": request.first_token,
            "kept": None
            if kept is None
            else {"store_url": kept.store_url, "names": list(kept.names)},
        }
    ).encode()


async def _async_check_head(connection: StreamConnection) -> None:
    if connection.status == _OK:
        if not connection.content_type.startswith(EVENT_STREAM_CONTENT_TYPE):
            raise BrokenStreamError("response is not an event stream")
        return
    body = bytearray()
    while chunk := await connection.async_read():
        body += chunk
        if len(body) > ERROR_BODY_LIMIT_BYTES:
            raise BrokenStreamError("error response body is too large")
    raise error_for_status(connection.status, bytes(body))


def error_for_status(status: int, body: bytes) -> TransportError:
    """Return the error for a response with an error status.

    A request counts as not run only if the protocol guarantees it: for the pairs of
    status and reason that give ``EngineRefusedError``. Status 409 with the reason
    ``id`` is not among them: it means that the attempt is already running.
    """
    try:
        decoded = json.loads(body)
    except (ValueError, RecursionError):
        decoded = None
    reason = decoded.get("error") if isinstance(decoded, dict) else None
    match status, reason:
        case (409, "version" | "model" | "role") | (503, "full"):
            return EngineRefusedError(
                f"engine refused the request: {reason}",
                reason=RefusalReason(str(reason)),
            )
        case 503, _:
            return UnavailableError("engine is unavailable", sent=True)
        case _:
            return TransportError(
                f"completion request failed with status {status}", sent=True
            )
