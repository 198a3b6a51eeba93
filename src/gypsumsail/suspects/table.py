"""Decides which requests are suspected or convicted of crashing targets."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from gypsumsail.suspects.const import (
    ATTEMPT_RETENTION_SECONDS,
    BUSY_RETRY_AFTER_SECONDS,
    CONVICTION_SECONDS,
    CRASHES_TO_CONVICT,
    MAX_RECORDS,
    SLOT_LIFETIME_SECONDS,
    SUSPICION_SECONDS,
)
from gypsumsail.suspects.models import (
    Busy,
    Clear,
    Convicted,
    Isolate,
    RunOn,
    TargetInstance,
    Unplaced,
    Verdict,
)


@dataclass(slots=True, kw_only=True)
class Attempt:
    """An attempt in progress.

    Attributes
    ----------
    entry
        Name and incarnation of the entry that makes the attempt.
    instance
        Where the attempt runs; ``None`` until it is placed.
    """

    entry: str
    begun_at: float
    instance: TargetInstance | None = None


@dataclass(slots=True, kw_only=True)
class Record:
    """Attempts, crashes and conviction of one fingerprint.

    Attributes
    ----------
    attempts
        Attempts in progress by attempt ID.
    crashes
        Time of the crash by target instance.
    convicted_at
        Time of the conviction; ``None`` if the request is not convicted.
    has_completed
        Whether an attempt was answered completely since the record was created. After
        that, copies of the request no longer have to run on one target.
    """

    attempts: dict[str, Attempt] = field(default_factory=dict)
    crashes: dict[TargetInstance, float] = field(default_factory=dict)
    convicted_at: float | None = None
    has_completed: bool = False


class SuspectTable:
    """Records of the fingerprints that this entry owns, and of some others.

    The others are those for which this entry observed a crash, or decided because the
    owner did not respond.

    The table is soft state. Its loss drops all suspicions, and in a partition each side
    counts only the crashes it observes.
    """

    def __init__(self) -> None:
        self.records: OrderedDict[str, Record] = OrderedDict()

    def begin(
        self, fingerprint: str, attempt_id: str, entry: str, now: float
    ) -> Verdict:
        """Decide whether an attempt may start, and record it if it may."""
        record = self._record(fingerprint)
        self._drop_expired(record, now)
        verdict = self._verdict(record, now)
        match verdict:
            case Clear() | RunOn() | Isolate():
                record.attempts[attempt_id] = Attempt(entry=entry, begun_at=now)
            case Busy() | Convicted() | Unplaced():
                pass
        return verdict

    def place(
        self, fingerprint: str, attempt_id: str, instance: TargetInstance
    ) -> None:
        """Record where an attempt runs."""
        record = self.records.get(fingerprint)
        if record is None:
            return
        attempt = record.attempts.get(attempt_id)
        if attempt is not None:
            attempt.instance = instance

    def end(self, fingerprint: str, attempt_id: str, *, whole: bool) -> None:
        """Remove an attempt that ended without a crash."""
        record = self.records.get(fingerprint)
        if record is None:
            return
        record.attempts.pop(attempt_id, None)
        record.has_completed = record.has_completed or whole
        if not record.attempts and not record.crashes and record.convicted_at is None:
            del self.records[fingerprint]

    def record_crash(
        self,
        fingerprint: str,
        attempt_id: str,
        instance: TargetInstance,
        *,
        isolated: bool,
        now: float,
    ) -> Verdict:
        """Count a crash of the target that ran an attempt; return the new verdict.

        A request is convicted only by a crash in which it ran in the target's suspect
        slot. Requests that shared a batch are therefore never convicted together.
        """
        record = self._record(fingerprint)
        record.attempts.pop(attempt_id, None)
        record.crashes.setdefault(instance, now)
        if isolated and len(record.crashes) >= CRASHES_TO_CONVICT:
            record.convicted_at = now
        return self._verdict(record, now)

    def remove_lost_entry(self, entry: str, now: float) -> None:
        """Remove the attempts of a lost entry, counting a crash for each placed one.

        The entry and the target may have crashed together, and no other entry can
        observe whether the target did.
        """
        for record in self.records.values():
            lost = [
                key for key, value in record.attempts.items() if value.entry == entry
            ]
            for attempt_id in lost:
                attempt = record.attempts.pop(attempt_id)
                if attempt.instance is not None:
                    record.crashes.setdefault(attempt.instance, now)

    def attribute_crash(self, fingerprint: str, instance: TargetInstance) -> None:
        """Remove a crash that a convicted request caused from the other records.

        The records of other convicted requests keep it.
        """
        for other, record in self.records.items():
            if other != fingerprint and record.convicted_at is None:
                record.crashes.pop(instance, None)

    def expire(self, now: float) -> None:
        """Drop expired attempts, crashes and convictions."""
        for fingerprint in list(self.records):
            record = self.records[fingerprint]
            self._drop_expired(record, now)
            if not record.attempts and not record.crashes:
                del self.records[fingerprint]

    def _record(self, fingerprint: str) -> Record:
        record = self.records.get(fingerprint)
        if record is not None:
            return record
        while len(self.records) >= MAX_RECORDS:
            self.records.popitem(last=False)
        record = Record()
        self.records[fingerprint] = record
        return record

    def _drop_expired(self, record: Record, now: float) -> None:
        if record.convicted_at is not None:
            if now - record.convicted_at < CONVICTION_SECONDS:
                return
            record.convicted_at = None
            record.crashes.clear()
        record.crashes = {
            instance: at
            for instance, at in record.crashes.items()
            if now - at < SUSPICION_SECONDS
        }
        record.attempts = {
            key: attempt
            for key, attempt in record.attempts.items()
            if now - attempt.begun_at < ATTEMPT_RETENTION_SECONDS
        }

    def _verdict(self, record: Record, now: float) -> Verdict:
        if record.convicted_at is not None:
            return Convicted(
                seconds_left=record.convicted_at + CONVICTION_SECONDS - now
            )
        if record.crashes:
            if record.attempts:
                return Busy(retry_after=BUSY_RETRY_AFTER_SECONDS)
            return Isolate()
        if not record.attempts or record.has_completed:
            return Clear()
        placed = [
            found.instance for found in record.attempts.values() if found.instance
        ]
        if not placed:
            return Unplaced()
        return RunOn(target=placed[-1].target)


@dataclass(frozen=True, slots=True, kw_only=True)
class Slot:
    """Reservation of a target's suspect slot by an attempt."""

    attempt_id: str
    reserved_at: float


class SlotTable:
    """Suspect slots, one for each target.

    The targets are those that this entry owns, and those whose owner did not respond to
    this entry.
    """

    def __init__(self) -> None:
        self.slots: dict[str, Slot] = {}

    def take(self, target: str, attempt_id: str, now: float) -> bool:
        """Reserve the slot for a limited time; return whether that succeeded."""
        slot = self.slots.get(target)
        if slot is not None and not self._is_available(slot, attempt_id, now):
            return False
        self.slots[target] = Slot(attempt_id=attempt_id, reserved_at=now)
        return True

    def free(self, target: str, attempt_id: str) -> None:
        """Release the slot if the attempt holds it."""
        slot = self.slots.get(target)
        if slot is not None and slot.attempt_id == attempt_id:
            del self.slots[target]

    def _is_available(self, slot: Slot, attempt_id: str, now: float) -> bool:
        return (
            slot.attempt_id == attempt_id
            or now - slot.reserved_at >= SLOT_LIFETIME_SECONDS
        )
