"""Shares limits among the entries without calls to the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from math import inf
from random import Random
from typing import Protocol

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.rendezvous import owner
from gypsumsail.document.models import ServiceDocument
from gypsumsail.limits.admission import AdmissionState, admit
from gypsumsail.limits.const import (
    LINK_CUSTOMER,
    MAX_REPORTS_PER_INTERVAL,
    MIN_DEMAND,
    REPORT_INTERVAL_SECONDS,
    REPORT_TIMEOUT_SECONDS,
)
from gypsumsail.limits.models import (
    Admission,
    AdmitRequest,
    CustomerQuota,
    DemandReport,
    DemandRow,
    QuotasByCustomer,
    ShareGrant,
    ZoneDemand,
)
from gypsumsail.limits.retry_budget import RetryBudget
from gypsumsail.limits.share_table import ShareTable
from gypsumsail.peers.port import EntryId, Message, PeerNetwork

_LOGGER = logging.getLogger(__name__)


class DocumentSource(Protocol):
    """Documents in force at this entry."""

    def document(self, service: str) -> ServiceDocument | None:
        """Return the document of a service, or ``None`` if there is none."""


def quotas_of(document: ServiceDocument) -> QuotasByCustomer:
    """Return the quotas of the customers and of the link to the stores."""
    quotas = {
        customer.name: CustomerQuota(
            share=customer.share, limit=customer.tokens_per_second or inf
        )
        for customer in document.customers
    }
    quotas[LINK_CUSTOMER] = CustomerQuota(
        share=0.0, limit=document.tiers.link_bytes_per_second
    )
    return quotas


class LimitCoordinator:
    """Admission at one entry, and the exchange of demand and rates with the others.

    In each zone one entry owns a service, selected by rendezvous hashing among the
    entries of the zone that are believed to be alive. The other entries report their
    demand to the owner, which grants them their part of each limit. The owners in all
    zones send each other the demand of their zone.
    """

    def __init__(
        self,
        me: EntryId,
        network: PeerNetwork,
        documents: DocumentSource,
        clock: Clock,
        rng: Random,
    ) -> None:
        self.me = me
        self.network = network
        self.documents = documents
        self.clock = clock
        self.rng = rng
        self.states: dict[str, AdmissionState] = {}
        self.tables: dict[str, ShareTable] = {}
        self.retries: dict[str, RetryBudget] = {}
        self._unsubscribe: list[Callable[[], None]] = []
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start to report demand and to answer reports."""
        self._unsubscribe = [
            self.network.subscribe(DemandReport, self._async_on_report),
            self.network.subscribe(ZoneDemand, self._async_on_zone),
        ]
        self._task = asyncio.create_task(self._async_run())

    async def async_unload(self) -> None:
        """Stop; with the next reports, other entries take over the owned services."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        self._unsubscribe = []
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    @callback
    def admit(self, service: str, request: AdmitRequest) -> Admission:
        """Admit or shed a request without waiting."""
        now = self.clock.monotonic()
        return admit(request, self._state(service), now, self.rng)

    @callback
    def on_answer_completed(self, service: str, tokens: float) -> None:
        """Count a request that was answered completely."""
        now = self.clock.monotonic()
        self._state(service).served.add(tokens, now=now)
        self.retry_budget(service).record_success(now)

    @callback
    def refund(self, service: str, customer: str, tokens: float) -> None:
        """Refund tokens that an admitted request did not use."""
        state = self._state(service).customers.get(customer)
        if state is not None and state.bucket is not None:
            state.bucket.refund(tokens)

    @callback
    def retry_budget(self, service: str) -> RetryBudget:
        """Return the budget from which a retry must be taken before it is sent."""
        return self.retries.setdefault(service, RetryBudget())

    @callback
    def link_credit(self, service: str) -> float:
        """Return the bytes that this entry may move over the link now."""
        now = self.clock.monotonic()
        bucket = self._state(service).refresh(LINK_CUSTOMER, now=now).bucket
        if bucket is None:
            return inf
        return bucket.credit if bucket.has_credit(now=now) else 0.0

    @callback
    def link_credit_share(self, service: str) -> float:
        """Return the link credit as a share of its maximum."""
        now = self.clock.monotonic()
        bucket = self._state(service).refresh(LINK_CUSTOMER, now=now).bucket
        if bucket is None or bucket.is_full(now=now):
            return 1.0
        return max(bucket.credit, 0.0) / bucket.burst

    @callback
    def add_link_demand(self, service: str, size: float) -> None:
        """Count bytes that are to be moved over the link if the budget allows it."""
        now = self.clock.monotonic()
        self._state(service).customer(LINK_CUSTOMER).demand.add(size, now=now)

    @callback
    def consume_link(self, service: str, size: float) -> None:
        """Count bytes that are moved over the link; a negative size refunds them."""
        now = self.clock.monotonic()
        bucket = self._state(service).refresh(LINK_CUSTOMER, now=now).bucket
        if bucket is not None:
            bucket.consume(size, now=now)

    def _state(self, service: str) -> AdmissionState:
        state = self.states.get(service)
        if state is None:
            state = self.states[service] = AdmissionState(quotas={})
            self._refresh(service, state)
        return state

    def _quotas(self, service: str) -> QuotasByCustomer:
        document = self.documents.document(service)
        return quotas_of(document) if document is not None else {}

    def _refresh(self, service: str, state: AdmissionState) -> None:
        state.quotas = self._quotas(service)
        state.live_entries = 1 + len(self.network.peers())

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(self._interval())
            await self.async_round()

    def _interval(self) -> float:
        """Return the report interval in seconds; it grows with the zone's entries."""
        peers = sum(peer.zone == self.me.zone for peer in self.network.peers())
        return REPORT_INTERVAL_SECONDS * max(
            1.0, (1 + peers) / MAX_REPORTS_PER_INTERVAL
        )

    async def async_round(self) -> None:
        """Report the demand of all services, and update the other zones."""
        for service, state in list(self.states.items()):
            self._refresh(service, state)
            await self._async_report(service, state)
        for service, table in list(self.tables.items()):
            table.update(self._quotas(service), now=self.clock.monotonic())
            if not table.sources:
                del self.tables[service]
            elif self._owner(service, self.me.zone) == self.me:
                await self._async_send_zone_demand(service, table)

    async def _async_report(self, service: str, state: AdmissionState) -> None:
        now = self.clock.monotonic()
        report = self._report(service, state, now)
        owner_entry = self._owner(service, self.me.zone)
        grant: ShareGrant | None
        if owner_entry == self.me:
            grant = self._handle_report(self.me, report)
        else:
            grant = await self._async_request_grant(owner_entry, report)
        if grant is not None:
            state.on_grant(grant, now=self.clock.monotonic())

    def _report(self, service: str, state: AdmissionState, now: float) -> DemandReport:
        rows = []
        for name, customer in list(state.customers.items()):
            wanted = customer.demand.rate(now=now)
            if wanted > MIN_DEMAND:
                rows.append(DemandRow(customer=name, wanted=wanted))
            elif customer.bucket is None or customer.bucket.is_full(now=now):
                del state.customers[name]
        return DemandReport(
            service=service,
            rows=tuple(rows),
            served=state.served.rate(now=now),
            backlog=state.backlog if rows else 0.0,
        )

    async def _async_request_grant(
        self, owner_entry: EntryId, report: DemandReport
    ) -> ShareGrant | None:
        try:
            answer = await self.network.async_request(
                owner_entry, report, timeout=REPORT_TIMEOUT_SECONDS
            )
        except TransportError as error:
            _LOGGER.debug("Could not report demand to %s: %s", owner_entry.name, error)
            return None
        return answer if isinstance(answer, ShareGrant) else None

    async def _async_send_zone_demand(self, service: str, table: ShareTable) -> None:
        message = table.zone_demand()
        zones = {peer.zone for peer in self.network.peers()} - {self.me.zone}
        for zone in sorted(zones):
            try:
                await self.network.async_send(self._owner(service, zone), message)
            except TransportError as error:
                _LOGGER.debug("Could not send demand to zone %s: %s", zone, error)

    def _owner(self, service: str, zone: str) -> EntryId:
        entries = {
            entry.name: entry
            for entry in (self.me, *self.network.peers())
            if entry.zone == zone
        }
        return entries[owner(service, entries)]

    def _table(self, service: str) -> ShareTable:
        table = self.tables.get(service)
        if table is None:
            table = self.tables[service] = ShareTable(service, self.me.zone)
        return table

    def _handle_report(self, entry: EntryId, report: DemandReport) -> ShareGrant:
        table = self._table(report.service)
        table.on_report(entry.name, report, now=self.clock.monotonic())
        return table.grant(entry.name, self._quotas(report.service))

    async def _async_on_report(self, peer: EntryId, message: DemandReport) -> Message:
        return self._handle_report(peer, message)

    async def _async_on_zone(self, _peer: EntryId, message: ZoneDemand) -> None:
        self._table(message.service).on_zone(message, now=self.clock.monotonic())
