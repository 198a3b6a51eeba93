"""Coordinator of at-most-once execution."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
import logging
import random
from typing import Any

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import RunState
from gypsumsail.core.ids import new_id
from gypsumsail.object_api.port import ObjectApi
from gypsumsail.once.const import (
    CLEANUP_INTERVAL_SECONDS,
    OUTCOME_FLUSH_INTERVAL_SECONDS,
    RESERVE_TIMEOUT_SECONDS,
    SEND_WINDOW_SECONDS,
    UNLOAD_TIMEOUT_SECONDS,
)
from gypsumsail.once.errors import LedgerUnavailableError, ReservationStateError
from gypsumsail.once.keys import key_digest, partition_of
from gypsumsail.once.ledger import SubmitResult, SubmitResultKind
from gypsumsail.once.models import (
    AtMostOnceRequest,
    Outcome,
    Reservation,
    ReservationState,
)
from gypsumsail.once.outcomes import OutcomeQueue, ledger_records
from gypsumsail.once.partitioned_ledger import PartitionedLedger, Submission
from gypsumsail.once.records import Abandoned, Ended, Reserved
from gypsumsail.once.refusals import refusal_error, unavailable_error
from gypsumsail.peers.port import EntryId, PeerNetwork
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.port import Recorder

LOGGER = logging.getLogger(__name__)


class AtMostOnceCoordinator:
    """Reserves requests before they are sent and records their outcomes."""

    def __init__(
        self,
        api: ObjectApi,
        network: PeerNetwork,
        recorder: Recorder,
        clock: Clock,
        entry: EntryId,
        *,
        rng: random.Random | None = None,
    ) -> None:
        self.recorder = recorder
        self.ledger = PartitionedLedger(api, network, clock, entry)
        self.outcomes = OutcomeQueue(self.ledger)
        self.rng = rng if rng is not None else random.Random()
        self.tasks: list[asyncio.Task[None]] = []

    async def async_setup(self) -> None:
        """Subscribe to other entries' messages and start the background tasks."""
        self.ledger.setup()
        self.tasks = [
            asyncio.create_task(
                _async_repeat(self.outcomes.async_flush, OUTCOME_FLUSH_INTERVAL_SECONDS)
            ),
            asyncio.create_task(
                _async_repeat(self.ledger.async_clean_up, CLEANUP_INTERVAL_SECONDS)
            ),
        ]

    async def async_unload(self) -> None:
        """Record the pending outcomes, then stop."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks = []
        with suppress(TimeoutError):
            async with asyncio.timeout(UNLOAD_TIMEOUT_SECONDS):
                await self.outcomes.async_flush()
        await self.ledger.async_unload()

    async def async_reserve(
        self, request: AtMostOnceRequest, now: float
    ) -> Reservation:
        """Reserve the right to send a request once.

        A request without an idempotency key needs no write: the reservation is
        local to this entry, which sends the request at most once.

        Parameters
        ----------
        now
            Monotonic time before the reservation, in seconds; the send window
            starts at it.

        Raises
        ------
        DuplicateRequestError
            The key is in use or was used; ``run_state`` is that of the first
            run. ``KeyReusedError`` is raised if the request differs.
        ReservationUnavailableError
            The reservation could not be confirmed; the request is not run.
        """
        reservation = Reservation(
            request=request,
            attempt_id=new_id(),
            valid_until=now + SEND_WINDOW_SECONDS,
        )
        if request.key is None:
            return reservation
        submission = Submission(reservation_record=_reserved(reservation))
        try:
            result = await self._async_submit(submission)
        except (LedgerUnavailableError, TimeoutError) as err:
            self._abandon_ungranted(reservation, submission, now)
            raise unavailable_error(
                f"reservation could not be written to the ledger: {err}", self.rng
            ) from err
        except BaseException:
            self._abandon_ungranted(reservation, submission, now)
            raise
        if result.kind is not SubmitResultKind.GRANTED:
            self._abandon_ungranted(reservation, submission, now)
            raise refusal_error(result, self.rng)
        self._record(EventKind.RESERVED, reservation, "")
        return reservation

    @callback
    def sent(self, reservation: Reservation) -> None:
        """Mark the request as sent.

        Call this after ``may_send`` and before the first byte is written,
        without an ``await`` in between.

        Raises
        ------
        ReservationStateError
            The reservation was already sent, ended or abandoned.
        """
        if reservation.state is not ReservationState.HELD:
            raise ReservationStateError(
                f"reservation can't be sent in state {reservation.state}"
            )
        reservation.state = ReservationState.SENT

    @callback
    def ended(self, reservation: Reservation, outcome: Outcome, now: float) -> None:
        """Queue the outcome of a sent request for a later commit.

        Raises
        ------
        ReservationStateError
            The request was not sent, or its outcome was already given.
        """
        if reservation.state is not ReservationState.SENT:
            raise ReservationStateError(
                f"reservation can't end in state {reservation.state}"
            )
        reservation.state = ReservationState.ENDED
        self._record(EventKind.RESERVATION_ENDED, reservation, outcome.run_state.value)
        digest = _digest(reservation.request)
        if digest is None:
            return
        attempt = bytes.fromhex(reservation.attempt_id)
        if outcome.run_state is RunState.NOT_RUN:
            self.outcomes.add(Abandoned(key=digest, attempt=attempt), now)
            return
        record = Ended(
            key=digest,
            attempt=attempt,
            run_state=outcome.run_state,
            status=outcome.status,
        )
        self.outcomes.add(record, now)

    @callback
    def abandoned(self, reservation: Reservation, now: float) -> None:
        """Mark the reservation as abandoned; this attempt will never run the request.

        Raises
        ------
        ReservationStateError
            The request was already sent.
        """
        if reservation.state is not ReservationState.HELD:
            raise ReservationStateError(
                f"reservation can't be abandoned in state {reservation.state}"
            )
        reservation.state = ReservationState.ABANDONED
        self._record(EventKind.RESERVATION_ENDED, reservation, "abandoned")
        digest = _digest(reservation.request)
        if digest is None:
            return
        attempt = bytes.fromhex(reservation.attempt_id)
        self.outcomes.add(Abandoned(key=digest, attempt=attempt), now)

    async def _async_submit(self, submission: Submission) -> SubmitResult:
        """Commit a reservation together with pending outcomes of its partition."""
        partition = partition_of(submission.reservation_record.key)
        dequeued = self.outcomes.dequeue(partition)
        submission.outcomes = ledger_records(dequeued)
        try:
            async with asyncio.timeout(RESERVE_TIMEOUT_SECONDS):
                return await self.ledger.async_reserve(submission)
        except BaseException:
            self.outcomes.requeue(partition, dequeued)
            raise

    def _abandon_ungranted(
        self, reservation: Reservation, submission: Submission, now: float
    ) -> None:
        """Abandon a reservation that was not granted.

        If its write may still take effect, an abandonment is recorded, so that it
        does not block later requests with the same key.
        """
        if submission.write_may_take_effect:
            self.abandoned(reservation, now)
            return
        reservation.state = ReservationState.ABANDONED

    def _record(self, kind: EventKind, reservation: Reservation, detail: str) -> None:
        request = reservation.request
        self.recorder.record(
            Event(
                kind=kind,
                request_id=request.request_id,
                customer=request.customer,
                service=request.service,
                detail=f"{reservation.attempt_id} {detail}".rstrip(),
            )
        )


def _digest(request: AtMostOnceRequest) -> bytes | None:
    if request.key is None:
        return None
    return key_digest(request.customer, request.service, request.key)


def _reserved(reservation: Reservation) -> Reserved:
    request = reservation.request
    digest = _digest(request)
    assert digest is not None
    return Reserved(
        key=digest,
        attempt=bytes.fromhex(reservation.attempt_id),
        body=request.body_digest,
    )


async def _async_repeat(
    action: Callable[[], Coroutine[Any, Any, None]], interval: float
) -> None:
    while True:
        await asyncio.sleep(interval)
        try:
            await action()
        except Exception:
            LOGGER.exception("Unexpected error in a background task of the ledger")
