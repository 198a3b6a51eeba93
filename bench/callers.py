"""Clients that send the calls of a run and check each answer."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
import json
import time
from typing import Any, Final, Protocol

import httpx

from bench.layouts import MODEL_PATH, WEIGHT_VERSION, Layout, ModelServiceLayout
from bench.traffic import Call, CallClass
from gypsumsail.context.blocks import cache_salt
from stand_ins.expected import expected_answer

CALL_TIMEOUT_SECONDS: Final = 40.0
DEADLINE_SECONDS: Final = 30.0


@dataclass(slots=True, kw_only=True)
class Outcome:
    """Outcome of one call.

    Attributes
    ----------
    started, ended
        Monotonic time of the start and the end, in seconds.
    first_token, token_gaps
        Seconds until the first token, and between consecutive tokens.
    whole
        Whether the complete answer was received.
    wrong
        How the received tokens differ from the correct answer; empty if they don't.
    failure
        Code and run state of an error answer, or the kind of another error; empty if
        there is none.
    """

    call: Call
    started: float
    ended: float = 0.0
    first_token: float | None = None
    token_gaps: list[float] = field(default_factory=list)
    whole: bool = False
    wrong: str = ""
    failure: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    imported_tokens: int = 0


class EntrySelector(Protocol):
    """Selects the entry for a call, as a load balancer does."""

    def entry_url(self, number: int) -> str:
        """Return the URL of the entry with a number, or of the next running one."""


class Callers:
    """Sends the calls of a run to the entries."""

    def __init__(self, layout: Layout, entries: EntrySelector) -> None:
        self.layout = layout
        self.entries = entries
        self.client = httpx.AsyncClient(
            trust_env=False,
            timeout=CALL_TIMEOUT_SECONDS,
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=200),
        )

    async def async_close(self) -> None:
        """Close the connections."""
        await self.client.aclose()

    async def async_run(self, calls: Sequence[Call]) -> list[Outcome]:
        """Send each call at its time, regardless of whether earlier ones ended."""
        started = time.monotonic()
        return await asyncio.gather(
            *(self._async_call(call, started) for call in calls)
        )

    async def _async_call(self, call: Call, run_started: float) -> Outcome:
        await asyncio.sleep(max(0.0, run_started + call.at - time.monotonic()))
        outcome = Outcome(call=call, started=time.monotonic())
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                if call.call_class is CallClass.PLAIN:
                    await self._async_plain(outcome)
                else:
                    await self._async_completion(outcome)
        except (httpx.HTTPError, TimeoutError) as error:
            outcome.failure = type(error).__name__
            outcome.whole = False
        outcome.ended = time.monotonic()
        return outcome

    def _headers(self, call: Call) -> dict[str, str]:
        customer = self.layout.customers[call.customer]
        headers = {"Authorization": f"Bearer {customer.api_key}"}
        headers["X-Deadline"] = str(DEADLINE_SECONDS)
        if call.key:
            headers["Idempotency-Key"] = call.key
        return headers

    async def _async_plain(self, outcome: Outcome) -> None:
        call = outcome.call
        url = self.entries.entry_url(call.entry) + self.layout.plain_service.path
        response = await self.client.post(
            url, content=call.prompt.encode(), headers=self._headers(call)
        )
        if response.status_code != httpx.codes.OK:
            outcome.failure = read_failure(response.content)
            return
        outcome.first_token = time.monotonic() - outcome.started
        outcome.whole = True

    async def _async_completion(self, outcome: Outcome) -> None:
        call, service = outcome.call, self._service(outcome.call)
        body = {
            "model": service.model,
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "stream": True,
        }
        url = self.entries.entry_url(call.entry) + MODEL_PATH
        async with self.client.stream(
            "POST", url, json=body, headers=self._headers(call)
        ) as response:
            if response.status_code != httpx.codes.OK:
                outcome.failure = read_failure(await response.aread())
                return
            await self._async_read(outcome, service, response)

    def _service(self, call: Call) -> ModelServiceLayout:
        if call.call_class is CallClass.SHORT:
            return self.layout.short_service
        return self.layout.long_service

    async def _async_read(
        self, outcome: Outcome, service: ModelServiceLayout, response: httpx.Response
    ) -> None:
        texts: list[str] = []
        try:
            await self._async_read_events(outcome, texts, response)
        finally:
            self._check(outcome, service, texts)
        if not outcome.whole and not outcome.failure:
            outcome.failure = "ended early without an error"

    async def _async_read_events(
        self, outcome: Outcome, texts: list[str], response: httpx.Response
    ) -> None:
        previous_at = outcome.started
        async for line in response.aiter_lines():
            if line == "data: [DONE]":
                outcome.whole = bool(outcome.prompt_tokens)
            if not line.startswith("data: {"):
                continue
            event = json.loads(line.removeprefix("data: "))
            if "error" in event:
                outcome.failure = f"{event['error']['code']}: {event['error']['run']}"
                break
            if "usage" in event:
                read_usage(outcome, event["usage"])
            if not (text := event["choices"][0]["text"]):
                continue
            texts.append(text)
            now = time.monotonic()
            if outcome.first_token is None:
                outcome.first_token = now - outcome.started
            else:
                outcome.token_gaps.append(now - previous_at)
            previous_at = now

    def _check(
        self, outcome: Outcome, service: ModelServiceLayout, texts: list[str]
    ) -> None:
        call = outcome.call
        salt = cache_salt(
            service=service.service,
            customer=self.layout.customers[call.customer].name,
            model=service.model,
            adapter="",
            weight_version=WEIGHT_VERSION,
        )
        expected = expected_answer(
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            model=service.model,
            adapter="",
            weight_version=WEIGHT_VERSION,
            cache_salt=salt,
        )
        if tuple(texts) != expected[: len(texts)]:
            outcome.wrong = "other tokens than the right answer"
        elif outcome.whole and len(texts) != len(expected):
            outcome.wrong = "a whole answer of another length"


def read_failure(body: bytes) -> str:
    """Return the code and run state of an error answer."""
    try:
        error = json.loads(body)["error"]
        return f"{error['code']}: {error['run']}"
    except (ValueError, KeyError, TypeError):
        return "an answer that is neither the result nor an error"


def read_usage(outcome: Outcome, usage: dict[str, Any]) -> None:
    """Store the token counts of an answer in its outcome."""
    outcome.prompt_tokens = usage["prompt_tokens"]
    outcome.cached_tokens = usage["cached_tokens"]
    outcome.imported_tokens = usage["imported_tokens"]
