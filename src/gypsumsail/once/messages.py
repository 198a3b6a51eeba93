"""Messages between an entry and the owner of a ledger partition."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.core.errors import RunState
from gypsumsail.once.ledger import SubmitResultKind
from gypsumsail.peers.codec import message
from gypsumsail.peers.port import Message


@message("once.reserve")
@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveMessage(Message):
    """Request to commit a reservation.

    The reply is a ``ReservationResultMessage`` or a ``LedgerUnavailableMessage``.

    Attributes
    ----------
    outcomes
        Encoded outcomes of earlier requests, committed in the same batch.
    key, body
        Digests of the idempotency key, and of the method, path, query and body of the
        request.
    """

    partition: int
    key: bytes
    attempt: bytes
    body: bytes
    outcomes: bytes


@message("once.verdict")
@dataclass(frozen=True, slots=True, kw_only=True)
class ReservationResultMessage(Message):
    """Reply with the result of a reservation."""

    kind: SubmitResultKind
    run_state: RunState
    status: int


@message("once.record")
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordMessage(Message):
    """Request to commit outcomes, encoded as ledger records."""

    partition: int
    entries: bytes


@message("once.recorded")
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedMessage(Message):
    """Reply that the outcomes are in the ledger."""


@message("once.unavailable")
@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerUnavailableMessage(Message):
    """Reply that the commit was not confirmed.

    Attributes
    ----------
    write_may_take_effect
        Whether the write may have taken effect or may still do so.
    """

    write_may_take_effect: bool
