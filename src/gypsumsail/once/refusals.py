"""Errors of reservations that are not granted."""

from __future__ import annotations

import random

from gypsumsail.core.errors import (
    DuplicateRequestError,
    RequestError,
    ReservationUnavailableError,
    RunState,
)
from gypsumsail.once.const import (
    RETRY_AFTER_JITTER_SECONDS,
    RETRY_AFTER_SECONDS,
    RUNNING_RETRY_AFTER_SECONDS,
)
from gypsumsail.once.errors import KeyReusedError
from gypsumsail.once.ledger import SubmitResult, SubmitResultKind


def refusal_error(result: SubmitResult, rng: random.Random) -> RequestError:
    """Return the error for a reservation that the ledger refused."""
    match result.kind:
        case SubmitResultKind.RUNNING:
            return DuplicateRequestError(
                "a request with this key was reserved and its outcome is not known yet",
                run_state=RunState.MAY_HAVE_RUN,
                retry_after=RUNNING_RETRY_AFTER_SECONDS,
            )
        case SubmitResultKind.FINISHED:
            return DuplicateRequestError(
                f"the first request with this key ended with status {result.status}",
                run_state=result.run_state,
            )
        case SubmitResultKind.OTHER_BODY:
            return KeyReusedError(
                "this key was used with a different method, path, query or body"
            )
        case _:
            return unavailable_error(
                f"the ledger refused the reservation: {result.kind}", rng
            )


def unavailable_error(message: str, rng: random.Random) -> ReservationUnavailableError:
    """Return the error for a reservation that could not be confirmed."""
    jitter = rng.random() * RETRY_AFTER_JITTER_SECONDS
    return ReservationUnavailableError(
        message, retry_after=RETRY_AFTER_SECONDS + jitter
    )
