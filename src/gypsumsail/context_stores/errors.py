"""Errors of calls to context stores."""

from __future__ import annotations

from typing import ClassVar

from gypsumsail.core.errors import TransportError


class OtherServerError(TransportError):
    """The server at the address of a context store is not a context store."""

    code: ClassVar[str] = "other_server"


class MisplacedAnswerError(TransportError):
    """An answer of a context store belongs to an earlier call on its connection."""

    code: ClassVar[str] = "misplaced_answer"
