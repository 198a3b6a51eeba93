"""Reports the loads of a whole zone to the other zones of a large fleet.

With messages between all VMs, the work of a VM would grow with the fleet. Instead a few
reporting VMs of each zone, which hear all VMs of their zone anyway, send the sum to the
reporting VMs of the other zones. Those tell the VMs of their own zone the sum over the
other zones. A VM then hears of the other zones at a rate that depends on neither the
number of zones nor that of VMs.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from gypsumsail.core.callback import callback
from gypsumsail.gateway.const import PEER_LOAD_MAX_AGE_SECONDS
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.targets import PeerTargetLoad, TargetState
from gypsumsail.gossip.const import (
    OTHER_ZONES_REPORT_INTERVAL_SECONDS,
    REPORTERS_PER_ZONE,
    ZONE_REPORT_INTERVAL_SECONDS,
)
from gypsumsail.gossip.messages import ServiceLoad
from gypsumsail.gossip.peers import PeerTable
from gypsumsail.gossip.update_relay import UpdateRelay
from gypsumsail.gossip.zone_reports import (
    FleetUpdate,
    ReportScope,
    SummedLoad,
    ZoneReport,
)

REPORTER_DUTY = "zone report"
OTHER_ZONES_KEY = "other zones"
ZONE_KEY_PREFIX = "zone "


def zone_key(zone: str) -> str:
    """Return the key of a zone's sum among the loads of single VMs."""
    return f"{ZONE_KEY_PREFIX}{zone}"


class ServiceLoadTable(Protocol):
    """Latest service loads by VM or by zone, each with its time."""

    waiting: dict[str, tuple[float, tuple[ServiceLoad, ...]]]


class ZoneReporter:
    """Sums loads and passes updates on while this VM reports for its zone.

    Attributes
    ----------
    to_zones, to_vms
        Updates from this zone to the other zones, and from them to this zone.
    own_service_loads
        Returns the load of this VM for the targets of each service.
    """

    def __init__(
        self,
        peers: PeerTable,
        targets: TargetTable,
        service_loads: ServiceLoadTable,
        last_changed_revisions: Callable[[], Mapping[str, int]],
        send: Callable[[ZoneReport, list[str]], None],
        own_service_loads: Callable[[], tuple[ServiceLoad, ...]],
        started_at_ms: int,
    ) -> None:
        self.peers = peers
        self.targets = targets
        self.service_loads = service_loads
        self.last_changed_revisions = last_changed_revisions
        self.send = send
        self.own_service_loads = own_service_loads
        self.to_zones = UpdateRelay()
        self.to_vms = UpdateRelay()
        self.zones_told_at = float("-inf")
        self.vms_told_at = float("-inf")
        self.sequence_number = 0
        self.started_at_ms = started_at_ms

    def is_active(self, now: float) -> bool:
        """Return whether this VM reports for its zone."""
        return self.peers.is_large(now) and self.peers.is_assigned(
            REPORTER_DUTY, REPORTERS_PER_ZONE, now
        )

    @callback
    def note_updates(self, updates: Iterable[FleetUpdate], now: float) -> None:
        """Pass on updates of this VM or of another one of this zone."""
        if self.is_active(now):
            for update in updates:
                self.to_zones.add(update, now)

    @callback
    def note_report(self, report: ZoneReport, now: float) -> None:
        """Pass the updates of another zone on to the VMs of this zone."""
        if self.is_active(now) and report.scope is ReportScope.ZONE:
            for update in report.updates():
                self.to_vms.add(update, now)

    @callback
    def tick(self, now: float) -> None:
        """Send the reports that are due; pending updates make one due at once."""
        if not self.is_active(now):
            self.to_zones.pending.clear()
            self.to_vms.pending.clear()
            return
        if (
            self.to_zones.pending
            or now - self.zones_told_at >= ZONE_REPORT_INTERVAL_SECONDS
        ):
            self.zones_told_at = now
            self._report_zone(now)
        if (
            self.to_vms.pending
            or now - self.vms_told_at >= OTHER_ZONES_REPORT_INTERVAL_SECONDS
        ):
            self.vms_told_at = now
            self._report_other_zones(now)

    def _report_zone(self, now: float) -> None:
        """Tell the other zones the sum of this zone, with this VM."""
        report = self._report(
            ReportScope.ZONE,
            self.peers.reporting_names(now),
            now,
            self.to_zones,
            include_own=True,
        )
        self.send(report, self.peers.reporter_hosts(REPORTER_DUTY, now))

    def _report_other_zones(self, now: float) -> None:
        """Tell the VMs of this zone the sum of the other zones."""
        keys = frozenset(map(zone_key, self.peers.other_zones()))
        report = self._report(
            ReportScope.OTHER_ZONES, keys, now, self.to_vms, include_own=False
        )
        self.send(report, self.peers.reporting_hosts(now))

    def _report(
        self,
        scope: ReportScope,
        keys: frozenset[str],
        now: float,
        relay: UpdateRelay,
        *,
        include_own: bool,
    ) -> ZoneReport:
        """Return the next report.

        Parameters
        ----------
        keys
            VMs or zones whose loads are summed, by their keys in the tables of loads.
        include_own
            Whether the sum contains the load of this VM.
        """
        batch = relay.take(now)
        self.sequence_number += 1
        own_service_loads = self.own_service_loads() if include_own else ()
        summed = (
            _summed_load(state, keys, now, include_own=include_own)
            for state in self.targets.states.values()
        )
        return ZoneReport(
            vm=self.peers.vm,
            host=self.peers.host,
            zone=self.peers.zone,
            started_at_ms=self.started_at_ms,
            sequence_number=self.sequence_number,
            scope=scope,
            last_changed_revisions=tuple(self.last_changed_revisions().items()),
            loads=tuple(load for load in summed if load is not None),
            waiting=sum_service_loads(
                [*own_service_loads, *self._service_loads_of(keys, now)]
            ),
            crash_reports=batch.crash_reports,
            loading=batch.loading,
            weights=batch.weights,
            removed=batch.removed,
        )

    def _service_loads_of(
        self, keys: frozenset[str], now: float
    ) -> Iterable[ServiceLoad]:
        for key, (at, items) in self.service_loads.waiting.items():
            if key in keys and now - at < PEER_LOAD_MAX_AGE_SECONDS:
                yield from items


def sum_service_loads(items: Iterable[ServiceLoad]) -> tuple[ServiceLoad, ...]:
    """Return the sum of service loads, by service."""
    sums: dict[str, ServiceLoad] = {}
    for item in items:
        before = sums.get(item.service)
        if before is None:
            sums[item.service] = item
            continue
        sums[item.service] = ServiceLoad(
            service=item.service,
            calls=before.calls + item.calls,
            work_ms=before.work_ms + item.work_ms,
            arriving_ms_per_second=before.arriving_ms_per_second
            + item.arriving_ms_per_second,
        )
    return tuple(sums.values())


def _summed_load(
    state: TargetState, keys: frozenset[str], now: float, *, include_own: bool
) -> SummedLoad | None:
    """Return the load of some VMs or zones at a target, ``None`` if there is none."""
    loads: list[PeerTargetLoad] = [
        load
        for key, load in state.peers.items()
        if key in keys and now - load.at < PEER_LOAD_MAX_AGE_SECONDS
    ]
    if include_own and state.in_flight:
        loads.append(state.own_load(now))
    if not loads:
        return None
    return SummedLoad(
        target=state.entry.name,
        life=state.entry.life,
        calls=sum(load.calls for load in loads),
        tokens=sum(load.tokens for load in loads),
        pending_prefill_tokens=sum(load.pending_prefill_tokens for load in loads),
        stalled_vms=sum(load.stalled_vms for load in loads),
    )
