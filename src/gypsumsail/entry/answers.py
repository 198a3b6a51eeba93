"""Encodes answers and errors for callers."""

from __future__ import annotations

import json
import math
import random
from typing import Protocol

from gypsumsail.core.errors import GypsumsailError, RequestError, RunState
from gypsumsail.entry.const import RETRY_AFTER_JITTER_SECONDS
from gypsumsail.entry.head import Send
from gypsumsail.targets.port import AnswerEnd, AnswerToken, PlainAnswer

_encode_text = json.encoder.encode_basestring_ascii
_EVENT_END = b"}\n\n"
_DONE = b"data: [DONE]\n\n"


class AnswerSink(Protocol):
    """Receiver of the tokens of an answer.

    Attributes
    ----------
    response_started
        Whether the response was started, so that an error can no longer replace it.
    """

    response_started: bool

    async def async_tokens(self, tokens: list[AnswerToken]) -> None:
        """Receive the next tokens."""

    async def async_end(self, end: AnswerEnd) -> None:
        """Receive the end of the complete answer."""


def add_retry_jitter(seconds: float, rng: random.Random) -> float:
    """Return the retry delay in seconds with a random addition.

    The addition spreads the retries of callers that were refused together.
    """
    return seconds + rng.uniform(0.0, RETRY_AFTER_JITTER_SECONDS)


def error_body(error: GypsumsailError, request_id: str) -> bytes:
    """Return the JSON text of an error."""
    run_state = error.run_state if isinstance(error, RequestError) else None
    retry_after = error.retry_after if isinstance(error, RequestError) else None
    body = {
        "error": {
            "code": error.code,
            "message": str(error),
            "run": (run_state or RunState.MAY_HAVE_RUN).value,
            "retry_after": retry_after and round(retry_after, 2),
            "request_id": request_id,
        }
    }
    return json.dumps(body).encode()


async def async_send_response(
    send: Send,
    *,
    status: int,
    body: bytes,
    content_type: str = "application/json",
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Send a complete HTTP response."""
    head = [
        (b"content-type", content_type.encode("latin-1")),
        (b"content-length", str(len(body)).encode()),
        *headers,
    ]
    await send({"type": "http.response.start", "status": status, "headers": head})
    await send({"type": "http.response.body", "body": body})


async def async_send_error(send: Send, error: RequestError, request_id: str) -> None:
    """Send an error as the complete HTTP response."""
    headers = [
        (b"x-request-id", request_id.encode()),
        (b"x-run-state", error.run_state.value.encode()),
    ]
    if error.retry_after is not None:
        seconds = str(math.ceil(error.retry_after))
        headers.append((b"retry-after", seconds.encode()))
    await async_send_response(
        send,
        status=error.status,
        body=error_body(error, request_id),
        headers=tuple(headers),
    )


async def async_send_plain(send: Send, answer: PlainAnswer, request_id: str) -> None:
    """Send the answer of a plain service."""
    await async_send_response(
        send,
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
        headers=(
            (b"x-request-id", request_id.encode()),
            (b"x-run-state", RunState.RAN.value.encode()),
        ),
    )


class StreamSink:
    """Sends an answer as server-sent events as the tokens arrive."""

    def __init__(self, send: Send, request_id: str, model: str) -> None:
        self.send = send
        self.request_id = request_id
        self.response_started = False
        head = json.dumps(
            {"id": request_id, "object": "text_completion", "model": model}
        )
        self.prefix = f'data: {head[:-1]}, "choices": [{{"index": 0, "text": '.encode()

    async def async_tokens(self, tokens: list[AnswerToken]) -> None:
        """Send the tokens of one batch in one body message."""
        if not self.response_started:
            await self._async_start()
        prefix = self.prefix
        body = b"".join(
            prefix
            + _encode_text(token.text).encode()
            + b', "finish_reason": null}]'
            + _EVENT_END
            for token in tokens
        )
        await self.send({"type": "http.response.body", "body": body, "more_body": True})

    async def async_end(self, end: AnswerEnd) -> None:
        """Send the finish reason and the usage, and end the stream."""
        if not self.response_started:
            await self._async_start()
        usage = json.dumps(usage_of(end))
        finish = json.dumps(end.finish_reason.value)
        event = b"".join(
            (
                self.prefix,
                f'"", "finish_reason": {finish}}}], "usage": {usage}'.encode(),
                _EVENT_END,
                _DONE,
            )
        )
        await self.send({"type": "http.response.body", "body": event})

    async def async_fail(self, error: RequestError) -> None:
        """End a started stream with an error event and without ``[DONE]``."""
        event = b"data: " + error_body(error, self.request_id) + b"\n\n"
        await self.send({"type": "http.response.body", "body": event})

    async def _async_start(self) -> None:
        self.response_started = True
        headers = [
            (b"content-type", b"text/event-stream"),
            (b"cache-control", b"no-store"),
            (b"x-request-id", self.request_id.encode()),
        ]
        await self.send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )


class BufferedSink:
    """Buffers an answer and sends it as one response when it is complete."""

    def __init__(self, send: Send, request_id: str, model: str) -> None:
        self.send = send
        self.request_id = request_id
        self.model = model
        self.response_started = False
        self.parts: list[str] = []

    async def async_tokens(self, tokens: list[AnswerToken]) -> None:
        """Buffer the tokens."""
        self.parts.extend(token.text for token in tokens)

    async def async_end(self, end: AnswerEnd) -> None:
        """Send the complete answer."""
        self.response_started = True
        choice = {
            "index": 0,
            "text": "".join(self.parts),
            "finish_reason": end.finish_reason.value,
        }
        body = {
            "id": self.request_id,
            "object": "text_completion",
            "model": self.model,
            "choices": [choice],
            "usage": usage_of(end),
        }
        await async_send_response(
            self.send,
            status=200,
            body=json.dumps(body).encode(),
            headers=((b"x-request-id", self.request_id.encode()),),
        )


def usage_of(end: AnswerEnd) -> dict[str, int | str]:
    """Return the usage object of an answer."""
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.answer_tokens,
        "total_tokens": end.prompt_tokens + end.answer_tokens,
        "cached_tokens": end.cached_tokens,
        "imported_tokens": end.imported_tokens,
        "weight_version": end.weight_version,
    }
