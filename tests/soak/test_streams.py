"""Tests that the soak finds streams that break the rule ORDER."""

from __future__ import annotations

import pytest

from soak.callers import CallResult
from soak.streams import TakenStream
from stand_ins.v1_platform import LAST_EVENT, event_content

FIRST = "00000000000000aa"
NEXT = "00000000000000ab"


def body(began: str, first: int, last: int, build: str = "v1") -> bytes:
    """Return some events of a stream."""
    return b"".join(
        f": e1 7 {build}\nid: {n}\ndata: {event_content(began, n)}\n\n".encode()
        for n in range(first, last + 1)
    )


def stream(*tries: CallResult, is_named: bool = True) -> TakenStream:
    """Return a stream with some tries."""
    return TakenStream(is_named=is_named, tries=list(tries))


def attempt(request_id: str, status: int, events: bytes) -> CallResult:
    """Return the result of a try."""
    return CallResult(request_id, "stream", status, body=events)


def test_stream_that_is_taken_up_with_its_next_event_is_sound() -> None:
    broken = attempt(FIRST, 0, body(FIRST, 1, 3))
    for found in (
        stream(broken, attempt(NEXT, 200, body(FIRST, 4, LAST_EVENT))),
        stream(broken, attempt(NEXT, 200, body(NEXT, 4, LAST_EVENT)), is_named=False),
        stream(attempt(FIRST, 503, b""), attempt(NEXT, 0, body(NEXT, 1, 2))),
        stream(attempt(FIRST, 0, body(FIRST, 1, LAST_EVENT)), attempt(NEXT, 200, b"")),
    ):
        assert found.findings() == []


@pytest.mark.parametrize(
    ("second", "finding"),
    [
        (body(FIRST, 3, LAST_EVENT), "has the events"),
        (body(FIRST, 5, LAST_EVENT), "has the events"),
        (body(FIRST, 4, LAST_EVENT - 1), "is complete after event 7"),
        (body(FIRST, 4, LAST_EVENT, "v2"), "is of the builds ['v1', 'v2']"),
        (body(NEXT, 4, LAST_EVENT), "has an event 4 of another one"),
    ],
)
def test_broken_order_is_found(second: bytes, finding: str) -> None:
    broken = attempt(FIRST, 0, body(FIRST, 1, 3))
    findings = stream(broken, attempt(NEXT, 200, second)).findings()
    assert findings
    assert finding in findings[0]
    assert findings[0].startswith(f"ORDER: stream {FIRST} ")
