"""Collects the status of an entry for operators."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256

from gypsumsail import VERSION
from gypsumsail.document.models import DocumentInForce
from gypsumsail.documents.models import DocumentLag, LagAlarm
from gypsumsail.entry.caller_api import CallerApi
from gypsumsail.entry.operator_models import (
    DocumentStatus,
    EntryState,
    EntryStatus,
    InForce,
    Readiness,
    TargetStatus,
)
from gypsumsail.entry.shared import SharedComponents
from gypsumsail.metrics.entry import EntryMetrics
from gypsumsail.metrics.process import read_process_usage
from gypsumsail.object_api.port import VmRecord
from gypsumsail.routing.loads import EngineLoads
from gypsumsail.timeline.records import Page


@dataclass(slots=True, kw_only=True)
class EntryStatusSource:
    """Collects the status from the coordinators."""

    shared: SharedComponents
    started_at: float
    caller_api: CallerApi
    loads: EngineLoads
    entry_metrics: EntryMetrics
    state: EntryState = EntryState.STARTING

    def in_force(self, now: float) -> InForce:
        """Return the documents in force, and the findings of rejected documents."""
        documents = self.shared.documents
        lags = {lag.service: lag for lag in documents.lags(now)}
        findings = {found.service: found.findings for found in documents.rejected()}
        rows = [
            _document_status(
                document,
                lags.get(document.document.service),
                findings.pop(document.document.service, ()),
            )
            for document in documents.all_in_force()
        ]
        rows += [
            _rejected_status(service, texts) for service, texts in findings.items()
        ]
        entry_id = self.shared.entry_id
        return InForce(
            entry=entry_id.name,
            incarnation=entry_id.incarnation,
            zone=entry_id.zone,
            documents=tuple(rows),
            peers=self._peers(),
        )

    def status(self, now: float) -> EntryStatus:
        """Return the status summary of the entry."""
        entry_id = self.shared.entry_id
        documents = self.shared.documents.all_in_force()
        lags = self.shared.documents.lags(now)
        # The value is the same for all documents.
        unconfirmed = [lag.unconfirmed_seconds for lag in lags]
        return EntryStatus(
            entry=entry_id.name,
            incarnation=entry_id.incarnation,
            zone=entry_id.zone,
            build=VERSION,
            state=self.state,
            uptime_seconds=now - self.started_at,
            requests=len(self.caller_api.active),
            platform_age_seconds=unconfirmed[0] if unconfirmed else None,
            peers=self._peers(),
            targets=tuple(
                self._target(vm)
                for document in documents
                for vm in self.shared.membership.targets(document.document.service)
            ),
            duties=self._duties(now),
            alarms=tuple(
                _alarm_text(alarm) for alarm in self.shared.documents.alarms(now)
            ),
        )

    def timeline(self, after: int) -> Page:
        """Return the events after a sequence number."""
        return self.shared.recorder.page_since(after)

    def metrics(self, now: float) -> str:
        """Return the metrics in the text exposition format."""
        entry_metrics = self.entry_metrics
        entry_metrics.in_flight.labels().set(len(self.caller_api.active))
        entry_metrics.peers.labels().set(len(self._peers()))
        for lag in self.shared.documents.lags(now):
            entry_metrics.document_version.labels(lag.service).set(lag.in_force)
            entry_metrics.document_lag.labels(lag.service).set(lag.behind_seconds)
        entry_metrics.update_links(self.shared.network.counters)
        entry_metrics.update_process(read_process_usage())
        return entry_metrics.registry.exposition()

    def readiness(self, now: float) -> Readiness:
        """Return whether the load balancer should send requests to this entry.

        An entry without documents or without a connection to the platform stays
        ready: the other entries are affected in the same way, and the load balancer
        must not take all entries out of service.
        """
        if self.state is EntryState.READY:
            return Readiness(ready=True)
        return Readiness(ready=False, reason=self.state.value)

    def _peers(self) -> tuple[str, ...]:
        entry_id = self.shared.entry_id
        entries = self.shared.membership.entries()
        return tuple(sorted(entry.name for entry in entries if entry != entry_id))

    def _duties(self, now: float) -> tuple[str, ...]:
        duties = []
        if self.shared.membership.calls_platform(now):
            duties.append("reads the platform for its zone")
        if self.shared.orders.may_order(now):
            duties.append("gives orders to the engines of its zone")
        return tuple(duties)

    def _target(self, vm: VmRecord) -> TargetStatus:
        load = self.loads.engines.get(vm.vm_id)
        return TargetStatus(
            target=vm.vm_id,
            service=vm.service,
            zone=vm.zone,
            state=vm.state.value,
            requests=load.requests() if load is not None else 0,
        )


def _alarm_text(alarm: LagAlarm) -> str:
    subject = alarm.service or "all documents"
    return f"{subject}: lag {alarm.kind.value}, {alarm.seconds:.1f} s"


def _document_status(
    document: DocumentInForce, lag: DocumentLag | None, findings: tuple[str, ...]
) -> DocumentStatus:
    behind = lag.highest_known - lag.in_force if lag is not None else 0
    return DocumentStatus(
        service=document.document.service,
        version=document.version,
        digest=sha256(document.text.encode()).hexdigest(),
        owner=document.document.owner,
        lag_versions=max(behind, 0),
        lag_seconds=lag.behind_seconds if lag is not None else 0.0,
        findings=findings,
    )


def _rejected_status(service: str, findings: tuple[str, ...]) -> DocumentStatus:
    return DocumentStatus(
        service=service,
        version=0,
        digest="",
        owner="",
        lag_versions=0,
        lag_seconds=0.0,
        findings=findings,
    )
