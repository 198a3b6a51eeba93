"""Admission of jobs without any limit."""

from __future__ import annotations

from typing import Any

from gypsumsail.entry.models import Job
from gypsumsail.relay.port import Work


class OpenAdmission:
    """Admits every job."""

    def admit(self, job: Job, now: float) -> None:
        """Admit the job."""

    def finished(self, job: Job, work: Work[Any], now: float) -> None:
        """Do nothing."""


class OpenRetryBudget:
    """Allows every retry."""

    def take(self, now: float) -> bool:
        """Allow the retry."""
        return True

    def succeeded(self, now: float) -> None:
        """Do nothing."""
