"""A send of a call and, if it is slow, a second one at another target."""

from __future__ import annotations

import asyncio
from functools import partial

from gypsumsail.core.callback import callback
from gypsumsail.gateway.const import DURATION_SMOOTHING
from gypsumsail.gateway.job import Job
from gypsumsail.gateway.job_send import JobSend
from gypsumsail.gateway.outcomes import SendOutcome
from gypsumsail.hedging.decisions import better_founded, obstacle
from gypsumsail.hedging.models import HedgeEnd, Withheld
from gypsumsail.hedging.port import SendPort
from gypsumsail.hedging.racing_reply import RacingReply
from gypsumsail.hedging.route_hedges import RouteHedges
from gypsumsail.hedging.silent_targets import SilentTargets
from gypsumsail.hedging.telemetry import HedgeTelemetry


class Race:
    """The sends of one call until its answer is complete or all have failed.

    The send whose answer begins first is the winner: by its head for a plain call, by
    its first event for a stream. The other one is cancelled at that moment, and nothing
    of an answer reaches the caller before it.

    Attributes
    ----------
    reply
        Reply to the caller.
    tasks
        Task of each send, the first one first.
    winner
        Send whose answer the caller gets; ``None`` until it has begun.
    is_hedge_ended
        Whether the end of the second send was recorded.
    """

    def __init__(
        self,
        port: SendPort,
        route: RouteHedges,
        silent: SilentTargets,
        telemetry: HedgeTelemetry,
        first: JobSend,
    ) -> None:
        self.port = port
        self.route = route
        self.silent = silent
        self.telemetry = telemetry
        self.first = first
        self.reply = first.reply
        self.second: JobSend | None = None
        self.tasks: dict[JobSend, asyncio.Task[SendOutcome]] = {}
        self.winner: JobSend | None = None
        self.is_hedge_ended = False

    async def async_run(self) -> SendOutcome:
        """Run the sends and return the outcome of the call."""
        self._enter(self.first)
        self._start(self.first)
        try:
            await self._async_hedge()
            await asyncio.wait(self.tasks.values())
        finally:
            await self._async_end()
        if self.winner is not None:
            return self.tasks[self.winner].result()
        return better_founded([task.result() for task in self.tasks.values()])

    def _enter(self, send: JobSend) -> None:
        claim = partial(self._claim, send)
        send.reply = RacingReply(self.reply, claim)
        send.on_answer = claim

    def _start(self, send: JobSend) -> None:
        self.tasks[send] = asyncio.create_task(self.port.async_run(send))

    async def _async_hedge(self) -> None:
        """Send the call a second time if the first send is slow."""
        threshold = self.route.times.threshold(self.port.clock.monotonic())
        if threshold is None:
            self._withhold(Withheld.FEW_SAMPLES)
            return
        due_at = self.first.sent_at + threshold
        task = self.tasks[self.first]
        await asyncio.wait({task}, timeout=due_at - self.port.clock.monotonic())
        if task.done() or self.winner is not None:
            return
        now = self.port.clock.monotonic()
        state = self.first.state
        reason = obstacle(
            self.port.facts(self.first, now),
            self.route,
            is_silent=self.silent.is_silent(_life(self.first), state.progress_at),
            delay=now - due_at,
            now=now,
        )
        if reason is not None:
            self._withhold(reason)
            return
        second = self.port.place_second(self.first, now)
        if second is None:
            self._withhold(Withheld.NO_ROOM)
            return
        self._enter(second)
        self.second = second
        self.route.count_hedge()
        # The first send may not use the target of the second one either.
        self.first.job.targets_used += 1
        self._start(second)
        self.tasks[second].add_done_callback(self._on_second_done)
        self.telemetry.sent(self.first, second, threshold, now)

    def _withhold(self, reason: Withheld) -> None:
        self.telemetry.withheld(self.first.job.route.name, reason)

    @callback
    def _claim(self, send: JobSend) -> bool:
        """Return whether the caller gets the answer of a send, which has begun."""
        if self.winner is not None:
            return self.winner is send
        self.winner = send
        now = self.port.clock.monotonic()
        # If the second send has won, the first one would have taken longer still.
        self.route.times.observe(now - self.first.sent_at, now)
        if self.second is None:
            return True
        is_win = send is self.second
        self._end_hedge(HedgeEnd.WON if is_win else HedgeEnd.LOST, now)
        loser = self.first if is_win else self.second
        if not self.tasks[loser].done():
            if is_win:
                self._record_slow_target(now)
            loser.is_lost = True
            self.tasks[loser].cancel()
            self.port.drop(loser)
        if is_win:
            self.first.job.assignment = self.second.assignment
        return True

    def _record_slow_target(self, now: float) -> None:
        """Record that the target of the first send has taken long without an answer."""
        state = self.first.state
        self.silent.record_loss(
            _life(self.first),
            sent_at=self.first.sent_at,
            progress_at=state.progress_at,
            now=now,
        )
        # Without these times, a slow target whose calls others answer seems fast.
        excess = now - self.first.sent_at - state.usual_seconds
        state.usual_seconds += DURATION_SMOOTHING * max(excess, 0.0)

    def _on_second_done(self, task: asyncio.Task[SendOutcome]) -> None:
        if not task.cancelled() and self.winner is not self.second:
            self._end_hedge(HedgeEnd.FAILED, self.port.clock.monotonic())

    def _end_hedge(self, end: HedgeEnd, now: float) -> None:
        if self.second is None or self.is_hedge_ended:
            return
        self.is_hedge_ended = True
        self.telemetry.ended(self.second, end, now)
        if end is HedgeEnd.CANCELLED:
            return
        if self.route.record_result(is_win=end is HedgeEnd.WON, now=now):
            self.telemetry.withdrawn(self.first.job.route.name)

    async def _async_end(self) -> None:
        """End the sends that still run, as the caller has left, and merge the jobs."""
        running = [task for task in self.tasks.values() if not task.done()]
        for task in running:
            task.cancel()
        if running:
            await asyncio.wait(running)
        second = self.second
        if second is None:
            return
        self._end_hedge(HedgeEnd.CANCELLED, self.port.clock.monotonic())
        merge_second(self.first.job, second, is_winner=self.winner is second)
        second.job.release()


def merge_second(job: Job, second: JobSend, *, is_winner: bool) -> None:
    """Take over into a job what became of its second send, which has ended.

    The job has counted the target of the second send already.
    """
    found = second.job
    job.targets_used += found.targets_used - second.targets_used_before - 1
    job.may_have_run = job.may_have_run or found.may_have_run
    if not is_winner:
        job.is_event_cut = job.is_event_cut or found.is_event_cut
        return
    job.is_event_cut = found.is_event_cut
    job.resume_after = found.resume_after
    job.weight_version = found.weight_version
    job.build = found.build
    job.first_at = found.first_at
    job.connection = found.connection


def _life(send: JobSend) -> tuple[str, int]:
    entry = send.state.entry
    return entry.name, entry.life
