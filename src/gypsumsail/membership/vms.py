"""The platform's list of VMs, as one entry sees it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from gypsumsail.membership.const import (
    LEAVING_REPORT_SECONDS,
    RETENTION_SECONDS,
    VM_BUCKETS,
)
from gypsumsail.membership.digest import BucketDigest, bucket_of, digest_table
from gypsumsail.membership.models import TargetLeaving, VmsChanged
from gypsumsail.object_api.port import VmRecord, VmRole, VmState

TARGET_ROLES = frozenset({VmRole.ENGINE, VmRole.PLAIN})

Changes = tuple[VmsChanged | TargetLeaving, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class VmIncarnation:
    """One incarnation of a VM."""

    vm_id: str
    incarnation: str


class VmView:
    """The newest known reading of the VM list, and the VMs that are leaving.

    An incarnation that is once known to be leaving stays so, even if a later reading
    through a slower connection shows it as live.

    Attributes
    ----------
    read_at
        Monotonic seconds at which the reading was requested; ``None`` before the
        first one.
    reading_number
        Number of the newest known reading, which determines the entries that read
        next.
    leaving
        Incarnations that get no new work, with the time of the last evidence.
    leaving_reports
        Incarnations that were reported as leaving, with the time of the report.
    _by_role_and_service
        Records that are not leaving, by whether they are targets (otherwise stores)
        and by service.
    """

    def __init__(self) -> None:
        self.read_at: float | None = None
        self.reading_number = 0
        self.records: dict[str, VmRecord] = {}
        self.leaving: dict[VmIncarnation, float] = {}
        self.leaving_reports: dict[VmIncarnation, float] = {}
        self._digest: BucketDigest | None = None
        self._by_role_and_service: (
            dict[tuple[bool, str], tuple[VmRecord, ...]] | None
        ) = None

    def age(self, now: float) -> float | None:
        """Return the seconds since the reading was requested."""
        return None if self.read_at is None else now - self.read_at

    def is_newer(self, read_at: float) -> bool:
        """Return whether a reading is newer than the one in use."""
        return self.read_at is None or read_at > self.read_at

    def record_reading(self, *, read_at: float, reading_number: int) -> None:
        """Record the time and number of a newer reading."""
        self.read_at = read_at
        self.reading_number = max(self.reading_number, reading_number)

    def apply_reading(
        self, records: Iterable[VmRecord], *, read_at: float, now: float
    ) -> Changes:
        """Apply a complete reading of this entry if it is newer."""
        if not self.is_newer(read_at):
            return ()
        self.record_reading(read_at=read_at, reading_number=self.reading_number + 1)
        return self._replace({record.vm_id: record for record in records}, now)

    def apply_buckets(
        self,
        bucket_indexes: tuple[int, ...],
        records: Iterable[VmRecord],
        *,
        read_at: float,
        reading_number: int,
        now: float,
    ) -> Changes:
        """Apply the differing buckets of a peer's reading if it is newer."""
        if not self.is_newer(read_at):
            return ()
        self.record_reading(read_at=read_at, reading_number=reading_number)
        changed = set(bucket_indexes)
        kept = {
            vm_id: record
            for vm_id, record in self.records.items()
            if bucket_of(vm_id, VM_BUCKETS) not in changed
        }
        return self._replace(kept | {record.vm_id: record for record in records}, now)

    def mark_leaving(self, vm: VmIncarnation, *, now: float) -> Changes:
        """Record a report that a target is leaving, from itself or another entry."""
        if vm in self.leaving_reports:
            return ()
        self.leaving_reports[vm] = now
        return self._leave(vm, now)

    def recent_leaving_reports(self, now: float) -> tuple[VmIncarnation, ...]:
        """Return the reports that are recent enough to be shared."""
        oldest = now - LEAVING_REPORT_SECONDS
        return tuple(vm for vm, at in self.leaving_reports.items() if at >= oldest)

    def targets(self, service: str) -> tuple[VmRecord, ...]:
        """Return the targets of a service that may get new work."""
        return self._index().get((True, service), ())

    def stores(self, service: str) -> tuple[VmRecord, ...]:
        """Return the stores of a service that are not leaving."""
        return self._index().get((False, service), ())

    def entries(self) -> tuple[VmRecord, ...]:
        """Return the entries in the list that have an address."""
        return tuple(
            record
            for record in self.records.values()
            if record.role is VmRole.ENTRY and record.peer_url
        )

    def digest(self) -> BucketDigest:
        """Return the digest of the reading."""
        if self._digest is None:
            # Entries of other releases compute the same text, so it must not change.
            rows = ((vm_id, repr(record)) for vm_id, record in self.records.items())
            self._digest = digest_table(rows, VM_BUCKETS)
        return self._digest

    def in_buckets(self, bucket_indexes: tuple[int, ...]) -> tuple[VmRecord, ...]:
        """Return the records of some buckets."""
        wanted = set(bucket_indexes)
        return tuple(
            record
            for vm_id, record in self.records.items()
            if bucket_of(vm_id, VM_BUCKETS) in wanted
        )

    def _replace(self, records: dict[str, VmRecord], now: float) -> Changes:
        if records == self.records:
            return ()
        self.records = records
        self._digest = None
        self._by_role_and_service = None
        changes: Changes = (VmsChanged(),)
        for record in records.values():
            vm = VmIncarnation(vm_id=record.vm_id, incarnation=record.incarnation)
            if record.state is VmState.LEAVING:
                changes += self._leave(vm, now)
        self._remove_expired(now)
        return changes

    def _leave(self, vm: VmIncarnation, now: float) -> Changes:
        first = vm not in self.leaving
        self.leaving[vm] = now
        self._by_role_and_service = None
        if not first:
            return ()
        return (TargetLeaving(vm_id=vm.vm_id, incarnation=vm.incarnation),)

    def _remove_expired(self, now: float) -> None:
        listed = {
            VmIncarnation(vm_id=record.vm_id, incarnation=record.incarnation)
            for record in self.records.values()
        }
        oldest = now - RETENTION_SECONDS
        for reports in (self.leaving, self.leaving_reports):
            for vm in [item for item, at in reports.items() if at < oldest]:
                if vm not in listed:
                    del reports[vm]

    def _index(self) -> dict[tuple[bool, str], tuple[VmRecord, ...]]:
        if self._by_role_and_service is None:
            groups: defaultdict[tuple[bool, str], list[VmRecord]] = defaultdict(list)
            for record in self.records.values():
                self._add(groups, record)
            self._by_role_and_service = {
                key: tuple(group) for key, group in groups.items()
            }
        return self._by_role_and_service

    def _add(
        self,
        groups: defaultdict[tuple[bool, str], list[VmRecord]],
        record: VmRecord,
    ) -> None:
        vm = VmIncarnation(vm_id=record.vm_id, incarnation=record.incarnation)
        if record.role is VmRole.ENTRY or vm in self.leaving:
            return
        groups[record.role in TARGET_ROLES, record.service].append(record)
