"""Storage of one ledger partition in the platform's object API."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress
import logging
from typing import Final

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.port import MUST_NOT_EXIST, ConflictError, Listing, ObjectApi
from gypsumsail.once.const import COMMIT_ATTEMPTS
from gypsumsail.once.errors import (
    LedgerContendedError,
    LedgerCorruptError,
    LedgerUnavailableError,
)
from gypsumsail.once.ledger import Ledger, SubmitResult, SubmitResultKind, apply_record
from gypsumsail.once.planning import CommitPlan, apply_plan, plan_commit
from gypsumsail.once.records import (
    EMPTY_HEAD,
    LedgerRecord,
    decode_head,
    decode_records,
    encode_head,
    encode_records,
    head_object_key,
    partition_prefix,
    segment_object_key,
)

LOGGER = logging.getLogger(__name__)

# Segments are written once.
SEGMENT_OBJECT_VERSION: Final = 1


class LedgerStore:
    """Reads and writes a partition.

    Each write is conditional on the head version that it was planned from.

    Attributes
    ----------
    ledger
        Last known contents; ``None`` if they must be read first.
    known_version, known_at
        Last known version of the head, and the monotonic time at which this store
        first saw it.
    orphans
        Head versions of segments that can be deleted, because no head refers to them
        now or later. A segment's head version is that of the head whose records it
        holds.
    min_version
        Lowest head version that may be current; reads of lower ones are stale and
        ignored.
    """

    def __init__(self, api: ObjectApi, clock: Clock, partition: int) -> None:
        self.api = api
        self.clock = clock
        self.partition = partition
        self.ledger: Ledger | None = None
        self.known_version: int | None = None
        self.known_at = 0.0
        self.min_version = 0
        self.orphans: tuple[int, ...] = ()

    async def async_commit(
        self, records: Sequence[LedgerRecord], *, force: bool = False
    ) -> tuple[SubmitResult, ...]:
        """Commit records in one write and return the result of each.

        After a write without a response the head is read again. If its version has
        changed, it shows whether the write took effect. Otherwise the write is
        repeated under the same condition, so that at most one of the two takes
        effect.

        Parameters
        ----------
        force
            Whether to write without new records, to advance the ledger time and to
            drop expired segments.

        Raises
        ------
        LedgerUnavailableError
            The commit was not confirmed; the records may be in the ledger.
        """
        reloaded = False
        contended = False
        unconfirmed: CommitPlan | None = None
        for _ in range(COMMIT_ATTEMPTS):
            if self.ledger is None:
                await self._async_load()
                reloaded = True
            ledger = self.ledger
            if ledger is None:
                continue
            if unconfirmed is not None and ledger.head == unconfirmed.head:
                return unconfirmed.results
            plan = plan_commit(
                ledger, records, elapsed=self.clock.monotonic() - self.known_at
            )
            if records and not reloaded and _may_be_stale(plan):
                self.ledger = None
                continue
            if not plan.added and not force:
                return plan.results
            try:
                await self._async_write(ledger, plan)
            except ConflictError as err:
                self.ledger = None
                self.min_version = max(self.min_version, err.current)
                contended = True
            except TransportError as err:
                LOGGER.debug(
                    "Write to ledger partition %s not confirmed: %s",
                    self.partition,
                    err,
                )
                self.ledger = None
                unconfirmed = plan
                contended = False
            else:
                return plan.results
        message = f"ledger partition {self.partition} could not be written"
        if contended:
            raise LedgerContendedError(message)
        raise LedgerUnavailableError(message)

    async def async_clean_up(self) -> None:
        """Advance the ledger time, drop expired segments and delete orphaned ones.

        Raises
        ------
        LedgerUnavailableError
            The partition could not be read or written.
        """
        if self.ledger is None:
            await self._async_load()
        ledger = self.ledger
        if ledger is None or not (ledger.head.sealed or ledger.head.records):
            return
        await self.async_commit((), force=True)
        await self._async_delete_orphans()

    async def _async_delete_orphans(self) -> None:
        orphans, self.orphans = self.orphans, ()
        for head_version in orphans:
            key = segment_object_key(self.partition, head_version)
            with suppress(TransportError, ConflictError):
                await self.api.async_delete(key, if_version=SEGMENT_OBJECT_VERSION)

    async def _async_write(self, ledger: Ledger, plan: CommitPlan) -> None:
        if plan.needs_seal:
            await self._async_seal(ledger)
        version = await self.api.async_put(
            head_object_key(self.partition),
            encode_head(plan.head),
            if_version=ledger.version,
        )
        self._set_known_version(version, self.clock.monotonic())
        apply_plan(ledger, plan, version)
        self.min_version = version
        if plan.expired:
            self.orphans = (*self.orphans, *plan.expired)
            self.ledger = None

    async def _async_seal(self, ledger: Ledger) -> None:
        """Store the records of the current head as a segment."""
        with suppress(ConflictError):
            await self.api.async_put(
                segment_object_key(self.partition, ledger.version),
                encode_records(ledger.head.records),
                if_version=MUST_NOT_EXIST,
            )

    async def _async_load(self) -> None:
        """Read the partition; ``ledger`` stays unset if the read was stale."""
        try:
            listing = await self.api.async_list(partition_prefix(self.partition))
        except TransportError as err:
            raise LedgerUnavailableError(
                f"ledger partition {self.partition} could not be read: {err}"
            ) from err
        known_at = self.clock.monotonic()
        ledger, self.orphans = build_ledger(self.partition, listing)
        if ledger.version < self.min_version:
            return
        self.ledger = ledger
        self._set_known_version(ledger.version, known_at)
        self.min_version = ledger.version

    def _set_known_version(self, version: int, now: float) -> None:
        """Remember when a version was first seen; later reads don't change the time."""
        if version != self.known_version:
            self.known_version = version
            self.known_at = now


def build_ledger(partition: int, listing: Listing) -> tuple[Ledger, tuple[int, ...]]:
    """Build the contents of a partition and find orphaned segments.

    Raises
    ------
    LedgerCorruptError
        A referenced segment is missing, or segments exist without a head.
    """
    objects = {item.key: item for item in listing.objects if item.value is not None}
    head_object = objects.pop(head_object_key(partition), None)
    if head_object is None or head_object.value is None:
        if objects:
            raise LedgerCorruptError(
                f"ledger partition {partition} has segments but no head"
            )
        return Ledger(version=0, head=EMPTY_HEAD), ()
    ledger = Ledger(version=head_object.version, head=decode_head(head_object.value))
    for reference in ledger.head.sealed:
        segment = objects.pop(
            segment_object_key(partition, reference.head_version), None
        )
        if segment is None or segment.value is None:
            raise LedgerCorruptError(
                f"ledger partition {partition} lacks segment {reference.head_version}"
            )
        for record in decode_records(segment.value):
            apply_record(ledger.keys, ledger.abandoned_attempts, record)
    for record in ledger.head.records:
        apply_record(ledger.keys, ledger.abandoned_attempts, record)
    head_versions = (int(key.rpartition("/")[2]) for key in objects)
    # A segment of the current head version may belong to a commit in progress.
    return ledger, tuple(
        head_version for head_version in head_versions if head_version < ledger.version
    )


def _may_be_stale(plan: CommitPlan) -> bool:
    """Return whether the plan must be checked against a fresh read.

    A write is conditional on the version that it was planned from. Refusals, and
    plans without new records, are not written and could rest on an outdated
    version.
    """
    if not plan.added:
        return True
    return any(
        result.kind not in (SubmitResultKind.GRANTED, SubmitResultKind.RECORDED)
        for result in plan.results
    )
