"""Stand-in of an inference engine."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
import itertools
import json
from typing import Any, Final
import uuid

import click

from stand_ins.asgi import (
    AbortResponseError,
    App,
    HttpError,
    Request,
    Response,
    json_response,
)
from stand_ins.content import (
    BLOCK_TOKENS,
    block_hashes,
    natural_length,
    split_blocks,
    token_count,
)
from stand_ins.faults import Faults
from stand_ins.prefix_cache import PrefixCache
from stand_ins.scheduler import ScheduledRequest, Scheduler, StepCosts
from stand_ins.serving import serve
from stand_ins.step_loop import StepLoop
from stand_ins.transfers import BLOCK_TRANSFER_BYTES, Transfers
from stand_ins.weights import LoadedModel, OldFenceError, Weights

EVENT_POLL_SECONDS: Final = 0.02
# Token whose event gets the id of another request under the fault ``cross_answers``.
MISLABELED_TOKEN_INDEX: Final = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSettings:
    """Settings of an engine.

    Attributes
    ----------
    role
        ``serve``, or another role in which the engine refuses requests.
    checks_fence
        Whether the engine rejects orders with an outdated fencing token.
    platform_url
        Platform whose weight store sets the loading time; empty loads at once.
    weight_bytes
        Size of the weights of each model version.
    load_lag
        Seconds between two samples of the load, thus the maximum age of a report.
    event_delay
        Seconds until a cache event becomes visible.
    import_timeout
        Seconds after which the engine computes the blocks not yet imported.
    """

    role: str
    models: list[LoadedModel]
    checks_fence: bool
    platform_url: str
    weight_bytes: int
    cache_tokens: int
    batch_limit: int
    queue_limit: int
    load_lag: float
    event_delay: float
    import_timeout: float
    costs: StepCosts


class Engine:
    """State of the engine and the handlers of its HTTP API."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = Faults()
        self.incarnation = uuid.uuid4().hex
        self.transfers = Transfers(
            platform_url=settings.platform_url, weight_bytes=settings.weight_bytes
        )
        self.weights = Weights(
            role=settings.role,
            models=settings.models,
            checks_fence=settings.checks_fence,
            fetch=self.transfers.fetch_weights,
        )
        self.cache = PrefixCache(
            capacity_tokens=settings.cache_tokens,
            event_delay=settings.event_delay,
            faults=self.faults,
        )
        self.scheduler = Scheduler(
            limit=settings.batch_limit,
            queue_limit=settings.queue_limit,
            costs=settings.costs,
        )
        self.arrivals = itertools.count()
        self.step_loop = StepLoop(self.scheduler, self.cache, self.faults)
        self.tasks: set[asyncio.Task[None]] = set()
        self.reported_load: dict[str, Any] = {}
        self.reported_at = 0.0
        self.counts = {"cancelled": 0, "exported_bytes": 0}

    def counters(self) -> dict[str, Any]:
        """Return the counters that ``GET /control`` lists."""
        return {
            **self.counts,
            **self.step_loop.counts,
            "orders": self.weights.orders,
            "running": sorted(self.scheduler.requests),
            "runs_by_id": self.step_loop.runs_by_id,
        }

    def app(self) -> App:
        """Return the ASGI application with all routes."""
        app = App(self.faults, self.counters)
        app.startup_hooks.append(self.start)
        app.shutdown_hooks.append(self.stop)
        app.add("POST", "/control", self.change_control)
        # The first matching route wins, and App has already added POST /control.
        app.routes.insert(0, app.routes.pop())
        app.add("POST", "/v1/completions", self.complete)
        app.add("POST", "/v1/cancel", self.cancel)
        app.add("GET", "/load", self.load)
        app.add("GET", "/cache/events", self.cache_events)
        app.add("GET", "/cache/contents", self.cache_contents)
        app.add("POST", "/cache/export", self.export)
        app.add("GET", "/state", self.state)
        app.add("POST", "/state", self.set_state)
        return app

    async def start(self) -> None:
        """Start the step loop and the sampling of the load."""
        self.sample_load()
        for coroutine in (self.step_loop.run_forever(), self.load_sampling_loop()):
            self.tasks.add(asyncio.create_task(coroutine))

    async def stop(self) -> None:
        """Cancel the tasks and close the connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.transfers.close()

    async def change_control(self, request: Request) -> Response:
        """Activate or deactivate a fault; ``clear_cache`` clears the cache once."""
        self.faults.change(request.json())
        if self.faults.active.pop("clear_cache", None) is not None:
            self.cache.clear(self.now())
        values = {"faults": self.faults.active, "counters": self.counters()}
        return json_response(values)

    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    async def complete(self, request: Request) -> Response:
        """Accept a completion and stream its answer."""
        scheduled = self.accept(request.json())
        kept = request.json().get("kept")
        task = asyncio.create_task(self.prepare(scheduled, kept))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return Response(content_type="text/event-stream", stream=self.stream(scheduled))

    def accept(self, payload: dict[str, Any]) -> ScheduledRequest:
        """Validate a completion request and add it to the queue.

        Raises
        ------
        HttpError
            The engine can't serve the request (409) or is full (503).
        """
        loaded = self.weights.models.get(payload["model"])
        if self.weights.role != "serve":
            raise HttpError(409, {"error": "role"})
        if loaded is None or payload["adapter"] not in ("", *loaded.adapters):
            raise HttpError(409, {"error": "model"})
        if loaded.weight_version != payload["weight_version"]:
            raise HttpError(409, {"error": "version"})
        if payload["request_id"] in self.scheduler.requests:
            raise HttpError(409, {"error": "id"})
        if self.scheduler.is_full():
            raise HttpError(503, {"error": "full"})
        scheduled = self.create_request(payload)
        self.scheduler.requests[scheduled.request_id] = scheduled
        return scheduled

    def create_request(self, payload: dict[str, Any]) -> ScheduledRequest:
        """Return the scheduler's representation of a completion request."""
        prompt = payload["prompt"].encode()
        blocks, remainder = split_blocks(prompt)
        natural_tokens = natural_length(prompt)
        return ScheduledRequest(
            request_id=payload["request_id"],
            model=payload["model"],
            adapter=payload["adapter"],
            weight_version=payload["weight_version"],
            prompt=prompt,
            cache_salt=payload["cache_salt"],
            priority=int(payload["priority"]),
            expires_at=self.now() + float(payload["deadline"]),
            arrival=next(self.arrivals),
            blocks=blocks,
            remainder=remainder,
            hashes=block_hashes(payload["cache_salt"], blocks),
            length=min(natural_tokens, int(payload["max_tokens"])),
            hits_token_limit=int(payload["max_tokens"]) < natural_tokens,
            next_token_index=int(payload.get("first_token", 0)),
            prompt_tokens=token_count(prompt),
        )

    async def prepare(
        self, scheduled: ScheduledRequest, kept: dict[str, Any] | None
    ) -> None:
        """Import stored blocks after the cached prefix, then mark the request ready."""
        cached = self.cache.prefix(scheduled.hashes)
        scheduled.values = list(cached)
        scheduled.cached_tokens = len(cached) * BLOCK_TOKENS
        if kept is not None:
            names = kept["names"][len(cached) : len(scheduled.blocks)]
            timeout = min(
                self.settings.import_timeout, scheduled.expires_at - self.now()
            )
            values = await self.transfers.import_blocks(
                kept["store_url"], names, timeout=max(0.0, timeout)
            )
            scheduled.values += values
            scheduled.imported_tokens = len(values) * BLOCK_TOKENS
            imported = scheduled.hashes[len(cached) : len(scheduled.values)]
            self.cache.store(imported, values, self.now())
        scheduled.update_remaining_tokens()
        scheduled.ready = True
        self.step_loop.wake.set()

    async def stream(self, scheduled: ScheduledRequest) -> AsyncIterator[bytes]:
        """Yield the encoded events of an answer; queued events form one chunk."""
        sent = 0
        while True:
            events = [await scheduled.event_queue.get()]
            while not scheduled.event_queue.empty():
                events.append(scheduled.event_queue.get_nowait())
            lines = [self.encode(event, scheduled) for event in events]
            limit = self.faults.value("reset_mid_answer", "after", None)
            if limit is not None and sent + len(lines) > limit:
                yield b"".join(lines[: limit - sent])
                raise AbortResponseError
            sent += len(lines)
            yield b"".join(lines)
            if events[-1] is None:
                return

    def encode(
        self, event: dict[str, Any] | None, scheduled: ScheduledRequest
    ) -> bytes:
        """Return the SSE encoding of an event.

        The fault ``cross_answers`` puts the id of another request into the event
        of the token ``MISLABELED_TOKEN_INDEX``.
        """
        if event is None:
            return b"data: [DONE]\n\n"
        if event.get("i") == MISLABELED_TOKEN_INDEX and self.faults.should_inject(
            "cross_answers"
        ):
            others = [
                other
                for other in self.scheduler.requests
                if other != scheduled.request_id
            ]
            event = {**event, "id": others[0] if others else "another"}
        return b"data: " + json.dumps(event, separators=(",", ":")).encode() + b"\n\n"

    async def cancel(self, request: Request) -> Response:
        """Cancel a request; unknown ids are ignored."""
        scheduled = self.scheduler.requests.get(request.json()["request_id"])
        if scheduled is not None:
            scheduled.emit_error("cancelled")
            self.scheduler.remove(scheduled)
            self.counts["cancelled"] += 1
        return json_response({})

    async def load_sampling_loop(self) -> None:
        """Sample the load at the interval ``load_lag``."""
        while True:
            self.sample_load()
            await asyncio.sleep(self.settings.load_lag)

    def sample_load(self) -> None:
        """Store the current load for the next reports."""
        waiting = self.scheduler.waiting()
        self.reported_at = self.now()
        self.reported_load = {
            "incarnation": self.incarnation,
            "running": len(self.scheduler.admitted),
            "waiting": len(waiting),
            "queued_prompt_tokens": sum(
                scheduled.remaining_tokens
                if scheduled.ready
                else scheduled.prompt_tokens
                for scheduled in self.scheduler.requests.values()
            ),
            "cache_used": self.cache.used_tokens(),
            "cache_limit": self.settings.cache_tokens,
        }

    async def load(self, request: Request) -> Response:
        """Return the last load sample and its age in seconds."""
        age = self.now() - self.reported_at
        return json_response({**self.reported_load, "age": age})

    async def cache_events(self, request: Request) -> Response:
        """Return the visible cache events after a sequence number.

        Waits up to ``wait`` seconds for the first event. Events are delayed, and
        those that the fault ``gap_events`` drops are missing.
        """
        after = int(request.query.get("after", "0"))
        until = self.now() + float(request.query.get("wait", "0"))
        events = self.cache.events_after(after, self.now())
        while not events and self.now() < until:
            await asyncio.sleep(EVENT_POLL_SECONDS)
            events = self.cache.events_after(after, self.now())
        last = events[-1].sequence if events else after
        return self.events_response([event.as_json() for event in events], last)

    async def cache_contents(self, request: Request) -> Response:
        """Return the hashes of all cached blocks as one event."""
        sequence = self.cache.sequence
        hashes = list(self.cache.values)
        event = {"sequence": sequence, "kind": "stored", "hashes": hashes}
        return self.events_response([event], sequence)

    def events_response(self, events: list[dict[str, Any]], last: int) -> Response:
        """Return a response with cache events and the engine's incarnation."""
        values = {"incarnation": self.incarnation, "events": events, "next": last}
        return json_response(values)

    async def export(self, request: Request) -> Response:
        """Write those of the requested blocks that are cached to a store."""
        payload = request.json()
        values = self.cache.values
        blocks = [(h, values[h]) for h in payload["hashes"] if h in values]
        stored = await self.transfers.export_blocks(
            payload["store_url"], payload["tier"], payload["generation"], blocks
        )
        sent = len(stored) * BLOCK_TRANSFER_BYTES
        self.counts["exported_bytes"] += sent
        return json_response({"stored": stored, "bytes_sent": sent})

    async def state(self, request: Request) -> Response:
        """Return the role and the loaded models."""
        return json_response(self.state_values())

    def state_values(self) -> dict[str, Any]:
        """Return the role and the loaded models as JSON values."""
        return {"incarnation": self.incarnation, **self.weights.as_json()}

    async def set_state(self, request: Request) -> Response:
        """Accept an order for another role or other models."""
        try:
            self.weights.apply(request.json())
        except OldFenceError:
            highest = self.weights.highest_fence
            raise HttpError(409, {"error": "fence", "highest_fence": highest}) from None
        return json_response(self.state_values(), status=202)


def parse_model(text: str) -> LoadedModel:
    """Return a model from ``name:version[:adapter,adapter]``."""
    name, version, *adapters = text.split(":")
    names = tuple(adapters[0].split(",")) if adapters else ()
    return LoadedModel(model=name, weight_version=version, adapters=names)


@click.command()
@click.option("--port", default=0)
@click.option("--role", default="serve")
@click.option("--model", "models", multiple=True, help="name:version[:adapter,..].")
@click.option("--checks-fence/--ignores-fence", default=False)
@click.option("--platform-url", default="", help="Empty: weights load immediately.")
@click.option("--weight-bytes", default=100_000_000)
@click.option("--cache-tokens", default=200_000)
@click.option("--batch-limit", default=32)
@click.option("--queue-limit", default=256)
@click.option("--load-lag", default=0.25)
@click.option("--event-delay", default=0.1)
@click.option("--import-timeout", default=5.0)
@click.option(
    "--scale", default=1.0, help="Factor on the duration of steps; 0: immediate."
)
@click.option("--step-seconds", default=0.02)
@click.option("--prefill-seconds-per-token", default=0.0001)
@click.option("--prefill-tokens", default=256)
def main(
    port: int,
    models: tuple[str, ...],
    scale: float,
    step_seconds: float,
    prefill_seconds_per_token: float,
    prefill_tokens: int,
    **options: Any,
) -> None:
    """Run the stand-in of an inference engine.

    Options without a unit in their name are in seconds if they are times; the prefill
    tokens are the maximum per step.
    """
    costs = StepCosts(
        scale=scale,
        step_seconds=step_seconds,
        prefill_seconds_per_token=prefill_seconds_per_token,
        prefill_tokens=prefill_tokens,
    )
    loaded = [parse_model(text) for text in models]
    serve(Engine(EngineSettings(models=loaded, costs=costs, **options)).app(), port)


if __name__ == "__main__":
    main()
