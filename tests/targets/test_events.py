"""Tests of the event stream parser."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import assume, given, settings
from hypothesis import strategies as st
import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.targets.errors import EngineGaveUpError
from gypsumsail.targets.events import EventParser
from gypsumsail.targets.port import AnswerToken
from gypsumsail.transport.const import EVENT_LIMIT_BYTES
from gypsumsail.transport.errors import BrokenStreamError
from tests.targets.common import (
    ATTEMPT,
    DONE,
    TEXTS,
    answer_events,
    end,
    event,
    token,
)


def read(stream: bytes, cuts: list[int], first_token: int = 0) -> list[AnswerToken]:
    """Parse a stream that arrives in chunks; return its tokens."""
    parser = EventParser(ATTEMPT, first_token=first_token)
    bounds = [0, *sorted(cuts), len(stream)]
    tokens: list[AnswerToken] = []
    for start, stop in pairwise(bounds):
        tokens += parser.feed(stream[start:stop])
    parser.finish()
    return tokens


WHOLE = b"".join(answer_events())


@settings(derandomize=True)
@given(st.lists(st.integers(0, len(WHOLE)), max_size=20))
def test_tokens_do_not_depend_on_chunk_boundaries(cuts: list[int]) -> None:
    tokens = read(WHOLE, cuts)
    assert tokens == [
        AnswerToken(index=index, text=text) for index, text in enumerate(TEXTS)
    ]


PLACES = st.integers(0, len(answer_events()) - 1)


@settings(derandomize=True)
@given(st.sampled_from(["leave out", "double", "swap"]), PLACES, PLACES)
def test_missing_duplicate_or_reordered_events_are_rejected(
    change: str, first: int, second: int
) -> None:
    assume(change != "swap" or first != second)
    events = answer_events()
    match change:
        case "leave out":
            del events[first]
        case "double":
            events.insert(second, events[first])
        case "swap":
            events[first], events[second] = events[second], events[first]
    with pytest.raises(BrokenStreamError):
        read(b"".join(events), [])


@settings(derandomize=True)
@given(st.binary(max_size=200), st.integers(0, len(WHOLE)))
def test_inserted_bytes_raise_only_transport_errors(junk: bytes, place: int) -> None:
    try:
        tokens = read(WHOLE[:place] + junk + WHOLE[place:], [place])
    except TransportError:
        return
    assert len(tokens) == len(TEXTS)


@pytest.mark.parametrize(
    "stream",
    [
        token(0, id="attempt-2"),
        token(0, id=None),
        token(0, i=True),
        token(0, t=7),
        b"data: []\n\n",
        b"data: {\n\n",
        b"data: " + b"[" * 60_000 + b"\n\n",
        b"event: x\n\n",
        DONE,
        b"data: " + b" " * EVENT_LIMIT_BYTES,
        end(0, end="other") + DONE,
        end(0, prompt_tokens=-1) + DONE,
        token(0) + end(2) + DONE,
        token(0) + end(1) + DONE + token(1),
        token(0) + end(1),
    ],
)
def test_malformed_streams_are_rejected(stream: bytes) -> None:
    with pytest.raises(BrokenStreamError):
        read(stream, [])


def test_resumed_answer_starts_at_first_token() -> None:
    tokens = read(token(2) + token(3) + end(4) + DONE, [], first_token=2)
    assert [found.index for found in tokens] == [2, 3]
    with pytest.raises(BrokenStreamError):
        read(token(0) + end(1) + DONE, [], first_token=2)


@pytest.mark.parametrize(
    ("stream", "sent"),
    [
        (event(error="deadline", run="not run"), False),
        (event(error="deadline", run="ran"), True),
        (event(error="deadline"), True),
        (token(0) + event(error="deadline", run="not run"), True),
    ],
)
def test_request_counts_as_not_run_only_if_the_engine_says_so(
    stream: bytes, sent: bool
) -> None:
    with pytest.raises(EngineGaveUpError) as caught:
        read(stream, [])
    assert caught.value.sent is sent
