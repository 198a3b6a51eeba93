"""Errors of at-most-once execution."""

from __future__ import annotations

from typing import ClassVar

from gypsumsail.core.errors import DuplicateRequestError, GypsumsailError


class KeyReusedError(DuplicateRequestError):
    """The key was used with a different request; this request was not run.

    Requests differ if their method, path, query or body differs.
    """

    code: ClassVar[str] = "key_reused"
    status: ClassVar[int] = 422


class LedgerUnavailableError(GypsumsailError):
    """The ledger could not be read, or a write to it was not confirmed."""

    code: ClassVar[str] = "ledger_unavailable"


class LedgerCorruptError(LedgerUnavailableError):
    """A ledger object can't be decoded, or the head or a segment is missing."""

    code: ClassVar[str] = "ledger_corrupt"


class LedgerContendedError(LedgerUnavailableError):
    """The last attempt to commit conflicted with another writer's commit."""

    code: ClassVar[str] = "ledger_contended"


class PlatformPausedError(LedgerUnavailableError):
    """The circuit breaker is open after a platform failure; nothing was written."""

    code: ClassVar[str] = "platform_paused"


class ReservationStateError(GypsumsailError):
    """The operation is not allowed in the reservation's state."""

    code: ClassVar[str] = "reservation_state"
