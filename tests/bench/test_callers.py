"""Tests of the clients that check the answers of the benchmark."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
import json

import pytest

from bench.callers import Callers, Outcome
from bench.layouts import KERLANN
from bench.traffic import Call, CallClass
from gypsumsail.context.blocks import cache_salt
from stand_ins.expected import expected_answer
from tests.raw_server import CLOSE, raw_server
from tests.targets.common import http_stream

CALL = Call(
    at=0.0,
    call_class=CallClass.LONG,
    customer=3,
    entry=0,
    prompt="is it eligible? " * 200,
    max_tokens=20,
    key="",
)


@dataclass(frozen=True, slots=True, kw_only=True)
class OneEntry:
    """Selects the same URL for all calls."""

    url: str

    def entry_url(self, number: int) -> str:
        return self.url


def expected_tokens(customer: int = CALL.customer) -> list[str]:
    salt = cache_salt(
        service="claims",
        customer=KERLANN.customers[customer].name,
        model="claims",
        adapter="",
        weight_version="v1",
    )
    return list(
        expected_answer(
            prompt=CALL.prompt,
            max_tokens=CALL.max_tokens,
            model="claims",
            adapter="",
            weight_version="v1",
            cache_salt=salt,
        )
    )


def stream_response(tokens: Sequence[str], *, ends: bool = True) -> bytes:
    """Return an HTTP response that streams tokens; ``ends`` adds the last events."""
    events = [{"choices": [{"text": text}]} for text in tokens]
    usage = {"prompt_tokens": 800, "cached_tokens": 512, "imported_tokens": 256}
    last = {"choices": [{"text": "", "finish_reason": "length"}], "usage": usage}
    lines = [json.dumps(event) for event in [*events, *([last] if ends else [])]]
    lines += ["[DONE]"] if ends else []
    return http_stream("".join(f"data: {line}\n\n" for line in lines).encode())


async def call_with_response(answer: bytes | None) -> Outcome:
    """Return the outcome of one call that receives these bytes."""
    async with raw_server([answer]) as server:
        callers = Callers(KERLANN, OneEntry(url=server.url))
        (outcome,) = await callers.async_run([CALL])
        await callers.async_close()
    return outcome


async def test_correct_answer() -> None:
    outcome = await call_with_response(stream_response(expected_tokens()))
    assert outcome.whole
    assert (outcome.wrong, outcome.failure) == ("", "")
    assert (outcome.cached_tokens, outcome.imported_tokens) == (512, 256)
    assert len(outcome.token_gaps) == len(expected_tokens()) - 1


@pytest.mark.parametrize(
    "tokens",
    [
        expected_tokens(customer=4),
        expected_tokens()[:-1],
        [*expected_tokens(), " more"],
        [*expected_tokens()[1:], expected_tokens()[0]],
        [],
    ],
)
async def test_complete_answer_with_other_tokens_is_wrong(tokens: list[str]) -> None:
    assert (await call_with_response(stream_response(tokens))).wrong


@pytest.mark.parametrize(
    ("answer", "failure"),
    [
        (
            stream_response(expected_tokens(), ends=False),
            "ended early without an error",
        ),
        (stream_response(expected_tokens())[:-5] + CLOSE, "RemoteProtocolError"),
        (None, "RemoteProtocolError"),
        (
            http_stream(b'data: {"error": {"code": "deadline", "run": "ran"}}\n\n'),
            "deadline: ran",
        ),
        (
            b"HTTP/1.1 429 X\r\ncontent-length: 2\r\n\r\n{}",
            "an answer that is neither the result nor an error",
        ),
        (
            b"HTTP/1.1 429 X\r\ncontent-length: 50\r\n\r\n"
            b'{"error": {"code": "overloaded", "run":"not run"}}',
            "overloaded: not run",
        ),
    ],
)
async def test_failures_and_incomplete_answers(
    answer: bytes | None, failure: str
) -> None:
    outcome = await call_with_response(answer)
    assert outcome.failure == failure
    assert not outcome.wrong
    assert not outcome.whole


async def test_wrong_tokens_before_a_disconnect_are_reported() -> None:
    answer = stream_response(["wrong"], ends=False)[:-5] + CLOSE
    outcome = await call_with_response(answer)
    assert outcome.failure == "RemoteProtocolError"
    assert outcome.wrong
