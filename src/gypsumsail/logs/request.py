"""The request that the running task works on."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Final

from gypsumsail.logs.const import NO_REQUEST_ID

_REQUEST_ID: Final[ContextVar[str]] = ContextVar("request_id", default=NO_REQUEST_ID)


def current_request_id() -> str:
    """Return the request id, or ``-`` outside of a request."""
    return _REQUEST_ID.get()


@contextmanager
def request_log_context(request_id: str) -> Iterator[None]:
    """Name the request on every line that is logged inside."""
    token = _REQUEST_ID.set(request_id)
    try:
        yield
    finally:
        _REQUEST_ID.reset(token)
