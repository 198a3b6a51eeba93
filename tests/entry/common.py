"""Builders of the status data that an entry returns to operators."""

from __future__ import annotations

from gypsumsail.entry.operator_models import (
    DocumentStatus,
    EntryState,
    EntryStatus,
    InForce,
    Readiness,
)
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.recorder import TimelineRecorder
from gypsumsail.timeline.records import Page, ProcessId
from tests.timeline.common import FakeClock

OPERATOR_KEY = "operator-key-of-the-test"


def document_status(service: str = "claims", version: int = 3) -> DocumentStatus:
    """Return a document in force."""
    return DocumentStatus(
        service=service,
        version=version,
        digest="d" * 64,
        owner="claims-team",
        lag_versions=0,
        lag_seconds=0.0,
    )


class FakeStatusSource:
    """Status source with fixed data."""

    def __init__(self, name: str = "entry-1") -> None:
        self.name = name
        self.documents: tuple[DocumentStatus, ...] = (document_status(),)
        self.peers: tuple[str, ...] = ()
        self.is_ready = True
        process = ProcessId(name=name, incarnation=f"{name}-incarnation")
        self.recorder = TimelineRecorder(process, FakeClock())
        for request_id in ("r1", "r2"):
            self.recorder.record(
                Event(kind=EventKind.REQUEST_ENDED, request_id=request_id)
            )

    def in_force(self, now: float) -> InForce:
        """Return the documents."""
        return InForce(
            entry=self.name,
            incarnation=f"{self.name}-incarnation",
            zone="brest-hall",
            documents=self.documents,
            peers=self.peers,
        )

    def status(self, now: float) -> EntryStatus:
        """Return a status."""
        return EntryStatus(
            entry=self.name,
            incarnation=f"{self.name}-incarnation",
            zone="brest-hall",
            build="0",
            state=EntryState.READY,
            uptime_seconds=now,
            requests=0,
            platform_age_seconds=None,
        )

    def timeline(self, after: int) -> Page:
        """Return one event per page."""
        return self.recorder.page_since(after, 1)

    def metrics(self, now: float) -> str:
        """Return a metric."""
        return "requests_total 1\n"

    def readiness(self, now: float) -> Readiness:
        """Return the readiness set by the test."""
        return Readiness(ready=self.is_ready, reason="" if self.is_ready else "full")
