"""Request id of the current task, for log lines."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Final

from gypsumsail.logs.const import NO_REQUEST_ID

_REQUEST_ID: Final[ContextVar[str]] = ContextVar("request_id", default=NO_REQUEST_ID)


def current_request_id() -> str:
    """Return the id of the current request, or ``-`` outside of a request."""
    return _REQUEST_ID.get()


@contextmanager
def request_log_context(request_id: str) -> Iterator[None]:
    """Add the request id to every line that is logged within the context."""
    token = _REQUEST_ID.set(request_id)
    try:
        yield
    finally:
        _REQUEST_ID.reset(token)
