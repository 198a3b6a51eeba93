"""Continuous batch of an engine and what each of its steps costs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from stand_ins.content import BLOCK_TOKENS, answer_token


@dataclass(frozen=True, slots=True, kw_only=True)
class StepCosts:
    """Cost model of a step.

    Attributes
    ----------
    scale
        Factor on all times; with 0 no step waits.
    step_seconds
        Fixed cost of a step, during which each running request gets a token.
    prefill_seconds_per_token
        Cost of each prompt token that the step computes.
    prefill_tokens
        Prompt tokens that one step computes at most.
    """

    scale: float = 1.0
    step_seconds: float = 0.02
    prefill_seconds_per_token: float = 0.0001
    prefill_tokens: int = 256

    def duration(self, prefilled: int) -> float:
        """Return the duration of a step."""
        work = self.step_seconds + prefilled * self.prefill_seconds_per_token
        return work * self.scale


@dataclass(eq=False, slots=True, kw_only=True)
class Run:
    """One request in the engine.

    Attributes
    ----------
    hashes, values
        Hash and value of each block of the prompt; values grow as blocks are
        found, imported or computed.
    left_tokens
        Prompt tokens that are still to be computed.
    final
        Value that decides the answer; empty until the prompt is computed.
    next_index, length
        Next token of the answer, and the tokens of the whole answer.
    started
        Whether a step has worked on the request.
    outgoing
        Events for the stream; ``None`` ends it.
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
        """Return the place in the queue: priority, then arrival."""
        return self.priority, self.arrival

    def update_remaining_tokens(self) -> None:
        """Work out the tokens left to compute; resumed ones count as prompt."""
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
        """Send the end of a whole answer."""
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
        """Send that the engine gives up."""
        state = "ran" if self.started else "not run"
        event = {"id": self.request_id, "error": code, "run": state}
        self.event_queue.put_nowait(event)
        self.event_queue.put_nowait(None)


class Batch:
    """Requests of an engine by their state.

    Attributes
    ----------
    runs
        All requests by id; those with ``ready`` false wait for an import.
    admitted
        Requests in the batch.
    """

    def __init__(self, *, limit: int, queue_limit: int, costs: StepCosts) -> None:
        self.limit = limit
        self.queue_limit = queue_limit
        self.costs = costs
        self.runs: dict[str, Run] = {}
        self.admitted: list[Run] = []

    def is_full(self) -> bool:
        """Return whether no further request is taken."""
        return len(self.runs) >= self.limit + self.queue_limit

    def waiting(self) -> list[Run]:
        """Return the requests outside the batch, most urgent first."""
        admitted = set(self.admitted)
        return sorted(
            (r for r in self.runs.values() if r not in admitted), key=queue_key
        )

    def admit(self) -> None:
        """Take waiting requests into the batch while it has room."""
        free_slots = self.limit - len(self.admitted)
        if free_slots > 0:
            self.admitted += [run for run in self.waiting() if run.ready][:free_slots]

    def remove(self, run: Run) -> None:
        """Forget a request."""
        self.runs.pop(run.request_id, None)
        if run in self.admitted:
            self.admitted.remove(run)

    def plan_prefill(self) -> list[tuple[Run, int]]:
        """Share the prompt tokens of a step, most urgent first."""
        budget = self.costs.prefill_tokens
        plan: list[tuple[Run, int]] = []
        for run in sorted(self.admitted, key=queue_key):
            tokens = min(budget, run.remaining_tokens)
            if tokens:
                plan.append((run, tokens))
                budget -= tokens
        return plan


def queue_key(run: Run) -> tuple[int, int]:
    """Return the place of a request in the queue."""
    return run.queue_key()
