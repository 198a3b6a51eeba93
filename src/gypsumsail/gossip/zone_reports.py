"""Report that sums the loads of many VMs, and its CBOR encoding.

In all types, ``life`` is the incarnation of the target.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any, Final

import cbor2

from gypsumsail.core import cbor
from gypsumsail.gossip.messages import (
    CrashUpdate,
    LoadingTarget,
    ObservedWeights,
    RemovedTarget,
    ServiceLoad,
    crash_row,
    parse_crash_updates,
    parse_revisions,
    revision_rows,
)

REPORT_FORMAT_VERSION: Final = 3
"""Version of the report format, which also tells reports from gossip messages."""

FleetUpdate = CrashUpdate | LoadingTarget | ObservedWeights | RemovedTarget
"""Update that every VM of the fleet needs, whatever its zone."""


class ReportScope(IntEnum):
    """VMs whose loads a report sums.

    ``ZONE`` are the VMs of the sender's zone, ``OTHER_ZONES`` those of all zones but
    that of the sender and the receiver.
    """

    ZONE = 0
    OTHER_ZONES = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class SummedLoad:
    """Load that several VMs have at a target.

    Attributes
    ----------
    stalled_vms
        Number of VMs to which the target seems stalled.
    """

    target: str
    life: int
    calls: int
    tokens: int
    pending_prefill_tokens: int
    stalled_vms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneReport:
    """Loads of many VMs, and updates for the whole fleet, from one reporting VM.

    The fields that `GossipMessage` has as well have the same meaning.
    """

    vm: str
    host: str
    zone: str
    started_at_ms: int
    sequence_number: int
    scope: ReportScope
    last_changed_revisions: tuple[tuple[str, int], ...] = ()
    loads: tuple[SummedLoad, ...] = ()
    waiting: tuple[ServiceLoad, ...] = ()
    crash_reports: tuple[CrashUpdate, ...] = ()
    loading: tuple[LoadingTarget, ...] = ()
    weights: tuple[ObservedWeights, ...] = ()
    removed: tuple[RemovedTarget, ...] = ()

    def updates(self) -> tuple[FleetUpdate, ...]:
        """Return all updates for the fleet."""
        return (*self.crash_reports, *self.loading, *self.weights, *self.removed)


def encode_report(report: ZoneReport) -> bytes:
    """Encode a report."""
    return cbor2.dumps(
        [
            REPORT_FORMAT_VERSION,
            report.vm,
            report.host,
            report.zone,
            report.started_at_ms,
            report.sequence_number,
            int(report.scope),
            revision_rows(report.last_changed_revisions),
            [
                [
                    load.target,
                    load.life,
                    load.calls,
                    load.tokens,
                    load.pending_prefill_tokens,
                    load.stalled_vms,
                ]
                for load in report.loads
            ],
            [
                [item.service, item.calls, item.work_ms, item.arriving_ms_per_second]
                for item in report.waiting
            ],
            list(map(crash_row, report.crash_reports)),
            [[item.target, item.life] for item in report.loading],
            [
                [item.target, item.life, item.model, item.version]
                for item in report.weights
            ],
            [[item.target, item.life] for item in report.removed],
        ]
    )


def is_report(fields: object) -> bool:
    """Return whether a decoded datagram is a report and not a gossip message."""
    return isinstance(fields, list) and fields[:1] == [REPORT_FORMAT_VERSION]


def parse_report(value: object) -> ZoneReport:
    """Parse a decoded datagram as a report; raises ``ValueInvalidError``."""
    fields = _REPORT.read(value)
    if fields[6] not in list(ReportScope):
        raise cbor.ValueInvalidError("unknown scope of a report")
    return ZoneReport(
        vm=fields[1],
        host=fields[2],
        zone=fields[3],
        started_at_ms=fields[4],
        sequence_number=fields[5],
        scope=ReportScope(fields[6]),
        last_changed_revisions=parse_revisions(fields[7]),
        loads=tuple(map(_summed_load, _SUMMED_LOAD.read_all(fields[8]))),
        waiting=tuple(
            ServiceLoad(
                service=service,
                calls=calls,
                work_ms=work_ms,
                arriving_ms_per_second=arriving,
            )
            for service, calls, work_ms, arriving in _WAITING.read_all(fields[9])
        ),
        crash_reports=parse_crash_updates(fields[10]),
        loading=tuple(
            LoadingTarget(target=target, life=life)
            for target, life in _TARGET_LIFE.read_all(fields[11])
        ),
        weights=tuple(
            ObservedWeights(target=target, life=life, model=model, version=version)
            for target, life, model, version in _WEIGHTS.read_all(fields[12])
        ),
        removed=tuple(
            RemovedTarget(target=target, life=life)
            for target, life in _TARGET_LIFE.read_all(fields[13])
        ),
    )


def _summed_load(row: list[Any]) -> SummedLoad:
    target, life, calls, tokens, pending_prefill_tokens, stalled_vms = row
    return SummedLoad(
        target=target,
        life=life,
        calls=calls,
        tokens=tokens,
        pending_prefill_tokens=pending_prefill_tokens,
        stalled_vms=stalled_vms,
    )


_REPORT: Final = cbor.RowReader(int, str, str, str, int, int, int, *[list] * 7)
_SUMMED_LOAD: Final = cbor.RowReader(str, int, int, int, int, int)
_WAITING: Final = cbor.RowReader(str, int, int, int)
_TARGET_LIFE: Final = cbor.RowReader(str, int)
_WEIGHTS: Final = cbor.RowReader(str, int, str, int)
