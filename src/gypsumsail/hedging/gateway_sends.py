"""Second sends by the gateway, through its placer, budgets and records."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from gypsumsail.core.callback import callback
from gypsumsail.gateway.coordinator import Gateway
from gypsumsail.gateway.job_send import JobSend
from gypsumsail.gateway.outcomes import SendOutcome
from gypsumsail.gateway.placement import Placed
from gypsumsail.hedging.models import HedgeFacts


class GatewaySends:
    """Places and runs the sends of one gateway."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.clock = gateway.clock

    @callback
    def facts(self, first: JobSend, now: float) -> HedgeFacts:
        """Return the facts on a call whose first send is in progress."""
        gateway, job = self.gateway, first.job
        return HedgeFacts(
            # A first send that is still connecting will use its target as well.
            targets_used=max(job.targets_used, first.targets_used_before + 1),
            max_targets=job.route.max_targets,
            queued_calls=len(gateway.queues[job.service].entries),
            has_budget=gateway.budgets[job.service].allows_hedge(
                gateway.settings.retry_limit, gateway.view.vms(), now
            ),
            is_suspect=gateway.crash_suspects.crashes(job.fingerprint) > 0
            or gateway.part_suspects.stops_retries(job.shared_parts),
            time_left=job.answer_needed_by() - now,
            work_seconds=job.work_seconds,
        )

    @callback
    def place_second(self, first: JobSend, now: float) -> JobSend | None:
        """Place a call on another target with room, and count the send.

        The second send has a job of its own, since its target, progress and outcome
        differ from those of the first. It is not forwarded to another VM.
        """
        gateway = self.gateway
        gateway.last_number += 1
        job = replace(
            first.job,
            number=gateway.last_number,
            assignment=None,
            targets_used=max(first.job.targets_used, first.targets_used_before + 1),
            may_have_run=False,
            is_forwarded=True,
            connection=None,
            placed_at=now,
        )
        gateway.jobs[job.number] = job
        try:
            placed = gateway.queues[job.service].placer.place(job.number, now)
        finally:
            del gateway.jobs[job.number]
        if not isinstance(placed, Placed):
            return None
        assert job.assignment is not None
        gateway.budgets[job.service].count_hedge(now)
        return JobSend(gateway, job, job.assignment, first.reply)

    async def async_run(self, send: JobSend) -> SendOutcome:
        """Run a send and record its outcome."""
        return await self.gateway.async_run_send(send)

    @callback
    def drop(self, send: JobSend) -> None:
        """Remove a send that was cancelled from the calls at its target."""
        send.job.release()
        service = send.job.service
        self.gateway.telemetry.sends.labels(service, "Cancelled").increment()
        loop = asyncio.get_running_loop()
        loop.call_soon(self.gateway.queues[service].dispatch)
