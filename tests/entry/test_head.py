"""Tests of reading the body of a call."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from gypsumsail.core.errors import BodyTooLargeError
from gypsumsail.entry.head import CallerGoneError, async_read_body

LIMIT = 10


def make_receive(*messages: dict[str, Any]) -> Callable[[], Awaitable[Any]]:
    waiting = list(messages)

    async def async_receive() -> dict[str, Any]:
        return waiting.pop(0)

    return async_receive


def part(body: bytes, *, more: bool) -> dict[str, Any]:
    return {"type": "http.request", "body": body, "more_body": more}


async def test_chunks_of_a_body_are_joined() -> None:
    receive = make_receive(part(b"12345", more=True), part(b"67890", more=False))
    assert await async_read_body({"headers": []}, receive, LIMIT) == b"1234567890"


async def test_body_with_too_large_content_length_is_refused_unread() -> None:
    scope = {"headers": [(b"content-length", b"11")]}
    with pytest.raises(BodyTooLargeError):
        await async_read_body(scope, make_receive(), LIMIT)


async def test_streamed_body_over_the_limit_is_refused() -> None:
    receive = make_receive(part(b"12345678", more=True), part(b"901", more=True))
    with pytest.raises(BodyTooLargeError):
        await async_read_body({"headers": []}, receive, LIMIT)


async def test_disconnect_during_the_body_aborts_the_call() -> None:
    receive = make_receive(part(b"123", more=True), {"type": "http.disconnect"})
    with pytest.raises(CallerGoneError):
        await async_read_body({"headers": []}, receive, LIMIT)
