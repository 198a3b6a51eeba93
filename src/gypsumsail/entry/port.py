"""Interfaces of the entry components that the caller API depends on."""

from __future__ import annotations

from typing import Any, Protocol

from gypsumsail.entry.models import Job
from gypsumsail.once.models import AtMostOnceRequest, Reservation
from gypsumsail.relay.port import AtMostOnce, Work


class Admission(Protocol):
    """Admission of jobs by the limits and shares of their customers."""

    def admit(self, job: Job, now: float) -> None:
        """Admit a job and charge it to its customer.

        Raises
        ------
        OverloadedError
            The job exceeds a limit or is shed.
        """

    def finished(self, job: Job, work: Work[Any], now: float) -> None:
        """Record the end of a job."""


class Reservations(AtMostOnce, Protocol):
    """Records of requests that may not be repeated, including their reservation."""

    async def async_reserve(
        self, request: AtMostOnceRequest, now: float
    ) -> Reservation:
        """Reserve the single run of a request.

        Raises
        ------
        RequestError
            The request is a duplicate, or cannot be reserved at the moment.
        """
