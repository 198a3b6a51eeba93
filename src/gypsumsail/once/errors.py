"""Errors of requests that run at most once."""

from __future__ import annotations

from typing import ClassVar

from gypsumsail.core.errors import DuplicateRequestError, GypsumsailError


class KeyReusedError(DuplicateRequestError):
    """The idempotency key was used with another body; this request was not run."""

    code: ClassVar[str] = "key_reused"
    status: ClassVar[int] = 422


class LedgerUnavailableError(GypsumsailError):
    """A ledger could not be read or a write to it could not be confirmed."""

    code: ClassVar[str] = "ledger_unavailable"


class LedgerCorruptError(LedgerUnavailableError):
    """A ledger object can't be decoded, or a part of the ledger is missing."""

    code: ClassVar[str] = "ledger_corrupt"


class LedgerContendedError(LedgerUnavailableError):
    """Other entries' commits to the ledger came first each time."""

    code: ClassVar[str] = "ledger_contended"


class PlatformPausedError(LedgerUnavailableError):
    """The platform failed a moment ago; nothing was written."""

    code: ClassVar[str] = "platform_paused"


class ReservationStateError(GypsumsailError):
    """A reservation was used after it was sent, ended or abandoned."""

    code: ClassVar[str] = "reservation_state"
