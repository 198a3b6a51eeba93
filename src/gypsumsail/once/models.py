"""Requests, reservations and outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gypsumsail.core.errors import RunState


@dataclass(frozen=True, slots=True, kw_only=True)
class AtMostOnceRequest:
    """A request that must run at most once.

    Attributes
    ----------
    key
        The caller's idempotency key, scoped by customer and service; ``None``
        if the caller gave none.
    body_digest
        Digest of the parts that are compared for equality: method, path, query
        and body.
    """

    customer: str
    service: str
    key: str | None
    body_digest: bytes
    request_id: str = ""


class ReservationState(StrEnum):
    """State of a reservation; a state is never entered twice."""

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
        Identifier of this attempt in the ledger.
    valid_until
        Monotonic time from which the request must not be sent:
        ``SEND_WINDOW_SECONDS`` after the time just before the reservation was
        written.
    """

    request: AtMostOnceRequest
    attempt_id: str
    valid_until: float
    state: ReservationState = ReservationState.HELD


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Outcome of a sent request.

    Attributes
    ----------
    run_state
        ``NOT_RUN`` only if the target reported that it ran nothing.
    status
        HTTP status of the response; 0 if there was none.
    """

    run_state: RunState
    status: int = 0


def may_send(reservation: Reservation, now: float) -> bool:
    """Return whether the request may be sent; check this right before sending."""
    if reservation.state is not ReservationState.HELD:
        return False
    return now < reservation.valid_until
