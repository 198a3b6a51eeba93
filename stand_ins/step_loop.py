"""Loop that executes the steps of an engine."""

from __future__ import annotations

import asyncio

from stand_ins.content import answer_seed, block_value, root_value
from stand_ins.faults import Faults, crash_process
from stand_ins.prefix_cache import PrefixCache
from stand_ins.scheduler import ScheduledRequest, Scheduler


class StepLoop:
    """Executes the prefill and decode steps of an engine's batch.

    Attributes
    ----------
    wake
        Event that is set when a request becomes ready.
    runs_by_id
        Number of executions of each request id.
    """

    def __init__(
        self, scheduler: Scheduler, cache: PrefixCache, faults: Faults
    ) -> None:
        self.scheduler = scheduler
        self.cache = cache
        self.faults = faults
        self.wake = asyncio.Event()
        self.runs_by_id: dict[str, int] = {}
        self.counts = dict.fromkeys(
            (
                "finished",
                "steps",
                "prompt_tokens",
                "cached_tokens",
                "imported_tokens",
                "computed_tokens",
                "answer_tokens",
            ),
            0,
        )

    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    async def run_forever(self) -> None:
        """Execute steps while the batch has requests; wait otherwise."""
        while True:
            self.expire()
            self.scheduler.admit()
            if not self.scheduler.admitted:
                self.wake.clear()
                await self.wait_for_work()
                continue
            plan = self.scheduler.plan_prefill()
            self.mark_started(plan)
            decoding = [
                request for request in self.scheduler.admitted if request.answer_seed
            ]
            prefilled = sum(tokens for _, tokens in plan)
            await asyncio.sleep(self.scheduler.costs.duration(prefilled))
            self.counts["steps"] += 1
            self.finish_step(plan, decoding)

    async def wait_for_work(self) -> None:
        """Wait until a request is ready, at most 1 s so that deadlines are checked."""
        try:
            async with asyncio.timeout(1.0):
                await self.wake.wait()
        except TimeoutError:
            return

    def expire(self) -> None:
        """End the requests whose deadline has passed with an error."""
        now = self.now()
        for request in list(self.scheduler.requests.values()):
            if request.expires_at <= now:
                request.emit_error("deadline")
                self.scheduler.remove(request)

    def mark_started(self, plan: list[tuple[ScheduledRequest, int]]) -> None:
        """Mark the requests that a step includes for the first time.

        A prompt with the marker of the fault ``crash_on`` crashes the engine.
        """
        marker = self.faults.value("crash_on", "marker", None)
        for request, _ in plan:
            if request.started:
                continue
            request.started = True
            self.runs_by_id[request.request_id] = (
                self.runs_by_id.get(request.request_id, 0) + 1
            )
            if marker is not None and marker.encode() in request.prompt:
                crash_process()

    def finish_step(
        self, plan: list[tuple[ScheduledRequest, int]], decoding: list[ScheduledRequest]
    ) -> None:
        """Apply the results of a step."""
        for request, tokens in plan:
            request.remaining_tokens -= tokens
            if not request.remaining_tokens:
                self.finish_prefill(request)
        for request in decoding:
            self.decode(request)

    def finish_prefill(self, request: ScheduledRequest) -> None:
        """Compute the values of the missing blocks and send the first token."""
        known_blocks = len(request.values)
        previous = request.values[-1] if request.values else None
        if previous is None:
            previous = root_value(request.cache_salt, request.weight_version)
        for block in request.blocks[known_blocks:]:
            previous = block_value(previous, request.weight_version, block)
            request.values.append(previous)
        request.answer_seed = answer_seed(
            previous,
            request.remainder,
            request.model,
            request.adapter,
            request.weight_version,
        )
        self.cache.store(
            request.hashes[known_blocks:], request.values[known_blocks:], self.now()
        )
        self.counts["prompt_tokens"] += request.prompt_tokens
        self.counts["cached_tokens"] += request.cached_tokens
        self.counts["imported_tokens"] += request.imported_tokens
        computed = (
            request.prompt_tokens - request.cached_tokens - request.imported_tokens
        )
        self.counts["computed_tokens"] += computed
        self.decode(request)

    def decode(self, request: ScheduledRequest) -> None:
        """Send the next token of a request, and the end event after the last token."""
        if request.request_id not in self.scheduler.requests:
            return
        if request.next_token_index < request.length:
            request.emit_token()
            self.counts["answer_tokens"] += 1
        if request.next_token_index >= request.length:
            request.emit_end()
            self.counts["finished"] += 1
            self.scheduler.remove(request)
