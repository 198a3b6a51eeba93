"""Interface through which the gateway has slow calls sent a second time."""

from __future__ import annotations

from typing import Protocol

from gypsumsail.gateway.job_send import JobSend
from gypsumsail.gateway.outcomes import SendOutcome


class SecondSends(Protocol):
    """Runs a send of a job, and a second one at another target if it is slow."""

    def applies_to(self, send: JobSend) -> bool:
        """Return whether a send may get a second one."""

    async def async_run(self, send: JobSend) -> SendOutcome:
        """Run a send and return the outcome of the call."""
