"""Decides which parts of a store may be fetched, and whether parts may be saved.

A save names no run of its store, and may wait at its engine for as long as the call has
time left. If the store restarts meanwhile, the part is written into the new run, while
VMs that haven't seen the restart let engines fetch it as they knew it from the run
before. A part is therefore fetched only once no VM can have a save of it on its way:

- each VM tells which saves of its own aren't settled, with a digest of its view. The
  same digest at the same change shows that it knows the part, so that it won't save it;
- a part that has been known for long is fetched in any case, as each VM saves only with
  a view that others have confirmed or that it has listed a short time ago.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from gypsumsail.context_stores.const import (
    LATE_REPORT_SECONDS,
    MAX_LISTING_AGE_SECONDS,
    MAX_REPORT_GAP_SECONDS,
    MAX_REPORTED_SAVES,
    MISMATCH_SECONDS,
    SAVE_TIMEOUT_SECONDS,
)
from gypsumsail.context_stores.pending_saves import PendingSaves
from gypsumsail.context_stores.store_view import (
    PartKey,
    StoreView,
    UnconfirmedPart,
    part_hash,
)
from gypsumsail.gossip.store_messages import NO_VIEW, StoreReport, VmStart

HASH_MASK = 0xFFFF_FFFF
"""Bits of the hashes of parts in reports; an equal hash only delays a fetch."""


def reported_hash(key: PartKey) -> int:
    """Return the hash of a part in reports."""
    return part_hash(key) & HASH_MASK


@dataclass(frozen=True, slots=True, kw_only=True)
class Saver:
    """Another VM that may have sent saves to a store, in one of its lives.

    Attributes
    ----------
    ended_at
        Time at which a later life of the VM was heard; ``None`` for the present one.
    """

    vm_start: VmStart
    ended_at: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedReport:
    """Report of another VM, and the time at which it came."""

    report: StoreReport
    received_at: float

    def rules_out(self, key: PartKey) -> bool:
        """Return whether no save of a part was on its way from the sender."""
        return reported_hash(key) not in self.report.saving


@dataclass(slots=True)
class StoreAgreement:
    """What other VMs know of one store, and which of its parts they may still save.

    Attributes
    ----------
    pending_saves
        Saves of this VM.
    reports
        Latest report of each VM.
    matched_at
        Time of each VM's latest report that shows the same view as that of this VM.
    differs_since
        Time since which the view of another VM differs from that of this VM; ``None``
        if no view does.
    wants_list
        Whether the store has to be listed before parts are saved to it.
    saving_elsewhere
        Hashes of the parts that other VMs have saves of on their way.
    """

    view: StoreView
    pending_saves: PendingSaves = field(default_factory=PendingSaves)
    reports: dict[VmStart, ReceivedReport] = field(default_factory=dict)
    matched_at: dict[VmStart, float] = field(default_factory=dict)
    differs_since: float | None = None
    wants_list: bool = False
    saving_elsewhere: frozenset[int] = frozenset()

    def record(self, vm_start: VmStart, report: StoreReport, now: float) -> None:
        """Record a report of another VM."""
        self.reports[vm_start] = ReceivedReport(report=report, received_at=now)
        if self._matches(report):
            self.matched_at[vm_start] = now
        self.saving_elsewhere = frozenset(
            number
            for found in self.reports.values()
            if now - found.received_at < SAVE_TIMEOUT_SECONDS
            for number in found.report.saving
        )

    def forget_except(self, vm_starts: Collection[VmStart]) -> None:
        """Forget the reports of all VMs but the given ones."""
        for known in (self.reports, self.matched_at):
            for vm_start in [found for found in known if found not in vm_starts]:
                del known[vm_start]

    def _matches(self, report: StoreReport) -> bool:
        """Return whether another VM had the view that this VM has had."""
        return (
            report.life == self.view.life
            and self.view.digests.get(report.number) == report.digest
        )

    def fetchable_parts(
        self, savers: Collection[Saver], longest_save: float, now: float
    ) -> list[PartKey]:
        """Return the unconfirmed parts that no VM can have a save of on its way.

        Parameters
        ----------
        savers
            The other VMs that may have sent saves.
        longest_save
            Longest time in seconds for which a save may be on its way.
        """
        view = self.view
        if not view.unconfirmed:
            return []
        own = self.pending_saves.unsettled(view, now)
        latest = view.answered_at - longest_save - MAX_LISTING_AGE_SECONDS
        self._record_confirmations(savers, now)
        return [
            key
            for key, part in view.unconfirmed.items()
            if part.known_at <= latest
            or (key not in own and self._all_confirm(key, part, savers))
        ]

    def _all_confirm(
        self, key: PartKey, part: UnconfirmedPart, savers: Iterable[Saver]
    ) -> bool:
        return all(
            saver.vm_start in part.confirmed_by or self._has_ended_without(key, saver)
            for saver in savers
        )

    def _has_ended_without(self, key: PartKey, saver: Saver) -> bool:
        """Return whether an ended VM has told of all saves that it had sent."""
        if saver.ended_at is None:
            return False
        last = self.reports.get(saver.vm_start)
        if last is None or last.report.life not in (NO_VIEW, self.view.life):
            return False
        gap = saver.ended_at - last.received_at
        return gap <= MAX_REPORT_GAP_SECONDS and last.rules_out(key)

    def _record_confirmations(self, savers: Iterable[Saver], now: float) -> None:
        differs = False
        for saver in savers:
            received = self.reports.get(saver.vm_start)
            if received is None:
                continue
            report = received.report
            has_no_view = report.life == NO_VIEW
            if not has_no_view and not self._matches(report):
                # Views that don't have the same changes yet can't be compared.
                is_comparable = report.number in self.view.digests
                differs |= report.life == self.view.life and is_comparable
                continue
            for key, part in self.view.unconfirmed.items():
                if has_no_view:
                    # The sender's next list shows what was complete at its report.
                    sent_at = received.received_at - LATE_REPORT_SECONDS
                    is_known = part.known_at <= sent_at
                else:
                    is_known = part.number <= report.number
                if is_known and received.rules_out(key):
                    part.confirmed_by.add(saver.vm_start)
        self._note_difference(differs=differs, now=now)

    def _note_difference(self, *, differs: bool, now: float) -> None:
        if not differs:
            self.differs_since = None
            return
        if self.differs_since is None:
            self.differs_since = now
        if now - self.differs_since >= MISMATCH_SECONDS:
            self.wants_list = self._is_list_old(now)

    def _is_list_old(self, now: float) -> bool:
        return now - self.view.listed_at > MAX_LISTING_AGE_SECONDS

    def may_save(self, savers: Collection[Saver], now: float) -> bool:
        """Return whether the view lacks no part that was complete a short time ago.

        A change that was never reported is found by a list, or by comparison with the
        view of a VM that has listed the store.
        """
        if not self._is_list_old(now):
            return True
        oldest = now - MAX_LISTING_AGE_SECONDS
        is_confirmed = all(
            self.matched_at.get(saver.vm_start, float("-inf")) >= oldest
            for saver in savers
            if saver.ended_at is None
        )
        if not is_confirmed:
            self.wants_list = True
        return is_confirmed

    def is_saved_elsewhere(self, key: PartKey) -> bool:
        """Return whether another VM has a save of a part on its way."""
        return reported_hash(key) in self.saving_elsewhere

    def reported_saves(self, now: float) -> tuple[int, ...]:
        """Return the hashes of the parts that engines may still save for this VM."""
        unsettled = self.pending_saves.unsettled(self.view, now)
        return tuple(sorted(map(reported_hash, unsettled)))

    def own_report(
        self, followers: Iterable[VmStart], now: float, *, may_save: bool = False
    ) -> StoreReport | None:
        """Return the report of this VM; ``None`` if it can't tell all.

        Parameters
        ----------
        followers
            VMs that follow the store by this one, for which it reports as well.
        """
        view = self.view
        saving = set(self.reported_saves(now))
        number = view.next_number
        life = NO_VIEW if view.life is None else view.life
        for vm_start in followers:
            found = self.reports.get(vm_start)
            if found is None or found.report.life != life:
                return None
            number = min(number, found.report.number)
            saving.update(found.report.saving)
        digest = view.digests.get(number, 0 if life == NO_VIEW else None)
        if digest is None or len(saving) > MAX_REPORTED_SAVES:
            return None
        return StoreReport(
            store=str(view.store.address),
            life=life,
            number=number,
            digest=digest,
            saving=tuple(sorted(saving)),
            may_save=may_save,
        )
