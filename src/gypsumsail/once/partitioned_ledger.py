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
from gypsumsail.once.const import OWNER_TIMEOUT_SECONDS, PARTITIONS
from gypsumsail.once.errors import LedgerUnavailableError, PlatformPausedError
from gypsumsail.once.keys import owner_of, partition_of
from gypsumsail.once.ledger import Verdict
from gypsumsail.once.messages import (
    LedgerUnavailableMessage,
    RecordedMessage,
    RecordMessage,
    ReserveMessage,
    VerdictMessage,
)
from gypsumsail.once.records import (
    LedgerEntry,
    Reserved,
    decode_entries,
    encode_entries,
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
    may_be_written
        Whether an unconfirmed write may have taken effect or may still do so.
    """

    entry: Reserved
    outcomes: tuple[LedgerEntry, ...] = ()
    may_be_written: bool = False


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

    async def async_reserve(self, submission: Submission) -> Verdict:
        """Commit a reservation; ``submission.may_be_written`` is kept up to date.

        Raises
        ------
        LedgerUnavailableError
            The commit was not confirmed; the entry may be in the ledger.
        """
        partition = partition_of(submission.entry.key)
        owner = self._owner(partition)
        if owner != self.entry:
            verdict = await self._async_forward(owner, partition, submission)
            if verdict is not None:
                self.forwarded += 1
                return verdict
        self.direct += 1
        return await self._async_reserve_directly(partition, submission)

    async def async_record(
        self, partition: int, entries: Sequence[LedgerEntry]
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
                partition=partition, entries=encode_entries(tuple(entries))
            )
            answer = await self._async_ask(owner, message)
            if isinstance(answer, RecordedMessage):
                return
        await self._committer(partition).async_submit(entries)

    async def async_clean_up(self) -> None:
        """Clean up owned partitions and drop the idle committers of the others."""
        for partition in range(PARTITIONS):
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
            LOGGER.warning("Clean-up of ledger partition %s failed: %s", partition, err)

    async def _async_reserve_directly(
        self, partition: int, submission: Submission
    ) -> Verdict:
        before = submission.may_be_written
        submission.may_be_written = True
        try:
            *_, verdict = await self._committer(partition).async_submit(
                (*submission.outcomes, submission.entry)
            )
        except PlatformPausedError:
            submission.may_be_written = before
            raise
        submission.may_be_written = before
        return verdict

    async def _async_forward(
        self, owner: EntryId, partition: int, submission: Submission
    ) -> Verdict | None:
        entry = submission.entry
        message = ReserveMessage(
            partition=partition,
            key=entry.key,
            attempt=entry.attempt,
            body=entry.body,
            outcomes=encode_entries(submission.outcomes),
        )
        submission.may_be_written = True
        answer = await self._async_ask(owner, message)
        match answer:
            case VerdictMessage():
                submission.may_be_written = False
                return Verdict(
                    kind=answer.kind,
                    run_state=answer.run_state,
                    status=answer.status,
                )
            case LedgerUnavailableMessage():
                submission.may_be_written = answer.may_be_written
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
        entry = Reserved(key=message.key, attempt=message.attempt, body=message.body)
        committer = self._committer(message.partition)
        try:
            outcomes = decode_entries(message.outcomes)
            async with asyncio.timeout(OWNER_TIMEOUT_SECONDS):
                *_, verdict = await committer.async_submit((*outcomes, entry))
        except PlatformPausedError:
            return LedgerUnavailableMessage(may_be_written=False)
        except (LedgerUnavailableError, TimeoutError):
            return LedgerUnavailableMessage(may_be_written=True)
        return VerdictMessage(
            kind=verdict.kind,
            run_state=verdict.run_state,
            status=verdict.status,
        )

    async def _async_handle_record(
        self, _peer: EntryId, message: RecordMessage
    ) -> Message:
        try:
            entries = decode_entries(message.entries)
            await self._committer(message.partition).async_submit(entries)
        except LedgerUnavailableError:
            return LedgerUnavailableMessage(may_be_written=True)
        return RecordedMessage()
