"""Drawn bytes of callers: a target reads exactly what was sent, or nothing.

``GYPSUMSAIL_FUZZ_EXAMPLES=20000 script/test tests/platform/test_caller_border_fuzz.py``
is a long run.
"""

from __future__ import annotations

import asyncio
from typing import Final

from hypothesis import given
from hypothesis import strategies as st

from tests.fuzzing import fuzz_settings
from tests.platform.common import Border, StrictRequest, chunked_request
from tests.platform.requests import (
    DrawnRequest,
    damaged,
    proper_requests,
    read_all_strictly,
)

QUIET_SECONDS: Final = 0.05
"""Wait for answers to damaged requests, some of which get none."""
FORGED: Final = b"forged"
RESERVED_NAMES: Final = {
    b"gypsumsail-tenant",
    b"gypsumsail-target-instance",
    b"gypsumsail-cache-salt",
    b"kv-from",
}
"""Names of drawn headers that only the system may set."""

Key = tuple[bytes, bytes, bytes, bytes]


def key(request: StrictRequest) -> Key:
    """Return what must be the same at both ends."""
    ids = request.values(b"gypsumsail-request-id")
    return request.method, request.target, b"|".join(ids), request.body


def cut(data: bytes, cuts: list[int]) -> list[bytes]:
    """Return the pieces of bytes that are cut at some positions."""
    ends = sorted(at % (len(data) + 1) for at in cuts)
    return [
        data[start:end] for start, end in zip([0, *ends], [*ends, None], strict=True)
    ]


def check(border: Border, sent: bytes) -> None:
    """Check that the target has read requests that were sent, in their order."""
    expected = [key(request) for request in read_all_strictly(sent)]
    assert not border.target.malformed
    rest = iter(expected)
    for request in border.target.requests:
        assert key(request) in rest, (key(request), expected)
        assert request.values(b"gypsumsail-target-instance") == [b"t1"]
        for name, value in request.headers:
            is_reserved = name.lower().replace(b"_", b"-") in RESERVED_NAMES
            assert not (is_reserved and FORGED in value), (name, value)


@fuzz_settings(80)
@given(
    st.lists(proper_requests(), min_size=1, max_size=3),
    st.lists(st.integers(0, 10_000), max_size=6),
)
def test_proper_requests_are_served_as_they_were_sent(
    requests: list[DrawnRequest], cuts: list[int]
) -> None:
    data = b"".join(request.data for request in requests)

    async def run() -> None:
        async with Border().serving() as border:
            found = await border.async_send(*cut(data, cuts), answers=len(requests))
        served = found.count(b"HTTP/1.1 200 OK")
        assert served == len(requests), (found, border.lines.of("send failed"))
        assert len(border.target.requests) == len(requests)
        check(border, data)

    asyncio.run(run())


@fuzz_settings(80)
@given(
    st.lists(proper_requests(), min_size=1, max_size=3).flatmap(
        lambda requests: damaged(b"".join(request.data for request in requests))
    ),
    st.lists(st.integers(0, 10_000), max_size=6),
)
def test_damaged_requests_reach_no_target_as_others(
    data: bytes, cuts: list[int]
) -> None:
    async def run() -> None:
        async with Border().serving() as border:
            await border.async_send(*cut(data, cuts), wait=QUIET_SECONDS, answers=9)
        check(border, data)

    asyncio.run(run())


async def test_request_cut_at_each_byte_is_served_once() -> None:
    data = chunked_request(b"X-Checksum: 1", b"Host: other.example")
    async with Border().serving() as border:
        for at in range(1, len(data)):
            found = await border.async_send(data[:at], data[at:])
            assert found.startswith(b"HTTP/1.1 200"), at
        pieces = [data[at : at + 1] for at in range(len(data))]
        found = await border.async_send(*pieces)
        assert found.startswith(b"HTTP/1.1 200")
    assert len(border.target.requests) == len(data)
    assert {item.body for item in border.target.requests} == {b"body"}


async def test_request_cut_off_at_each_byte_reaches_no_target() -> None:
    data = chunked_request(b"X-Checksum: 1")
    async with Border().serving() as border:
        for at in range(len(data)):
            await border.async_send(data[:at], wait=0.002)
    assert not border.target.requests
    assert not border.target.malformed
