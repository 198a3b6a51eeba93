"""Errors of calls to targets."""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar

from gypsumsail.core.errors import TransportError, UnavailableError


class RefusalReason(StrEnum):
    """Reason for which an engine refused a request before running it."""

    VERSION = "version"
    MODEL = "model"
    ROLE = "role"
    FULL = "full"


class EngineRefusedError(UnavailableError):
    """The engine refused a request and did not run it.

    ``sent`` is false although the request was transmitted, because the protocol
    guarantees that the engine ran nothing.
    """

    code: ClassVar[str] = "engine_refused"

    def __init__(self, message: str, *, reason: RefusalReason) -> None:
        super().__init__(message, sent=False)
        self.reason = reason


class EngineGaveUpError(TransportError):
    """The engine ended a request before its answer was complete.

    Attributes
    ----------
    reason
        Error code of the engine, such as ``deadline`` or ``cancelled``.
    """

    code: ClassVar[str] = "engine_gave_up"

    def __init__(self, message: str, *, reason: str, sent: bool) -> None:
        super().__init__(message, sent=sent)
        self.reason = reason


class OldFenceError(TransportError):
    """The target has seen a higher fencing token than the one of the command.

    Attributes
    ----------
    highest_fence
        The highest fencing token that the target has seen.
    """

    code: ClassVar[str] = "old_fence"

    def __init__(self, message: str, *, highest_fence: int) -> None:
        super().__init__(message, sent=True)
        self.highest_fence = highest_fence
