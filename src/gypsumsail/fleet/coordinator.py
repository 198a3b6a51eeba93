"""Reads load and state of engines and shares the reports among the entries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import logging

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import GypsumsailError, TransportError
from gypsumsail.fleet.const import (
    ENGINE_READ_TIMEOUT_SECONDS,
    MIN_PAUSE_SECONDS,
    ROUNDS_PER_STATE_READ,
)
from gypsumsail.fleet.models import EngineReport, EngineReports, make_report
from gypsumsail.fleet.report_schedule import (
    assigned_reader,
    cross_zone_round_seconds,
    is_overdue,
    same_zone_round_seconds,
)
from gypsumsail.object_api.port import VmRecord
from gypsumsail.peers.port import EntryId, PeerNetwork
from gypsumsail.targets.port import EngineClient, EngineState

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedReport:
    """The latest report on an engine and when this entry received it."""

    report: EngineReport
    received_at: float


class EngineReportCoordinator:
    """Latest reports on all engines, as this entry knows them.

    Parameters
    ----------
    engines
        Returns the engines in the membership.
    on_report
        Called with each new report and the present time.
    """

    def __init__(
        self,
        me: EntryId,
        network: PeerNetwork,
        clock: Clock,
        *,
        engines: Callable[[], tuple[VmRecord, ...]],
        engine_of: Callable[[VmRecord], EngineClient],
        on_report: Callable[[EngineReport, float], None],
    ) -> None:
        self.me = me
        self.network = network
        self.clock = clock
        self.engines = engines
        self.engine_of = engine_of
        self.on_report = on_report
        self.latest_reports: dict[str, ReceivedReport] = {}
        self.states: dict[str, EngineState] = {}
        self.rounds = 0
        self.cross_zone_due_at = 0.0
        self.started_at = clock.monotonic()
        self.task: asyncio.Task[None] | None = None
        self.unsubscribe: Callable[[], None] | None = None

    async def async_setup(self) -> None:
        """Start reading engines and receiving the reports of other entries."""
        self.started_at = self.clock.monotonic()
        self.unsubscribe = self.network.subscribe(EngineReports, self._async_on_reports)
        self.task = asyncio.create_task(self._async_run_rounds())

    async def async_unload(self) -> None:
        """Stop reading engines and receiving reports."""
        if self.unsubscribe is not None:
            self.unsubscribe()
        if self.task is not None:
            self.task.cancel()

    async def _async_run_rounds(self) -> None:
        while True:
            started_at = self.clock.monotonic()
            engines = self.engines()
            try:
                await self._async_round(engines)
            except GypsumsailError:
                _LOGGER.exception("Round of engine reads failed")
            elapsed = self.clock.monotonic() - started_at
            same_zone = [vm for vm in engines if vm.zone == self.me.zone]
            pause = same_zone_round_seconds(len(same_zone)) - elapsed
            await asyncio.sleep(max(pause, MIN_PAUSE_SECONDS))

    async def _async_round(self, engines: tuple[VmRecord, ...]) -> None:
        self.rounds += 1
        now = self.clock.monotonic()
        peers = self.network.peers()
        cross_zone_seconds = cross_zone_round_seconds(
            _count_in_other_zones(engines, self.me.zone)
        )
        assigned = [
            vm
            for vm in engines
            if self._should_read(vm, peers, now, cross_zone_seconds)
        ]
        results = await asyncio.gather(*(self._async_read(vm) for vm in assigned))
        reports = tuple(report for report in results if report is not None)
        self._evict_unlisted(engines)
        if not reports:
            return
        await self._async_share(reports, _same_zone(peers, self.me.zone))
        if now >= self.cross_zone_due_at:
            self.cross_zone_due_at = now + cross_zone_seconds
            await self._async_share(reports, _other_zones(peers, self.me.zone))

    def _should_read(
        self,
        vm: VmRecord,
        peers: tuple[EntryId, ...],
        now: float,
        cross_zone_seconds: float,
    ) -> bool:
        if assigned_reader(vm, self.me, peers) == self.me.name:
            return True
        latest = self.latest_reports.get(vm.vm_id)
        return is_overdue(
            latest.received_at if latest else None,
            self.started_at,
            now,
            round_seconds=cross_zone_seconds,
        )

    async def _async_read(self, vm: VmRecord) -> EngineReport | None:
        engine = self.engine_of(vm)
        try:
            async with asyncio.timeout(ENGINE_READ_TIMEOUT_SECONDS):
                load = await engine.async_load()
                state = self.states.get(vm.vm_id)
                known = state is not None and state.incarnation == load.incarnation
                if (
                    state is None
                    or not known
                    or self.rounds % ROUNDS_PER_STATE_READ == 0
                ):
                    state = await engine.async_state()
                    self.states[vm.vm_id] = state
        except (TransportError, TimeoutError) as error:
            _LOGGER.debug("Reading engine %s failed: %s", vm.vm_id, error)
            return None
        report = make_report(vm.vm_id, load, state, 0.0)
        self._store_report(report)
        return report

    async def _async_share(
        self, reports: tuple[EngineReport, ...], peers: list[EntryId]
    ) -> None:
        message = EngineReports(reports=reports)
        for peer in peers:
            try:
                await self.network.async_send(peer, message)
            except TransportError as error:
                _LOGGER.debug(
                    "Sending engine reports to entry %s failed: %s", peer.name, error
                )

    async def _async_on_reports(self, _peer: EntryId, message: EngineReports) -> None:
        for report in message.reports:
            self._store_report(report)

    @callback
    def _store_report(self, report: EngineReport) -> None:
        now = self.clock.monotonic()
        self.latest_reports[report.target] = ReceivedReport(
            report=report, received_at=now
        )
        self.on_report(report, now)

    def _evict_unlisted(self, engines: tuple[VmRecord, ...]) -> None:
        known = {vm.vm_id for vm in engines}
        for target in [target for target in self.latest_reports if target not in known]:
            del self.latest_reports[target]
            self.states.pop(target, None)


def _same_zone(peers: tuple[EntryId, ...], zone: str) -> list[EntryId]:
    return [peer for peer in peers if peer.zone == zone]


def _other_zones(peers: tuple[EntryId, ...], zone: str) -> list[EntryId]:
    return [peer for peer in peers if peer.zone != zone]


def _count_in_other_zones(engines: tuple[VmRecord, ...], zone: str) -> int:
    return sum(vm.zone != zone for vm in engines)
