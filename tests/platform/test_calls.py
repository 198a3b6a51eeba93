"""Tests of parsing and encoding requests and answers for the platform."""

from __future__ import annotations

import asyncio

import pytest

from gypsumsail.core.errors import InvalidRequestError
from gypsumsail.gateway.call_limit import (
    InvalidLimit,
    LimitStatement,
    NamedLimit,
    NoLimit,
)
from gypsumsail.gateway.models import Address
from gypsumsail.gateway.port import AnswerHead, ContextTransfer, SendTerms
from gypsumsail.gateway.target_pause import InvalidPause, NamedPause, PauseStatement
from gypsumsail.platform.calls import encode_request, parse_answer_head, parse_call
from gypsumsail.platform.notices import parse_notices
from gypsumsail.transport.exchange import ExchangeConnection
from gypsumsail.transport.http_request import HttpRequest
from tests.gateway.common import engine

HEADERS = [
    (b"Host", b"NYLO40.example:80"),
    (b"Gypsumsail-Request-Id", b"9c41"),
    (b"Last-Event-Id", b"12"),
    (b"Gypsumsail-Model", b"m0"),
    (b"Gypsumsail-Token-Count", b"1460,80"),
    (b"Gypsumsail-Prompt-Prefix", b"5c1e:800,91bd:410,e440:250"),
    (b"Gypsumsail-Deadline-Ms", b"5000"),
    (b"Authorization", b"Bearer key-1"),
    (b"X-Other", b"kept"),
    (b"X-Hop", b"dropped"),
    (b"Connection", b"keep-alive, X-Hop"),
]


def request(
    headers: list[tuple[bytes, bytes]] = HEADERS, target: bytes = b"/a/b?c=d"
) -> HttpRequest:
    return HttpRequest(
        method=b"POST",
        target=target,
        headers=headers,
        body=b"body",
        keep_alive=True,
        received_at=100.0,
    )


def test_request_is_parsed_into_call() -> None:
    call = parse_call(request())
    assert (call.host, call.path) == ("nylo40.example", "/a/b")
    assert call.deadline == 105.0
    assert call.api_key == "key-1"
    assert call.resume_after == "12"
    assert call.prompt is not None
    assert call.prompt.tokens == 1_540
    assert [part.tokens for part in call.prompt.parts] == [800, 410, 250]


def test_gateway_headers_from_caller_are_dropped() -> None:
    forged = [
        (b"Gypsumsail-Tenant", b"other"),
        (b"Gypsumsail-Cache-Salt", b"other"),
        (b"Gypsumsail-Target-Instance", b"other"),
        (b"Gypsumsail-Request-Priority", b"0"),
        (b"Gypsumsail-Kv-Fetch", b"10.0.0.1:1"),
        (b"Gypsumsail-Kv-Save", b"10.0.0.1:1"),
        (b"Gypsumsail-Kv-Until", b"1"),
        (b"Gypsumsail-Expect-Version", b"9"),
        (b"Gypsumsail-Pin-Ms", b"9"),
        (b"Gypsumsail-Hold", b"9"),
        (b"Gypsumsail-Kv-Backup", b"10.0.0.1:1"),
        (b"Kv-From", b"10.0.0.1:1/x"),
    ]
    call = parse_call(request([*HEADERS, *forged]))
    names = {name.lower() for name, _ in call.headers}
    assert not names & {name.lower() for name, _ in forged}
    sent = encode_request(
        call, engine(), SendTerms(time_left=1, customer="a", priority=1)
    )
    assert b"other" not in sent


def test_api_key_and_connection_headers_are_not_forwarded() -> None:
    call = parse_call(request())
    names = [name for name, _ in call.headers]
    assert b"X-Other" in names
    assert b"X-Hop" not in names
    assert b"Authorization" not in names


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"Gypsumsail-Request-Id", b"again"),
        (b"Gypsumsail-Deadline-Ms", b"5000"),
        (b"Authorization", b"Bearer other"),
    ],
)
def test_repeated_single_value_header_is_rejected(name: bytes, value: bytes) -> None:
    with pytest.raises(InvalidRequestError):
        parse_call(request([*HEADERS, (name, value)]))


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"Gypsumsail-Deadline-Ms", b"soon"),
        (b"Gypsumsail-Deadline-Ms", b"-5"),
        (b"Gypsumsail-Token-Count", b"x,1"),
        (b"Gypsumsail-Prompt-Prefix", b"a:b"),
    ],
)
def test_malformed_header_value_is_rejected(name: bytes, value: bytes) -> None:
    headers = [(key, value if key == name else text) for key, text in HEADERS]
    with pytest.raises(InvalidRequestError):
        parse_call(request(headers))


def test_absolute_request_target_is_split() -> None:
    call = parse_call(request(target=b"http://other.example/x/y?z=1"))
    assert (call.host, call.target) == ("other.example", b"/x/y?z=1")


def test_request_target_without_path_is_rejected() -> None:
    with pytest.raises(InvalidRequestError):
        parse_call(request(target=b"*"))


def test_encoded_request_has_caller_and_gateway_headers() -> None:
    """Check the encoded request; the priority is reduced to ``MAX_PRIORITY``."""
    terms = SendTerms(
        time_left=1.2345,
        customer="a",
        priority=12,
        cache_scope="2",
        weight_version=2,
        resume_after="7",
        transfer=ContextTransfer(
            fetch=(Address(host="10.0.0.9", port=1), None, None),
            save=(None, Address(host="10.0.0.8", port=2), None),
            fetch_until_ms=99,
        ),
    )
    sent = encode_request(parse_call(request()), engine("e1"), terms)
    head, _, body = sent.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert body == b"body"
    assert lines[0] == b"POST /a/b?c=d HTTP/1.1"
    for line in (
        b"Host: NYLO40.example:80",
        b"Gypsumsail-Request-Id: 9c41",
        b"Gypsumsail-Prompt-Prefix: 5c1e:800,91bd:410,e440:250",
        b"Gypsumsail-Deadline-Ms: 1234",
        b"Gypsumsail-Target-Instance: e1",
        b"Gypsumsail-Tenant: a",
        b"Gypsumsail-Request-Priority: 9",
        b"Gypsumsail-Cache-Salt: 2",
        b"Gypsumsail-Expect-Version: 2",
        b"Last-Event-Id: 7",
        b"Gypsumsail-Kv-Fetch: 10.0.0.9:1,-,-",
        b"Gypsumsail-Kv-Until: 99",
        b"Gypsumsail-Kv-Save: -,10.0.0.8:2,-",
        b"Content-Length: 4",
    ):
        assert lines.count(line) == 1, line


def test_scope_is_sent_with_a_prompt_that_is_not_fully_described() -> None:
    """WALL: an engine caches the parts that it can read under an absent scope."""
    headers = [pair for pair in HEADERS if pair[0] != b"Gypsumsail-Token-Count"]
    call = parse_call(request(headers))
    assert call.prompt is None
    terms = SendTerms(time_left=1, customer="a", priority=1, cache_scope="unshared/x")
    sent = encode_request(call, engine(), terms)
    assert b"\r\nGypsumsail-Cache-Salt: unshared/x\r\n" in sent


def test_last_event_id_of_any_bytes_is_encoded_as_it_came() -> None:
    headers = [
        (name, b"\xe9\xa0" if name == b"Last-Event-Id" else value)
        for name, value in HEADERS
    ]
    call = parse_call(request(headers))
    terms = SendTerms(
        time_left=1, customer="a", priority=1, resume_after=call.resume_after
    )
    sent = encode_request(call, engine(), terms)
    assert b"\r\nLast-Event-Id: \xe9\xa0\r\n" in sent


def test_answer_head_is_parsed() -> None:
    async def read() -> AnswerHead:
        connection = ExchangeConnection()
        connection.status = 503
        connection.headers = [
            (b"gypsumsail-not-run", b"1"),
            (b"gypsumsail-server-load", b"3, 1, 8"),
            (b"gypsumsail-weight-versions", b"4"),
            (b"gypsumsail-server-stamp", b"s"),
            (b"transfer-encoding", b"chunked"),
        ]
        return parse_answer_head(connection, 5.0)

    head = asyncio.run(read())
    assert head.says_not_run
    assert head.is_signed
    assert head.weight_version == 4
    assert head.load is not None
    assert head.load.running == 3
    assert (b"transfer-encoding", b"chunked") not in head.headers


@pytest.mark.parametrize("load", [b"", b"x", b"1", b"1,-2", b"a,b,c"])
def test_malformed_load_is_ignored(load: bytes) -> None:
    async def read() -> AnswerHead:
        connection = ExchangeConnection()
        connection.status = 200
        connection.headers = [(b"gypsumsail-server-load", load)]
        return parse_answer_head(connection, 5.0)

    assert asyncio.run(read()).load is None


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], NoLimit()),
        ([b"1.1"], NamedLimit(calls_per_second=1.1)),
        ([b" 3 "], NamedLimit(calls_per_second=3.0)),
        ([b"0"], NamedLimit(calls_per_second=0.0)),
        ([b"1e9"], NamedLimit(calls_per_second=1e9)),
        ([b"4", b"0.3"], NamedLimit(calls_per_second=0.3)),
        ([b""], InvalidLimit(text="")),
        ([b"-1"], InvalidLimit(text="-1")),
        ([b"NaN"], InvalidLimit(text="NaN")),
        ([b"inf"], InvalidLimit(text="inf")),
        ([b"2", b"soon"], InvalidLimit(text="2, soon")),
    ],
)
def test_limit_of_target_is_parsed(
    values: list[bytes], expected: LimitStatement
) -> None:
    async def read() -> AnswerHead:
        connection = ExchangeConnection()
        connection.status = 200
        connection.headers = [(b"server-limit", value) for value in values]
        return parse_answer_head(connection, 5.0)

    assert asyncio.run(read()).notices.limit == expected


@pytest.mark.parametrize(
    ("status", "values", "expected"),
    [
        (503, [], None),
        (503, [b"2"], NamedPause(seconds=2.0)),
        (503, [b"0.25"], NamedPause(seconds=0.25)),
        (503, [b"0"], NamedPause(seconds=0.0)),
        (503, [b"1e6"], NamedPause(seconds=1e6)),
        (503, [b"1", b"3"], NamedPause(seconds=3.0)),
        (503, [b"-1"], InvalidPause(text="-1")),
        (503, [b"soon"], InvalidPause(text="soon")),
        (503, [b"inf"], InvalidPause(text="inf")),
        (
            503,
            [b"Fri, 04 Dec 2026 09:00:00 GMT"],
            InvalidPause(text="Fri, 04 Dec 2026 09:00:00 GMT"),
        ),
        (200, [b"2"], None),
        (429, [b"2"], None),
    ],
)
def test_pause_of_target_is_parsed(
    status: int, values: list[bytes], expected: PauseStatement | None
) -> None:
    headers = [(b"retry-after", value) for value in values]
    assert parse_notices(status, headers, dict(headers)).pause == expected


@pytest.mark.parametrize(
    ("status", "value", "is_leaving"),
    [(200, b"1", True), (503, b" 1", True), (200, b"0", False), (200, b"", False)],
)
def test_leaving_target_is_parsed(status: int, value: bytes, is_leaving: bool) -> None:
    headers = [(b"server-leaving", value)]
    assert parse_notices(status, headers, dict(headers)).is_leaving is is_leaving
