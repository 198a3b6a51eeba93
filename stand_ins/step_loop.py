"""Loop that executes the steps of an engine."""

from __future__ import annotations

import asyncio

from stand_ins.batch import Batch, Run
from stand_ins.content import answer_seed, block_value, root_value
from stand_ins.faults import Faults, crash_process
from stand_ins.prefix_cache import PrefixCache


class StepLoop:
    """Executes the prefill and decode steps of an engine's batch.

    Attributes
    ----------
    wake
        Event that is set when a request becomes ready.
    runs_by_id
        Number of executions of each request id.
    """

    def __init__(self, batch: Batch, cache: PrefixCache, faults: Faults) -> None:
        self.batch = batch
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
            self.batch.admit()
            if not self.batch.admitted:
                self.wake.clear()
                await self.wait_for_work()
                continue
            plan = self.batch.plan_prefill()
            self.start_runs(plan)
            decoding = [run for run in self.batch.admitted if run.answer_seed]
            prefilled = sum(tokens for _, tokens in plan)
            await asyncio.sleep(self.batch.costs.duration(prefilled))
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
        for run in list(self.batch.runs.values()):
            if run.expires_at <= now:
                run.emit_error("deadline")
                self.batch.remove(run)

    def start_runs(self, plan: list[tuple[Run, int]]) -> None:
        """Mark the requests that a step includes for the first time.

        A prompt with the marker of the fault ``crash_on`` crashes the engine.
        """
        marker = self.faults.value("crash_on", "marker", None)
        for run, _ in plan:
            if run.started:
                continue
            run.started = True
            self.runs_by_id[run.request_id] = self.runs_by_id.get(run.request_id, 0) + 1
            if marker is not None and marker.encode() in run.prompt:
                crash_process()

    def finish_step(self, plan: list[tuple[Run, int]], decoding: list[Run]) -> None:
        """Apply the results of a step."""
        for run, tokens in plan:
            run.remaining_tokens -= tokens
            if not run.remaining_tokens:
                self.finish_prefill(run)
        for run in decoding:
            self.decode(run)

    def finish_prefill(self, run: Run) -> None:
        """Compute the values of the missing blocks and send the first token."""
        known_blocks = len(run.values)
        previous = run.values[-1] if run.values else None
        if previous is None:
            previous = root_value(run.cache_salt, run.weight_version)
        for block in run.blocks[known_blocks:]:
            previous = block_value(previous, run.weight_version, block)
            run.values.append(previous)
        run.answer_seed = answer_seed(
            previous, run.remainder, run.model, run.adapter, run.weight_version
        )
        self.cache.store(
            run.hashes[known_blocks:], run.values[known_blocks:], self.now()
        )
        self.counts["prompt_tokens"] += run.prompt_tokens
        self.counts["cached_tokens"] += run.cached_tokens
        self.counts["imported_tokens"] += run.imported_tokens
        computed = run.prompt_tokens - run.cached_tokens - run.imported_tokens
        self.counts["computed_tokens"] += computed
        self.decode(run)

    def decode(self, run: Run) -> None:
        """Send the next token of a request, and the end event after the last token."""
        if run.request_id not in self.batch.runs:
            return
        if run.next_token_index < run.length:
            run.emit_token()
            self.counts["answer_tokens"] += 1
        if run.next_token_index >= run.length:
            run.emit_end()
            self.counts["finished"] += 1
            self.batch.remove(run)
