"""What an entry shows to operators."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256

from gypsumsail import VERSION
from gypsumsail.document.models import DocumentInForce
from gypsumsail.documents.coordinator import DocumentsCoordinator
from gypsumsail.entry.caller_api import CallerApi
from gypsumsail.entry.operator_models import (
    DocumentStatus,
    EntryState,
    EntryStatus,
    InForce,
    Readiness,
    TargetStatus,
)
from gypsumsail.membership.coordinator import MembershipCoordinator
from gypsumsail.peers.port import EntryId
from gypsumsail.platform.port import VmRecord
from gypsumsail.timeline.recorder import TimelineRecorder
from gypsumsail.timeline.records import Page


@dataclass(slots=True, kw_only=True)
class EntryStatusSource:
    """Gathers the status from the coordinators."""

    me: EntryId
    started_at: float
    membership: MembershipCoordinator
    documents: DocumentsCoordinator
    caller_api: CallerApi
    recorder: TimelineRecorder
    state: EntryState = EntryState.STARTING
    requests_on: Callable[[VmRecord], int] = lambda vm: 0
    metrics_text: Callable[[float], str] = lambda now: ""

    def in_force(self, now: float) -> InForce:
        """Return the documents in force."""
        return InForce(
            entry=self.me.name,
            incarnation=self.me.incarnation,
            zone=self.me.zone,
            documents=tuple(
                self._document(document, now)
                for document in self.documents.all_in_force()
            ),
            peers=self._peers(),
        )

    def status(self, now: float) -> EntryStatus:
        """Return the entry at a glance."""
        services = [
            document.document.service for document in self.documents.all_in_force()
        ]
        return EntryStatus(
            entry=self.me.name,
            incarnation=self.me.incarnation,
            zone=self.me.zone,
            build=VERSION,
            state=self.state,
            uptime_seconds=now - self.started_at,
            requests=len(self.caller_api.active),
            platform_age_seconds=None,
            peers=self._peers(),
            targets=tuple(
                self._target(vm)
                for service in services
                for vm in self.membership.targets(service)
            ),
        )

    def timeline(self, after: int) -> Page:
        """Return the events after a sequence number."""
        return self.recorder.since(after)

    def metrics(self, now: float) -> str:
        """Return the metrics in the text exposition format."""
        return self.metrics_text(now)

    def readiness(self, now: float) -> Readiness:
        """Return whether callers should come here.

        An entry without documents or platform stays ready: another entry would
        be no better, and the balancer must not empty the fleet.
        """
        if self.state is EntryState.READY:
            return Readiness(ready=True)
        return Readiness(ready=False, reason=self.state.value)

    def _peers(self) -> tuple[str, ...]:
        entries = self.membership.entries()
        return tuple(sorted(entry.name for entry in entries if entry != self.me))

    def _document(self, document: DocumentInForce, now: float) -> DocumentStatus:
        return DocumentStatus(
            service=document.document.service,
            version=document.version,
            digest=sha256(document.text.encode()).hexdigest(),
            owner=document.document.owner,
            lag_versions=0,
            lag_seconds=0.0,
        )

    def _target(self, vm: VmRecord) -> TargetStatus:
        return TargetStatus(
            target=vm.vm_id,
            service=vm.service,
            zone=vm.zone,
            state=vm.state.value,
            requests=self.requests_on(vm),
        )
