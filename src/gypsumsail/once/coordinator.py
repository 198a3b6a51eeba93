"""Coordinator of requests that run at most once."""

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
    OUTCOME_INTERVAL_SECONDS,
    RESERVE_TIMEOUT_SECONDS,
    SEND_WINDOW_SECONDS,
    UNLOAD_TIMEOUT_SECONDS,
)
from gypsumsail.once.errors import LedgerUnavailableError, ReservationStateError
from gypsumsail.once.keys import key_digest, partition_of
from gypsumsail.once.ledger import Verdict, VerdictKind
from gypsumsail.once.models import (
    AtMostOnceRequest,
    Outcome,
    Reservation,
    ReservationState,
)
from gypsumsail.once.outcomes import OutcomeQueue, ledger_entries
from gypsumsail.once.partitioned_ledger import PartitionedLedger, Submission
from gypsumsail.once.records import Abandoned, Ended, Reserved
from gypsumsail.once.refusals import refusal_error, unavailable_error
from gypsumsail.peers.port import EntryId, PeerNetwork
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.port import Recorder

LOGGER = logging.getLogger(__name__)


class AtMostOnceCoordinator:
    """Reserves requests before they are sent and records how they ended."""

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
        """Start answering other entries, recording outcomes and cleaning up."""
        self.ledger.setup()
        self.tasks = [
            asyncio.create_task(
                _async_repeat(self.outcomes.async_flush, OUTCOME_INTERVAL_SECONDS)
            ),
            asyncio.create_task(
                _async_repeat(self.ledger.async_clean_up, CLEANUP_INTERVAL_SECONDS)
            ),
        ]

    async def async_unload(self) -> None:
        """Record the outcomes that wait, then stop."""
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

        A request without a key needs no write: its reservation holds in this
        entry only, which sends it once at most.

        Parameters
        ----------
        now
            Monotonic time before the reservation; the right to send counts
            from it.

        Raises
        ------
        DuplicateRequestError
            The key is in use or was used; ``run_state`` is that of the first
            run. With another body it is a ``KeyReusedError``.
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
        submission = Submission(entry=_reserved(reservation))
        try:
            verdict = await self._async_submit(submission)
        except (LedgerUnavailableError, TimeoutError) as err:
            self._abandon_ungranted(reservation, submission, now)
            raise unavailable_error(
                f"the ledger could not be written: {err}", self.rng
            ) from err
        except BaseException:
            self._abandon_ungranted(reservation, submission, now)
            raise
        if verdict.kind is not VerdictKind.GRANTED:
            self._abandon_ungranted(reservation, submission, now)
            raise refusal_error(verdict, self.rng)
        self._record(EventKind.RESERVED, reservation, "")
        return reservation

    @callback
    def sent(self, reservation: Reservation) -> None:
        """Note that the request is sent.

        Call it right after ``may_send`` and before the first byte leaves,
        without awaiting anything in between.

        Raises
        ------
        ReservationStateError
            The request was sent, ended or abandoned before.
        """
        if reservation.state is not ReservationState.HELD:
            raise ReservationStateError(
                f"a reservation that is {reservation.state} may not be sent"
            )
        reservation.state = ReservationState.SENT

    @callback
    def ended(self, reservation: Reservation, outcome: Outcome, now: float) -> None:
        """Note how a sent request ended; it is recorded with a later commit.

        Raises
        ------
        ReservationStateError
            The request was not sent, or has ended before.
        """
        if reservation.state is not ReservationState.SENT:
            raise ReservationStateError(
                f"a reservation that is {reservation.state} can't end"
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
        entry = Ended(
            key=digest,
            attempt=attempt,
            run_state=outcome.run_state,
            status=outcome.status,
        )
        self.outcomes.add(entry, now)

    @callback
    def abandoned(self, reservation: Reservation, now: float) -> None:
        """Note that the request is not run and never will be under this attempt.

        Raises
        ------
        ReservationStateError
            The request was sent.
        """
        if reservation.state is not ReservationState.HELD:
            raise ReservationStateError(
                f"a reservation that is {reservation.state} can't be abandoned"
            )
        reservation.state = ReservationState.ABANDONED
        self._record(EventKind.RESERVATION_ENDED, reservation, "abandoned")
        digest = _digest(reservation.request)
        if digest is None:
            return
        attempt = bytes.fromhex(reservation.attempt_id)
        self.outcomes.add(Abandoned(key=digest, attempt=attempt), now)

    async def _async_submit(self, submission: Submission) -> Verdict:
        """Commit a reservation and, along with it, outcomes of its partition."""
        partition = partition_of(submission.entry.key)
        taken = self.outcomes.dequeue(partition)
        submission.outcomes = ledger_entries(taken)
        try:
            async with asyncio.timeout(RESERVE_TIMEOUT_SECONDS):
                return await self.ledger.async_reserve(submission)
        except BaseException:
            self.outcomes.requeue(partition, taken)
            raise

    def _abandon_ungranted(
        self, reservation: Reservation, submission: Submission, now: float
    ) -> None:
        """End a reservation that was not granted; mark what may yet be written."""
        if submission.may_be_written:
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
            LOGGER.exception("Recurring work on the ledger failed")
