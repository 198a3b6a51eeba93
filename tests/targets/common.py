"""Builders of engine requests and answers."""

from __future__ import annotations

from dataclasses import replace
import json
from typing import Any, Final

from gypsumsail.targets.port import EngineRequest

ATTEMPT: Final = "attempt-1"
TEXTS: Final = ("one", "two", " zwei\n", "")
REQUEST: Final = EngineRequest(
    attempt_id=ATTEMPT,
    model="claims",
    adapter="",
    weight_version="v1",
    prompt="is it eligible?",
    max_tokens=100,
    cache_salt="salt",
    priority=5,
    deadline=60.0,
)


def engine_request(**changes: Any) -> EngineRequest:
    """Return an engine request with some fields changed."""
    return replace(REQUEST, **changes)


def event(**values: Any) -> bytes:
    """Return one server-sent event of an answer."""
    return b"data: " + json.dumps({"id": ATTEMPT} | values).encode() + b"\n\n"


def token(index: int, **changes: Any) -> bytes:
    """Return a token event."""
    return event(**({"i": index, "t": TEXTS[index % len(TEXTS)]} | changes))


def end(answer_tokens: int = len(TEXTS), **changes: Any) -> bytes:
    """Return the final event of an answer."""
    values: dict[str, Any] = {"end": "stop", "weight_version": "v1"}
    values |= {"prompt_tokens": 4, "cached_tokens": 0, "imported_tokens": 0}
    return event(**(values | {"answer_tokens": answer_tokens} | changes))


DONE: Final = b"data: [DONE]\n\n"


def answer_events() -> list[bytes]:
    """Return the events of a complete answer."""
    return [*(token(index) for index in range(len(TEXTS))), end(), DONE]


def http_stream(events: bytes, *, is_complete: bool = True) -> bytes:
    """Return an HTTP response with a chunked event stream."""
    head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    body = b"transfer-encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(events), events)
    return head + body + (b"0\r\n\r\n" if is_complete else b"")
