"""What the caller API asks of the other parts of an entry."""

from __future__ import annotations

from typing import Any, Protocol

from gypsumsail.entry.models import Job
from gypsumsail.once.models import AtMostOnceRequest, Reservation
from gypsumsail.relay.port import AtMostOnce, Work


class Admission(Protocol):
    """Limits and shares of customers."""

    def admit(self, job: Job, now: float) -> None:
        """Count a job in.

        Raises
        ------
        OverloadedError
            The job is over a limit or is shed.
        """

    def finished(self, job: Job, work: Work[Any], now: float) -> None:
        """Count a job out."""


class Reservations(AtMostOnce, Protocol):
    """Records of requests that may not be repeated, as the caller API uses them."""

    async def async_reserve(
        self, request: AtMostOnceRequest, now: float
    ) -> Reservation:
        """Reserve the one run of a request.

        Raises
        ------
        RequestError
            The request is a duplicate, or can't be reserved now.
        """
