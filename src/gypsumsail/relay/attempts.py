"""Runs attempts of a job until its answer is complete or the job fails."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
import logging
from typing import Generic, TypeVar

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import (
    CrashSuspectError,
    NoTargetError,
    OverloadedError,
    RequestError,
    ReservationUnavailableError,
    RunState,
)
from gypsumsail.core.ids import new_id
from gypsumsail.once.models import Outcome, Reservation, may_send
from gypsumsail.relay.const import (
    MAX_SLOT_TARGETS,
    MAX_VERDICT_POLLS,
    REQUEST_FAILED_RETRY_AFTER_SECONDS,
    SLOT_RETRY_SECONDS,
    VERDICT_POLL_SECONDS,
)
from gypsumsail.relay.models import (
    AttemptFailedError,
    Constraints,
    FailureKind,
    GiveUp,
    Retry,
    Selection,
)
from gypsumsail.relay.next_step import next_step, run_state_after
from gypsumsail.relay.port import AtMostOnce, Prober, RetryBudgets, Suspects, Work
from gypsumsail.suspects.models import (
    Busy,
    Clear,
    Convicted,
    Isolate,
    RunOn,
    TargetInstance,
    Verdict,
)
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.port import Recorder

_LOGGER = logging.getLogger(__name__)

_SelectionT = TypeVar("_SelectionT", bound=Selection)


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptDependencies:
    """The components of the entry that attempts depend on.

    Attributes
    ----------
    once
        Records of requests that run at most once, because they may not be repeated.
    """

    suspects: Suspects
    once: AtMostOnce
    budgets: RetryBudgets
    prober: Prober
    recorder: Recorder
    clock: Clock


class AttemptLoop(Generic[_SelectionT]):
    """Runs the attempts of one job.

    Parameters
    ----------
    reservation
        Permission to send a job that may not be repeated; ``None`` for a
        repeatable (idempotent) job.

    Attributes
    ----------
    reservation_used
        Whether the job was sent under the reservation; always ``False`` for a
        repeatable job.
    """

    def __init__(
        self,
        deps: AttemptDependencies,
        work: Work[_SelectionT],
        reservation: Reservation | None,
    ) -> None:
        self.deps = deps
        self.work = work
        self.job = work.job
        self.progress = work.progress
        self.reservation = reservation
        self.reservation_used = False

    async def async_run(self) -> None:
        """Run the job until its answer is complete.

        Raises
        ------
        RequestError
            The job failed; the error carries the job's run state.
        """
        try:
            while not await self._async_run_attempt():
                pass
        except RequestError as error:
            # If an earlier attempt may have run, a later refusal does not undo it.
            if self.progress.run_state is not RunState.NOT_RUN:
                error.run_state = self.progress.run_state
            raise
        finally:
            self._complete_reservation()

    async def _async_run_attempt(self) -> bool:
        """Make one attempt and return whether its answer was complete."""
        attempt_id = new_id()
        try:
            verdict = await self._async_wait_for_verdict(attempt_id)
            selection = await self._async_select(verdict, attempt_id)
        except BaseException:
            await self._async_end(attempt_id, whole=False)
            raise
        if selection is None:
            await self._async_end(attempt_id, whole=False)
            await self._async_wait_for_slot()
            return False
        isolated = isinstance(verdict, Isolate)
        try:
            await self._async_send(selection, attempt_id)
        except AttemptFailedError as failure:
            await self._async_handle_failure(selection, attempt_id, failure, isolated)
            return False
        except BaseException:
            await self._async_end(attempt_id, whole=False)
            raise
        finally:
            if isolated:
                await self.deps.suspects.async_free_slot(selection.vm.vm_id, attempt_id)
        self.progress.run_state = RunState.RAN
        await self._async_end(attempt_id, whole=True)
        return True

    async def _async_wait_for_verdict(self, attempt_id: str) -> Verdict:
        """Wait for a verdict that allows an attempt and return it."""
        for polls_left in reversed(range(MAX_VERDICT_POLLS)):
            verdict = await self._async_begin(attempt_id)
            match verdict:
                case RunOn(target=target) if (
                    polls_left and target in self.progress.excluded
                ):
                    # Another attempt of the same request runs on this target, which
                    # has failed for this job. Wait for the end of that attempt. The
                    # last poll accepts the verdict and another target is selected.
                    await self._async_end(attempt_id, whole=False)
                case Clear() | RunOn() | Isolate():
                    return verdict
                case _:
                    # Unplaced: another attempt of the request has no target yet.
                    pass
            await asyncio.sleep(VERDICT_POLL_SECONDS)
        raise self._overloaded(
            "an identical request was not assigned to a target in time", 1.0
        )

    async def _async_begin(self, attempt_id: str) -> Verdict:
        """Return the current verdict; raise if it refuses the job.

        If the verdict allows the attempt, the attempt is registered until
        `_async_end` or a crash report.
        """
        verdict = await self.deps.suspects.async_begin(self.job.fingerprint, attempt_id)
        match verdict:
            case Convicted(seconds_left=seconds):
                raise CrashSuspectError(
                    "the request crashed the targets that ran it",
                    retry_after=seconds,
                )
            case Busy(retry_after=seconds):
                raise self._overloaded("the same request is already running", seconds)
            case _:
                return verdict

    async def _async_select(
        self, verdict: Verdict, attempt_id: str
    ) -> _SelectionT | None:
        """Return a target, or ``None`` if no suspect slot is free."""
        constraints = Constraints(
            excluded=self.progress.excluded,
            weight_version=self.progress.weight_version,
        )
        match verdict:
            case RunOn(target=target) if target not in self.progress.excluded:
                constraints = Constraints(
                    required_target=target, weight_version=self.progress.weight_version
                )
            case Isolate():
                return await self._async_select_isolated(attempt_id)
            case _:
                pass
        return await self._async_select_preferred(constraints)

    async def _async_select_preferred(self, constraints: Constraints) -> _SelectionT:
        """Return a target; use one that lost several attempts only as a last resort."""
        avoided = self.progress.avoided - {constraints.required_target}
        if avoided:
            narrowed = replace(constraints, excluded=constraints.excluded | avoided)
            try:
                return await self.work.async_select(narrowed)
            except NoTargetError:
                _LOGGER.debug("Only targets that lost several attempts are available")
        return await self.work.async_select(constraints)

    async def _async_select_isolated(self, attempt_id: str) -> _SelectionT | None:
        taken: frozenset[str] = frozenset()
        for _ in range(MAX_SLOT_TARGETS):
            try:
                selection = await self.work.async_select(
                    Constraints(
                        excluded=self.progress.excluded | taken,
                        weight_version=self.progress.weight_version,
                        isolated=True,
                    )
                )
            except NoTargetError:
                if not taken:
                    raise
                return None
            target = selection.vm.vm_id
            if await self.deps.suspects.async_take_slot(target, attempt_id):
                return selection
            taken |= {target}
        return None

    async def _async_wait_for_slot(self) -> None:
        """Wait before the next attempt to get a suspect slot or a new verdict.

        When a target crashes, all requests of its batch become suspects at once,
        and there can be more of them than targets. The verdict on the request that
        caused the crash clears the others.
        """
        left = self.job.deadline_at - self.deps.clock.monotonic()
        if left <= SLOT_RETRY_SECONDS:
            raise self._overloaded(
                "no target has a free slot for a suspect request",
                REQUEST_FAILED_RETRY_AFTER_SECONDS,
            )
        await asyncio.sleep(SLOT_RETRY_SECONDS)

    async def _async_send(self, selection: _SelectionT, attempt_id: str) -> None:
        await self.deps.suspects.async_place(
            self.job.fingerprint, attempt_id, _target_instance(selection)
        )
        self._use_reservation()
        self.progress.attempts += 1
        self._record(
            EventKind.REQUEST_RESUMED
            if self.progress.tokens_sent
            else EventKind.REQUEST_SENT,
            selection,
            f"attempt {attempt_id}",
        )
        try:
            await self.work.async_attempt(selection, attempt_id)
        except asyncio.CancelledError:
            self.progress.run_state = RunState.MAY_HAVE_RUN
            self.work.cancel_attempt(selection, attempt_id)
            self._record(EventKind.REQUEST_CANCELLED, selection, "")
            raise

    def _use_reservation(self) -> None:
        """Raise if the reservation has expired; else record that it was used."""
        if self.reservation is None:
            return
        now = self.deps.clock.monotonic()
        if self.reservation_used:
            in_time = now < self.reservation.valid_until
        else:
            in_time = may_send(self.reservation, now)
        if not in_time:
            raise ReservationUnavailableError(
                "the reservation expired before the request was sent",
                retry_after=REQUEST_FAILED_RETRY_AFTER_SECONDS,
            )
        if not self.reservation_used:
            self.deps.once.sent(self.reservation)
            self.reservation_used = True

    async def _async_handle_failure(
        self,
        selection: Selection,
        attempt_id: str,
        failure: AttemptFailedError,
        isolated: bool,
    ) -> None:
        """Report a failed attempt; raise if the job may not be retried."""
        target = selection.vm.vm_id
        kind = failure.kind
        if kind is FailureKind.LOST and await self.deps.prober.async_has_crashed(
            selection
        ):
            kind = FailureKind.CRASHED
        _LOGGER.info(
            "Attempt %s on target %s failed (%s): %s", attempt_id, target, kind, failure
        )
        self._record(EventKind.TARGET_LOST, selection, f"{kind.value}: {failure}")
        self.progress.run_state = run_state_after(kind, self.progress.run_state)
        if kind is FailureKind.CRASHED:
            await self.deps.suspects.async_crash(
                self.job.fingerprint,
                attempt_id,
                _target_instance(selection),
                isolated=isolated,
            )
        else:
            await self._async_end(attempt_id, whole=False)
        now = self.deps.clock.monotonic()
        step = next_step(
            self.progress,
            kind,
            target,
            repeatable=self.reservation is None,
            budget_allows=self._budget_allows(kind, now),
            seconds_left=self.job.deadline_at - now,
        )
        match step:
            case GiveUp(error=error):
                raise error
            case Retry(excluded=excluded):
                self.progress.excluded = excluded
        if kind is FailureKind.LOST:
            self.progress.record_loss(target)

    def _budget_allows(self, kind: FailureKind, now: float) -> bool:
        """Return whether the retry budget allows a retry.

        Retries after ``NOT_SENT`` and ``CRASHED`` are not charged: the failed target
        does not work on the request, so a retry adds no load. Retries after ``LOST``
        and ``REFUSED`` are charged, the latter although nothing was run, because
        retries must not amplify an outage. The number of attempts of each job is
        limited in any case.
        """
        if kind in (FailureKind.NOT_SENT, FailureKind.CRASHED):
            return True
        return self.deps.budgets.try_spend(self.job.route_match.service, now)

    async def _async_end(self, attempt_id: str, *, whole: bool) -> None:
        await self.deps.suspects.async_end(
            self.job.fingerprint, attempt_id, whole=whole
        )

    def _complete_reservation(self) -> None:
        """Record the outcome of the reservation; called once per reservation."""
        if self.reservation is None:
            return
        now = self.deps.clock.monotonic()
        if self.reservation_used:
            outcome = Outcome(run_state=self.progress.run_state)
            self.deps.once.ended(self.reservation, outcome, now)
        else:
            self.deps.once.abandoned(self.reservation, now)

    def _overloaded(self, message: str, retry_after: float) -> OverloadedError:
        return OverloadedError(message, retry_after=retry_after)

    def _record(self, kind: EventKind, selection: Selection, detail: str) -> None:
        route_match = self.job.route_match
        self.deps.recorder.record(
            Event(
                kind=kind,
                request_id=self.job.request_id,
                customer=route_match.customer.name,
                service=route_match.service,
                target=selection.vm.vm_id,
                version=route_match.document.version,
                detail=detail,
            )
        )


def _target_instance(selection: Selection) -> TargetInstance:
    return TargetInstance(target=selection.vm.vm_id, incarnation=selection.incarnation)
