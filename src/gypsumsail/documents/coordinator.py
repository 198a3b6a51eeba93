"""Coordinator of the documents in force on one entry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
import random

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.document.models import DocumentInForce
from gypsumsail.documents.codec import StoredValueError, decode_stored, service_of
from gypsumsail.documents.const import COMPARE_INTERVAL_SECONDS
from gypsumsail.documents.fleet_report import async_collect_reports, report
from gypsumsail.documents.gate import (
    Accepted,
    DocumentGate,
    Duplicate,
    GateDecision,
    OlderVersion,
    Parse,
    Rejected,
)
from gypsumsail.documents.lag import LagMonitor
from gypsumsail.documents.messages import ReportRequest, ReportResponse
from gypsumsail.documents.models import (
    Candidate,
    DocumentLag,
    EntryReport,
    FleetReport,
    LagAlarm,
    Rejection,
    Source,
)
from gypsumsail.documents.sync import DocumentExchange
from gypsumsail.documents.watching import PlatformWatcher
from gypsumsail.membership.coordinator import MembershipCoordinator
from gypsumsail.object_api.port import ObjectApi, PlatformObject
from gypsumsail.peers.port import EntryId, PeerNetwork
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.port import Recorder

_LOGGER = logging.getLogger(__name__)

DELETED_FINDING = "the object was deleted; the last good document stays in force"

Listener = Callable[[DocumentInForce], None]


class DocumentsCoordinator:
    """Follows changes of documents and keeps those in force on this entry."""

    def __init__(
        self,
        api: ObjectApi,
        network: PeerNetwork,
        membership: MembershipCoordinator,
        recorder: Recorder,
        clock: Clock,
        *,
        parse: Parse,
        rng: random.Random,
    ) -> None:
        self.network = network
        self.membership = membership
        self.recorder = recorder
        self.clock = clock
        self.rng = rng
        self.gate = DocumentGate(parse)
        self.lag = LagMonitor()
        self.listeners: list[Listener] = []
        self.round_number = 0
        self.exchange = DocumentExchange(
            self.gate, self.lag, network, clock, self.offer
        )
        self.watcher = PlatformWatcher(
            api,
            clock=clock,
            rng=rng,
            is_relay=membership.calls_platform,
            handle_object=self.handle_object,
            confirm=self.lag.confirm,
        )
        self._task: asyncio.Task[None] | None = None
        self._unsubscribe: list[Callable[[], None]] = []

    async def async_setup(self) -> None:
        """Start following the platform and exchanging documents with other entries."""
        self._unsubscribe = [
            self.network.subscribe(ReportRequest, self._async_handle_report_request),
            *self.exchange.setup(),
        ]
        await self.watcher.async_setup()
        self._task = asyncio.create_task(self._async_exchange())

    async def async_unload(self) -> None:
        """Stop following the platform and other entries."""
        await self.watcher.async_unload()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for unsubscribe in self._unsubscribe:
            unsubscribe()

    @callback
    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Subscribe to documents coming into force; return the unsubscribe function."""
        self.listeners.append(listener)
        return lambda: self.listeners.remove(listener)

    @property
    def is_initialized(self) -> bool:
        """Return whether a document is in force or a list or comparison completed."""
        return self.lag.confirmed_at is not None or bool(self.gate.in_force)

    @callback
    def in_force(self, service: str) -> DocumentInForce | None:
        """Return the document in force of a service."""
        return self.gate.in_force.get(service)

    @callback
    def all_in_force(self) -> tuple[DocumentInForce, ...]:
        """Return all documents in force, sorted by service."""
        return tuple(item for _, item in sorted(self.gate.in_force.items()))

    @callback
    def lags(self, now: float) -> tuple[DocumentLag, ...]:
        """Return the lag of each service's document."""
        return self.lag.lags(now)

    @callback
    def alarms(self, now: float) -> tuple[LagAlarm, ...]:
        """Return the active lag alarms."""
        return self.lag.alarms(now)

    @callback
    def rejected(self) -> tuple[Rejection, ...]:
        """Return the latest rejected write of each service."""
        return tuple(item for _, item in sorted(self.gate.rejections.items()))

    @callback
    def report(self) -> EntryReport:
        """Return the report of the documents in force on this entry."""
        me = self.membership.table.me.entry
        return report(me, self.gate, self.lag, now=self.clock.monotonic())

    async def async_collect_reports(self, *, timeout: float) -> FleetReport:
        """Ask all entries for their reports; works during a platform outage."""
        others = (member.entry for member in self.membership.table.present())
        return await async_collect_reports(
            self.report(),
            self.network,
            others=tuple(others),
            missing=self.membership.missing_entries(),
            timeout=timeout,
        )

    @callback
    def handle_object(self, found: PlatformObject, source: Source) -> None:
        """Handle a document's object that was read from the platform."""
        service = service_of(found.key)
        if found.value is None:
            self._reject(service, (DELETED_FINDING,))
            return
        try:
            stored = decode_stored(found.value)
        except StoredValueError as error:
            place = f"object version {found.version}"
            self._reject(service, tuple(f"{place}: {one}" for one in error.findings))
            return
        self.offer(
            Candidate(
                service=service,
                version=stored.base + found.version,
                text=stored.text,
                source=source,
            )
        )

    @callback
    def offer(self, candidate: Candidate) -> None:
        """Offer a candidate to the gate and handle the decision."""
        now = self.clock.monotonic()
        self.lag.record_known(candidate.service, candidate.version, now=now)
        self._handle_decision(self.gate.offer(candidate), now)

    def _reject(self, service: str, findings: tuple[str, ...]) -> None:
        rejection = Rejection(service=service, version=0, findings=findings)
        self._handle_decision(self.gate.reject(rejection), self.clock.monotonic())

    def _handle_decision(self, decision: GateDecision, now: float) -> None:
        match decision:
            case Accepted(in_force=accepted):
                self._handle_accepted(accepted, now)
            case OlderVersion(candidate=candidate, version_in_force=version):
                detail = f"from {candidate.source.value}, {version} is in force"
                self._record(
                    EventKind.DOCUMENT_GATED,
                    candidate.service,
                    candidate.version,
                    detail,
                )
            case Rejected(rejection=rejection):
                _LOGGER.warning(
                    "Document of %s rejected: %s",
                    rejection.service,
                    "; ".join(rejection.findings),
                )
                self._record(
                    EventKind.DOCUMENT_REJECTED,
                    rejection.service,
                    rejection.version,
                    "; ".join(rejection.findings),
                )
            case Duplicate():
                return

    def _handle_accepted(self, accepted: DocumentInForce, now: float) -> None:
        service = accepted.document.service
        self.exchange.invalidate_digest()
        self.lag.record_in_force(service, accepted.version, now=now)
        self._record(EventKind.DOCUMENT_IN_FORCE, service, accepted.version, "")
        for listener in tuple(self.listeners):
            listener(accepted)

    def _record(self, kind: EventKind, service: str, version: int, detail: str) -> None:
        self.recorder.record(
            Event(
                kind=kind,
                service=service,
                document=service,
                version=version,
                detail=detail,
            )
        )

    async def _async_handle_report_request(
        self, peer: EntryId, request: ReportRequest
    ) -> ReportResponse:
        return ReportResponse(report=self.report())

    async def _async_exchange(self) -> None:
        while True:
            self.round_number += 1
            partners = self.membership.sync_partners(self.round_number)
            try:
                await self.exchange.async_exchange(partners)
            except Exception:
                _LOGGER.exception("Unexpected error while exchanging documents")
            jitter = self.rng.uniform(0.9, 1.1)
            await asyncio.sleep(COMPARE_INTERVAL_SECONDS * jitter)
