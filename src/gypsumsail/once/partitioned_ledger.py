"""Commits to all ledger partitions, by their owners or directly as a fallback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
import logging

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.port import ObjectApi
from gypsumsail.once.circuit_breaker import PlatformCircuitBreaker
from gypsumsail.once.committer import CommitCounters, GroupCommitter
from gypsumsail.once.const import LEDGER_PARTITIONS, OWNER_TIMEOUT_SECONDS
from gypsumsail.once.errors import LedgerUnavailableError, PlatformPausedError
from gypsumsail.once.keys import owner_of, partition_of
from gypsumsail.once.ledger import SubmitResult
from gypsumsail.once.messages import (
    LedgerUnavailableMessage,
    RecordedMessage,
    RecordMessage,
    ReservationResultMessage,
    ReserveMessage,
)
from gypsumsail.once.records import (
    LedgerRecord,
    Reserved,
    decode_records,
    encode_records,
)
from gypsumsail.peers.port import EntryId, Message, PeerNetwork

LOGGER = logging.getLogger(__name__)


@dataclass(slots=True, kw_only=True)
class Submission:
    """A reservation to be committed.

    Attributes
    ----------
    outcomes
        Outcomes of earlier requests of its partition, to commit in the same batch.
    write_may_take_effect
        Whether an unconfirmed write may have taken effect or may still do so.
    """

    reservation_record: Reserved
    outcomes: tuple[LedgerRecord, ...] = ()
    write_may_take_effect: bool = False


class PartitionedLedger:
    """Client of all ledger partitions, and committer of those that it owns."""

    def __init__(
        self, api: ObjectApi, network: PeerNetwork, clock: Clock, entry: EntryId
    ) -> None:
        self.api = api
        self.network = network
        self.clock = clock
        self.entry = entry
        self.breaker = PlatformCircuitBreaker()
        self.counters = CommitCounters()
        self.committers: dict[int, GroupCommitter] = {}
        self.unsubscribe: list[Callable[[], None]] = []
        self.forwarded = 0
        self.direct = 0

    def setup(self) -> None:
        """Subscribe to the messages of other entries."""
        self.unsubscribe = [
            self.network.subscribe(ReserveMessage, self._async_handle_reserve),
            self.network.subscribe(RecordMessage, self._async_handle_record),
        ]

    async def async_unload(self) -> None:
        """Unsubscribe and stop all committers."""
        for unsubscribe in self.unsubscribe:
            unsubscribe()
        self.unsubscribe = []
        for committer in self.committers.values():
            await committer.async_close()

    async def async_reserve(self, submission: Submission) -> SubmitResult:
        """Commit a reservation.

        Sets ``submission.write_may_take_effect`` to whether an unconfirmed write may
        still take effect or has done so.

        Raises
        ------
        LedgerUnavailableError
            The commit was not confirmed; the record may be in the ledger.
        """
        partition = partition_of(submission.reservation_record.key)
        owner = self._owner(partition)
        if owner != self.entry:
            result = await self._async_forward(owner, partition, submission)
            if result is not None:
                self.forwarded += 1
                return result
        self.direct += 1
        return await self._async_reserve_directly(partition, submission)

    async def async_record(
        self, partition: int, records: Sequence[LedgerRecord]
    ) -> None:
        """Commit outcomes of one partition; this is idempotent.

        Raises
        ------
        LedgerUnavailableError
            The commit was not confirmed; some outcomes may be missing.
        """
        owner = self._owner(partition)
        if owner != self.entry:
            message = RecordMessage(
                partition=partition, entries=encode_records(tuple(records))
            )
            answer = await self._async_ask(owner, message)
            if isinstance(answer, RecordedMessage):
                return
        await self._committer(partition).async_submit(records)

    async def async_clean_up(self) -> None:
        """Clean up owned partitions and drop the idle committers of the others."""
        for partition in range(LEDGER_PARTITIONS):
            if self._owner(partition) == self.entry:
                await self._async_clean_up_partition(partition)
            elif (other := self.committers.get(partition)) and other.idle:
                del self.committers[partition]

    def _owner(self, partition: int) -> EntryId:
        return owner_of(partition, (self.entry, *self.network.peers()))

    def _committer(self, partition: int) -> GroupCommitter:
        committer = self.committers.get(partition)
        if committer is None:
            committer = GroupCommitter(
                self.api, self.clock, partition, self.breaker, self.counters
            )
            self.committers[partition] = committer
        return committer

    async def _async_clean_up_partition(self, partition: int) -> None:
        try:
            await self._committer(partition).async_clean_up()
        except (LedgerUnavailableError, TimeoutError) as err:
            LOGGER.warning("Clean-up of ledger partition %s failed: %r", partition, err)

    async def _async_reserve_directly(
        self, partition: int, submission: Submission
    ) -> SubmitResult:
        before = submission.write_may_take_effect
        submission.write_may_take_effect = True
        try:
            *_, result = await self._committer(partition).async_submit(
                (*submission.outcomes, submission.reservation_record)
            )
        except PlatformPausedError:
            submission.write_may_take_effect = before
            raise
        submission.write_may_take_effect = before
        return result

    async def _async_forward(
        self, owner: EntryId, partition: int, submission: Submission
    ) -> SubmitResult | None:
        record = submission.reservation_record
        message = ReserveMessage(
            partition=partition,
            key=record.key,
            attempt=record.attempt,
            body=record.body,
            outcomes=encode_records(submission.outcomes),
        )
        submission.write_may_take_effect = True
        answer = await self._async_ask(owner, message)
        match answer:
            case ReservationResultMessage():
                submission.write_may_take_effect = False
                return SubmitResult(
                    kind=answer.kind,
                    run_state=answer.run_state,
                    status=answer.status,
                )
            case LedgerUnavailableMessage():
                submission.write_may_take_effect = answer.write_may_take_effect
        return None

    async def _async_ask(self, owner: EntryId, message: Message) -> Message | None:
        try:
            return await self.network.async_request(
                owner, message, timeout=OWNER_TIMEOUT_SECONDS
            )
        except TransportError as err:
            LOGGER.debug("Request to partition owner %s failed: %s", owner.name, err)
            return None

    async def _async_handle_reserve(
        self, _peer: EntryId, message: ReserveMessage
    ) -> Message:
        record = Reserved(key=message.key, attempt=message.attempt, body=message.body)
        committer = self._committer(message.partition)
        try:
            outcomes = decode_records(message.outcomes)
            async with asyncio.timeout(OWNER_TIMEOUT_SECONDS):
                *_, result = await committer.async_submit((*outcomes, record))
        except PlatformPausedError:
            return LedgerUnavailableMessage(write_may_take_effect=False)
        except (LedgerUnavailableError, TimeoutError):
            return LedgerUnavailableMessage(write_may_take_effect=True)
        return ReservationResultMessage(
            kind=result.kind,
            run_state=result.run_state,
            status=result.status,
        )

    async def _async_handle_record(
        self, _peer: EntryId, message: RecordMessage
    ) -> Message:
        try:
            records = decode_records(message.entries)
            await self._committer(message.partition).async_submit(records)
        except LedgerUnavailableError:
            return LedgerUnavailableMessage(write_may_take_effect=True)
        return RecordedMessage()
