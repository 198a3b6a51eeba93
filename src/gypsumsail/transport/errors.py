"""Errors of HTTP responses."""

from __future__ import annotations

from typing import ClassVar

from gypsumsail.core.errors import TransportError


class BrokenStreamError(TransportError):
    """A response ended early, is malformed or belongs to another request."""

    code: ClassVar[str] = "broken_stream"

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


class ResponseTooLargeError(BrokenStreamError):
    """The body of a response is larger than its call allows."""

    code: ClassVar[str] = "response_too_large"
