"""Requests, reservations and outcomes as the entry sees them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gypsumsail.core.errors import RunState


@dataclass(frozen=True, slots=True, kw_only=True)
class AtMostOnceRequest:
    """A request that may not be repeated.

    Attributes
    ----------
    key
        The caller's idempotency key, scoped by customer and service; ``None``
        when the caller gave none.
    body_digest
        Digest of everything that makes two requests the same: method, path,
        query and body.
    """

    customer: str
    service: str
    key: str | None
    body_digest: bytes
    request_id: str = ""


class ReservationState(StrEnum):
    """Where a reservation is in its life; each state is left at most once."""

    HELD = "held"
    SENT = "sent"
    ENDED = "ended"
    ABANDONED = "abandoned"


@dataclass(slots=True, kw_only=True)
class Reservation:
    """The right to send a request once.

    Attributes
    ----------
    attempt_id
        Names this attempt in the ledger.
    valid_until
        Monotonic time from which the request may no longer be sent; counted
        from before the reservation was written.
    """

    request: AtMostOnceRequest
    attempt_id: str
    valid_until: float
    state: ReservationState = ReservationState.HELD


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """How a sent request ended.

    Attributes
    ----------
    run_state
        ``NOT_RUN`` only when the target said so before it ran anything.
    status
        HTTP status of the answer; 0 when none came.
    """

    run_state: RunState
    status: int = 0


def may_send(reservation: Reservation, now: float) -> bool:
    """Return whether the request may be sent; the last check before sending."""
    if reservation.state is not ReservationState.HELD:
        return False
    return now < reservation.valid_until
