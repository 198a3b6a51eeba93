"""Interface through which second sends reach the gateway."""

from __future__ import annotations

from typing import Protocol

from gypsumsail.core.clock import Clock
from gypsumsail.gateway.job_send import JobSend
from gypsumsail.gateway.outcomes import SendOutcome
from gypsumsail.hedging.models import HedgeFacts


class SendPort(Protocol):
    """Places and runs sends."""

    clock: Clock

    def facts(self, first: JobSend, now: float) -> HedgeFacts:
        """Return the facts on a call whose first send is in progress."""

    def place_second(self, first: JobSend, now: float) -> JobSend | None:
        """Place a call on another target with room; ``None`` if there is none."""

    async def async_run(self, send: JobSend) -> SendOutcome:
        """Run a send and record its outcome."""

    def drop(self, send: JobSend) -> None:
        """Remove a send that was cancelled from the calls at its target."""
