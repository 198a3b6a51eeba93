"""Scheduler of an engine with continuous batching, and the duration of its steps."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from stand_ins.content import BLOCK_TOKENS, answer_token


@dataclass(frozen=True, slots=True, kw_only=True)
class StepCosts:
    """Model of the duration of a step.

    Attributes
    ----------
    scale
        Factor on all durations; 0 makes every step immediate.
    step_seconds
        Fixed duration of a step, which yields one token for each request whose
        prompt is computed.
    prefill_seconds_per_token
        Additional duration for each prompt token that the step computes.
    prefill_tokens
        Maximum number of prompt tokens that one step computes.
    """

    scale: float = 1.0
    step_seconds: float = 0.02
    prefill_seconds_per_token: float = 0.0001
    prefill_tokens: int = 256

    def duration(self, prefilled: int) -> float:
        """Return the duration in seconds of a step that computes prompt tokens."""
        work = self.step_seconds + prefilled * self.prefill_seconds_per_token
        return work * self.scale


@dataclass(eq=False, slots=True, kw_only=True)
class ScheduledRequest:
    """One request in the batch or in the queue of the engine.

    Attributes
    ----------
    expires_at
        Event loop time of the deadline, in seconds.
    arrival
        Number that increases with each request; breaks ties of priority.
    blocks, remainder
        Full blocks of the prompt, and the bytes after the last full block.
    hashes, values
        Hash and value of each block of the prompt. A value is appended when its
        block is found in the cache, imported or computed.
    length
        Number of tokens of the complete answer.
    hits_token_limit
        Whether the requested maximum shortens the answer.
    next_token_index
        Index of the next answer token to send; above 0 at the start of a request
        that resumes an answer.
    remaining_tokens
        Number of prompt tokens that are still to be computed.
    answer_seed
        Value from which the answer is derived; empty until the prompt is computed.
    started
        Whether a step has included the request.
    ready
        Whether the lookup and import of cached blocks are done.
    event_queue
        Events to send to the caller; ``None`` ends the stream.
    """

    request_id: str
    model: str
    adapter: str
    weight_version: str
    prompt: bytes
    cache_salt: str
    priority: int
    expires_at: float
    arrival: int
    blocks: list[bytes]
    remainder: bytes
    hashes: list[str]
    length: int
    hits_token_limit: bool
    next_token_index: int
    values: list[bytes] = field(default_factory=list)
    remaining_tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    imported_tokens: int = 0
    answer_seed: bytes = b""
    started: bool = False
    ready: bool = False
    event_queue: asyncio.Queue[dict[str, Any] | None] = field(
        default_factory=asyncio.Queue
    )

    def queue_key(self) -> tuple[int, int]:
        """Return the sort key in the queue: priority, then arrival."""
        return self.priority, self.arrival

    def update_remaining_tokens(self) -> None:
        """Set the number of tokens to compute.

        Tokens of the answer that were already sent must be computed again, like the
        prompt. At least one token remains, because a step starts only requests with
        tokens to compute.
        """
        known_tokens = len(self.values) * BLOCK_TOKENS
        self.remaining_tokens = max(
            1, self.prompt_tokens - known_tokens + self.next_token_index
        )

    def emit_token(self) -> None:
        """Send the next token of the answer."""
        text = answer_token(self.answer_seed, self.next_token_index)
        self.event_queue.put_nowait(
            {"id": self.request_id, "i": self.next_token_index, "t": text}
        )
        self.next_token_index += 1

    def emit_end(self) -> None:
        """Send the last event of a complete answer."""
        self.event_queue.put_nowait(
            {
                "id": self.request_id,
                "end": "length" if self.hits_token_limit else "stop",
                "weight_version": self.weight_version,
                "prompt_tokens": self.prompt_tokens,
                "cached_tokens": self.cached_tokens,
                "imported_tokens": self.imported_tokens,
                "answer_tokens": self.length,
            }
        )
        self.event_queue.put_nowait(None)

    def emit_error(self, code: str) -> None:
        """Send an error event and whether the request has run."""
        state = "ran" if self.started else "not run"
        event = {"id": self.request_id, "error": code, "run": state}
        self.event_queue.put_nowait(event)
        self.event_queue.put_nowait(None)


class Scheduler:
    """Requests of an engine, in the batch or in the queue.

    Attributes
    ----------
    limit
        Maximum number of requests in the batch.
    queue_limit
        Maximum number of queued requests while the batch is full.
    requests
        All requests by id; those with ``ready`` false wait for an import.
    admitted
        Requests in the batch.
    """

    def __init__(self, *, limit: int, queue_limit: int, costs: StepCosts) -> None:
        self.limit = limit
        self.queue_limit = queue_limit
        self.costs = costs
        self.requests: dict[str, ScheduledRequest] = {}
        self.admitted: list[ScheduledRequest] = []

    def is_full(self) -> bool:
        """Return whether batch and queue have no room for another request."""
        return len(self.requests) >= self.limit + self.queue_limit

    def waiting(self) -> list[ScheduledRequest]:
        """Return the queued requests, the most urgent first."""
        admitted = set(self.admitted)
        return sorted(
            (r for r in self.requests.values() if r not in admitted), key=queue_key
        )

    def admit(self) -> None:
        """Move ready requests from the queue into the batch while it has room."""
        free_slots = self.limit - len(self.admitted)
        if free_slots > 0:
            self.admitted += [request for request in self.waiting() if request.ready][
                :free_slots
            ]

    def remove(self, request: ScheduledRequest) -> None:
        """Remove a request from the batch or the queue."""
        self.requests.pop(request.request_id, None)
        if request in self.admitted:
            self.admitted.remove(request)

    def plan_prefill(self) -> list[tuple[ScheduledRequest, int]]:
        """Divide a step's prompt tokens among requests, the most urgent first."""
        budget = self.costs.prefill_tokens
        plan: list[tuple[ScheduledRequest, int]] = []
        for request in sorted(self.admitted, key=queue_key):
            tokens = min(budget, request.remaining_tokens)
            if tokens:
                plan.append((request, tokens))
                budget -= tokens
        return plan


def queue_key(request: ScheduledRequest) -> tuple[int, int]:
    """Return the sort key of a request in the queue."""
    return request.queue_key()
