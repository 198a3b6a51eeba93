"""Tests that a target reads exactly the request that a caller sent, or nothing."""

from __future__ import annotations

import pytest

from tests.platform.common import ID, Border, encode_head, head_lines

KEPT_NAMES = [
    b"Gypsumsail-Request-Id",
    b"Gypsumsail-Model",
    b"Gypsumsail-Token-Count",
    b"Gypsumsail-Prompt-Prefix",
    b"Gypsumsail-Length-Hint",
    b"Host",
    b"Content-Type",
    b"Resumes",
]
"""Headers that a target must get as the caller sent them."""


@pytest.mark.parametrize("name", KEPT_NAMES)
async def test_connection_header_strips_no_header_of_the_request(name: bytes) -> None:
    lines = [
        *head_lines(
            b"Gypsumsail-Model: m0",
            b"Gypsumsail-Token-Count: 4,2",
            b"Gypsumsail-Prompt-Prefix: 5c1e:4",
            b"Gypsumsail-Length-Hint: 2",
            b"Content-Type: text/plain",
            b"Resumes: 1",
            b"X-Hop: 1",
            b"Content-Length: 4",
        ),
        b"Connection: keep-alive, X-Hop, " + name,
    ]
    async with Border().serving() as border:
        found = await border.async_send(encode_head(lines) + b"body")
    assert found.startswith(b"HTTP/1.1 200")
    [request] = border.target.requests
    assert len(request.values(name.lower())) == 1
    assert not request.values(b"x-hop")


@pytest.mark.parametrize(
    "request_id",
    [
        b"\xe9t\xe9",
        b"a\xa0",
        b"\x85a",
        b"a, b",
        b"a b\tc",
        b'a;b="c"',
        b"i" * 1_000,
        b"\xc3\xa9",
    ],
)
async def test_id_of_any_bytes_reaches_the_target_and_its_answer_the_caller(
    request_id: bytes,
) -> None:
    lines = [
        b"GET /a/x HTTP/1.1",
        b"Host: h.example",
        b"Gypsumsail-Request-Id: " + request_id,
        b"Gypsumsail-Deadline-Ms: 900",
    ]
    async with Border().serving() as border:
        found = await border.async_send(encode_head(lines))
    assert [item.request_id for item in border.target.requests] == [request_id]
    assert found.startswith(b"HTTP/1.1 200")
    assert found.lower().count(b"gypsumsail-request-id: " + request_id.lower()) == 1


@pytest.mark.parametrize(
    "line",
    [
        None,
        b"Gypsumsail-Request-Id:",
        b"Gypsumsail-Request-Id: \t ",
        b"Gypsumsail-Request-Id: a\r\ngypsumsail-request-id: b",
        b"Gypsumsail-Request-Id: a\r\nGYPSUMSAIL-REQUEST-ID: a",
        b"Gypsumsail-Request-Id : a",
        b"Gypsumsail-Request-Id: a\r\n b",
        b"Gypsumsail_Request_Id: a",
    ],
)
async def test_request_without_one_id_reaches_no_target(line: bytes | None) -> None:
    lines = [b"GET /a/x HTTP/1.1", b"Host: h.example"]
    if line is not None:
        lines.append(line)
    async with Border().serving() as border:
        found = await border.async_send(encode_head(lines))
    assert found.startswith(b"HTTP/1.1 400")
    assert not border.target.requests


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (b"http://h.example/a/x", b"/a/x"),
        (b"HTTP://h.example/a/x?", b"/a/x?"),
        (b"http://h.example/a/x??b=//c", b"/a/x??b=//c"),
        (b"http://h.example:80/a/x;p=1?q", b"/a/x;p=1?q"),
        (b"http://h.example/a//x/../y", b"/a//x/../y"),
        (b"http://h.example/a/%2e%0d%0a", b"/a/%2e%0d%0a"),
    ],
)
async def test_absolute_target_reaches_the_target_byte_for_byte(
    sent: bytes, expected: bytes
) -> None:
    data = encode_head(head_lines(b"Content-Length: 0", target_text=sent))
    async with Border().serving() as border:
        await border.async_send(data)
    assert [item.target for item in border.target.requests] == [expected]


async def test_absolute_target_replaces_the_host() -> None:
    """The route is chosen by the target's host, which is the only one then."""
    data = encode_head(
        head_lines(b"Content-Length: 0", target_text=b"http://other.example/b?c")
    )
    async with Border().serving() as border:
        await border.async_send(data)
    [request] = border.target.requests
    assert request.values(b"host") == [b"other.example"]
    assert request.target == b"/b?c"


@pytest.mark.parametrize(
    "sent",
    [
        b"*",
        b"ftp://h.example/a/x",
        b"http:///a/x",
        b"http://[/a/x",
        b"http://[::1/a/x",
        b"http://h.example[/a/x",
    ],
)
async def test_other_form_of_target_is_rejected(sent: bytes) -> None:
    data = encode_head(head_lines(b"Content-Length: 0", target_text=sent))
    async with Border().serving() as border:
        found = await border.async_send(data)
    assert found.startswith(b"HTTP/1.1 400")
    assert not border.target.requests


@pytest.mark.parametrize(
    "version", [b"HTTP/2.0", b"HTTP/0.9", b"HTTP/1.2", b"HTTP/3.0", b"ICE/1.0", b""]
)
async def test_other_version_is_rejected(version: bytes) -> None:
    first = b"GET /a/x " + version
    async with Border().serving() as border:
        found = await border.async_send(
            encode_head([first.rstrip(), *head_lines()[1:]])
        )
    assert found.startswith(b"HTTP/1.1 400")
    assert not border.target.requests


async def test_chunked_body_of_the_older_version_is_rejected() -> None:
    """An older sender cannot mean it (RFC 9112, 6.1)."""
    lines = [
        b"POST /a/x HTTP/1.0",
        *head_lines()[1:],
        b"Transfer-Encoding: chunked",
        b"Connection: keep-alive",
    ]
    async with Border().serving() as border:
        found = await border.async_send(encode_head(lines) + b"1\r\na\r\n0\r\n\r\n")
    assert found.startswith(b"HTTP/1.1 400")
    assert not border.target.requests


@pytest.mark.parametrize("body", [b"", b"body"])
async def test_offer_of_another_protocol_is_ignored(body: bytes) -> None:
    """A server may go on in HTTP/1.1 (RFC 9110, 7.8)."""
    lines = head_lines(
        b"Connection: Upgrade, HTTP2-Settings",
        b"Upgrade: h2c",
        b"HTTP2-Settings: AAMAAABk",
        b"Content-Length: %d" % len(body),
    )
    following = encode_head(head_lines(b"Content-Length: 4")) + b"next"
    async with Border().serving() as border:
        found = await border.async_send(
            encode_head(lines) + body + following, answers=2
        )
    assert found.count(b"HTTP/1.1 200") == 2
    assert [item.body for item in border.target.requests] == [body, b"next"]
    assert not border.target.requests[0].values(b"upgrade")


async def test_tunnel_is_refused() -> None:
    lines = [b"CONNECT h.example:80 HTTP/1.1", *head_lines()[1:]]
    async with Border().serving() as border:
        found = await border.async_send(encode_head(lines))
    assert found.startswith(b"HTTP/1.1 400")
    assert not border.target.requests


@pytest.mark.parametrize(
    "name",
    [
        b"Gypsumsail_Tenant",
        b"Gypsumsail_Target-Instance",
        b"Kv_From",
        b"Content_Length",
        b"Transfer_Encoding",
        b"Gypsumsail_Request_Id",
        b"Gypsumsail_Model",
    ],
)
async def test_name_with_underscores_stands_for_no_other_header(name: bytes) -> None:
    """Some servers read an underscore in a name as a hyphen."""
    lines = head_lines(b"Content-Length: 4", name + b": 1")
    async with Border().serving() as border:
        await border.async_send(encode_head(lines) + b"body")
    [request] = border.target.requests
    assert not request.values(name.lower())
    assert request.request_id == ID


@pytest.mark.parametrize("method", [b"GET", b"DELETE", b"POST", b"PUT", b"OPTIONS"])
@pytest.mark.parametrize("body", [b"", b"\r\n\r\nGET /b HTTP/1.1\r\n\r\n"])
async def test_body_of_each_method_has_one_framing(method: bytes, body: bytes) -> None:
    lines = [
        method + b" /a/x HTTP/1.1",
        *head_lines()[1:],
        b"Content-Length: %d" % len(body),
    ]
    async with Border().serving() as border:
        found = await border.async_send(encode_head(lines) + body)
    assert found.startswith(b"HTTP/1.1 200")
    [request] = border.target.requests
    assert (request.method, request.body) == (method, body)
    assert not border.target.malformed


async def test_bytes_after_a_request_that_closes_do_not_drop_it() -> None:
    data = encode_head(head_lines(b"Content-Length: 4", b"Connection: close")) + b"body"
    async with Border().serving() as border:
        found = await border.async_send(data + b"\r\nGET /b HTTP/1.1\r\n")
    assert found.startswith(b"HTTP/1.1 200")
    assert [item.body for item in border.target.requests] == [b"body"]


async def test_other_name_with_underscores_is_forwarded() -> None:
    lines = head_lines(b"Content-Length: 0", b"X_Trace_Id: 1")
    async with Border().serving() as border:
        await border.async_send(encode_head(lines))
    assert border.target.requests[0].values(b"x_trace_id") == [b"1"]


async def test_answer_to_head_has_no_body() -> None:
    head = encode_head([b"HEAD /a/x HTTP/1.1", *head_lines()[1:]])
    following = encode_head(head_lines(b"Content-Length: 4")) + b"next"
    async with Border().serving() as border:
        found = await border.async_send(head + following, answers=2)
    assert [item.method for item in border.target.requests] == [b"HEAD", b"POST"]
    first, second = found.split(b"HTTP/1.1 ")[1:]
    assert first.startswith(b"200")
    assert first.endswith(b"\r\n\r\n")
    assert b"content-length" not in first
    assert second.endswith(b"\r\n\r\nnext")


@pytest.mark.parametrize(("path", "status"), [(b"/s/x", b"505"), (b"/a/x", b"200")])
async def test_stream_is_not_sent_to_a_caller_that_reads_no_chunks(
    path: bytes, status: bytes
) -> None:
    """ORDER: HTTP/1.0 has no chunks, so a broken stream looked like a complete one."""
    head = encode_head(head_lines(target_text=path)).replace(b"HTTP/1.1", b"HTTP/1.0")
    async with Border().serving() as border:
        found = await border.async_send(head)
    assert found.startswith(b"HTTP/1.1 " + status)
    assert len(border.target.requests) == (status == b"200")
