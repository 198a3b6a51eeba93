"""Errors of answers over connections."""

from __future__ import annotations

from typing import ClassVar

from gypsumsail.core.errors import TransportError


class BrokenStreamError(TransportError):
    """An answer ended early, or something in it is malformed or not its own."""

    code: ClassVar[str] = "broken_stream"

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)
