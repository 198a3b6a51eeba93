"""Drawn requests of callers, and an independent reader of their bytes."""

from __future__ import annotations

from dataclasses import dataclass
import re
from typing import Final

from hypothesis import strategies as st

from tests.platform.common import BODY_LIMIT_BYTES, StrictRequest

_REQUEST_LINE: Final = re.compile(
    rb"([A-Z]+) +(?:(?i:http)://h\.example)?(/[\x21-\x7e]*) +HTTP/1\.[01]"
)
_FIELD: Final = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)"
)
_CHUNK: Final = re.compile(rb"([0-9A-Fa-f]+)(?:;[\t\x20-\x7e\x80-\xff]*)?")


class _Reader:
    """Reads what a caller sent; raises ``ValueError`` for all that isn't strict.

    Line ends before a request line are skipped (RFC 9112, 2.2).
    """

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def line(self) -> bytes:
        end = self.data.index(b"\r\n", self.position)
        found = self.data[self.position : end]
        self.position = end + 2
        return found

    def take(self, size: int) -> bytes:
        found = self.data[self.position : self.position + size]
        if len(found) < size:
            raise ValueError("the body is cut off")
        self.position += size
        return found

    def fields(self) -> tuple[tuple[bytes, bytes], ...]:
        found = []
        while line := self.line():
            match = _FIELD.fullmatch(line)
            if match is None:
                raise ValueError("malformed field")
            found.append((match[1], match[2].strip(b" \t")))
        return tuple(found)

    def request(self) -> StrictRequest:
        while self.data[self.position : self.position + 1] in (b"\r", b"\n"):
            self.position += 1
        first = _REQUEST_LINE.fullmatch(self.line())
        if first is None:
            raise ValueError("malformed request line")
        headers = self.fields()
        lengths = [v for k, v in headers if k.lower() == b"content-length"]
        codings = [v for k, v in headers if k.lower() == b"transfer-encoding"]
        hosts = [v for k, v in headers if k.lower() == b"host"]
        if len(lengths) + len(codings) > 1 or len(hosts) != 1:
            raise ValueError("ambiguous head")
        if codings and codings[0].lower() != b"chunked":
            raise ValueError("unknown coding")
        if lengths and re.fullmatch(rb"[0-9]+", lengths[0]) is None:
            raise ValueError("malformed length")
        if codings:
            body = self.chunks()
        else:
            body = self.take(int(lengths[0]) if lengths else 0)
        return StrictRequest(
            method=first[1], target=first[2], headers=headers, body=body
        )

    def chunks(self) -> bytes:
        body = b""
        while True:
            size = _CHUNK.fullmatch(self.line())
            if size is None or len(body) > BODY_LIMIT_BYTES:
                raise ValueError("malformed chunk size")
            if int(size[1], 16) == 0:
                self.fields()
                return body
            body += self.take(int(size[1], 16))
            if self.take(2) != b"\r\n":
                raise ValueError("malformed chunk")


def read_all_strictly(data: bytes) -> list[StrictRequest]:
    """Return the requests that a caller sent, up to the first malformed one."""
    reader = _Reader(data)
    found = []
    while reader.position < len(data):
        try:
            found.append(reader.request())
        except ValueError:
            break
    return found


@dataclass(frozen=True, slots=True, kw_only=True)
class DrawnRequest:
    """Bytes of a proper request."""

    head: tuple[bytes, ...]
    body: bytes

    @property
    def data(self) -> bytes:
        """Return the bytes as they are sent."""
        return b"\r\n".join(self.head) + b"\r\n\r\n" + self.body


SMUGGLED: Final = (
    b"GET /a/smuggled HTTP/1.1\r\nHost: h.example\r\n"
    b"Gypsumsail-Request-Id: smuggled\r\n\r\n"
)

METHODS: Final = st.sampled_from([b"GET", b"POST", b"PUT", b"DELETE", b"PATCH"])
TARGETS: Final = st.sampled_from(
    [
        b"/a/x",
        b"/a/x?q=1&q=2",
        b"/a/x?",
        b"/a//y/../%0d%0aX:%201",
        b"http://h.example/a/z?",
        b"HTTP://h.example/a/z;p?u=http://other.example/",
    ]
)
IDS: Final = st.one_of(
    st.from_regex(rb"[0-9a-f]{16}", fullmatch=True),
    st.sampled_from([b"a, b", b"\xe9\xa0", b"i" * 300, b'a;b="c"']),
)
EXTRA_FIELDS: Final = st.lists(
    st.sampled_from(
        [
            b"Connection: keep-alive",
            b"Connection: gypsumsail-request-id, host, content-length",
            b"Connection: X-Hop, transfer-encoding",
            b"X-Hop: 1",
            b"Expect: 100-continue",
            b"Connection: upgrade\r\nUpgrade: h2c",
            b"Upgrade: websocket",
            b"TE: trailers",
            b"Trailer: Gypsumsail-Request-Id",
            b"Cookie: a=b",
            b"cookie: c=d",
            b"X-Empty:",
            b"X-Bytes: \x80\xff",
            b"Gypsumsail-Tenant: forged",
            b"Gypsumsail_Tenant: forged",
            b"Gypsumsail-Target-Instance: forged",
            b"Content_Length: 99",
            b"Kv-From: forged",
            b"Gypsumsail-Cache-Salt: forged",
        ]
    ),
    max_size=5,
    unique=True,
)
BODIES: Final = st.one_of(
    st.binary(max_size=40),
    st.sampled_from([SMUGGLED, b"0\r\n\r\n" + SMUGGLED, b"\r\n" * 20, b"b" * 3_000]),
)
TRAILERS: Final = st.lists(
    st.sampled_from(
        [
            b"Gypsumsail-Request-Id: smuggled",
            b"Host: other.example",
            b"Gypsumsail-Tenant: forged",
            b"Gypsumsail-Deadline-Ms: 0",
            b"X-Checksum:",
        ]
    ),
    max_size=3,
)


@st.composite
def chunked_bodies(draw: st.DrawFn, body: bytes) -> bytes:
    """Return a body in chunks, with extensions and trailer fields."""
    encoded = b""
    while body:
        size = draw(st.integers(1, len(body)))
        text = draw(st.sampled_from([b"%x", b"%X", b"000%x"])) % size
        text += draw(st.sampled_from([b"", b";a", b";a=b", b';a="b;c"']))
        encoded += text + b"\r\n" + body[:size] + b"\r\n"
        body = body[size:]
    encoded += draw(st.sampled_from([b"0", b"000", b"0;a=b"])) + b"\r\n"
    encoded += b"".join(field + b"\r\n" for field in draw(TRAILERS))
    return encoded + b"\r\n"


@st.composite
def proper_requests(draw: st.DrawFn) -> DrawnRequest:
    """Return a request that must be served."""
    body = draw(BODIES)
    fields = [
        draw(st.sampled_from([b"Host: ", b"hOST:\t"])) + b"h.example",
        draw(st.sampled_from([b"Gypsumsail-Request-Id: ", b"gypsumsail-REQUEST-id:"]))
        + draw(IDS),
        *draw(EXTRA_FIELDS),
    ]
    if draw(st.booleans()):
        fields.append(b"Transfer-Encoding: chunked")
        body = draw(chunked_bodies(body))
    elif body or draw(st.booleans()):
        fields.append(b"Content-Length: %d" % len(body))
    fields = draw(st.permutations(fields))
    first = b"%b %b HTTP/1.1" % (draw(METHODS), draw(TARGETS))
    return DrawnRequest(head=(first, *fields), body=body)


INSERTED: Final = st.one_of(
    st.sampled_from(
        [
            b"\r",
            b"\n",
            b"\r\n",
            b"\r\n\r\n",
            b"\x00",
            b" ",
            b"\t",
            b"\r\n ",
            b":",
            b",",
            b"+",
            b"-",
            b"0",
            b"0x",
            b"f",
            b"ffffffffffffffff",
            b"_",
            b"\x7f",
            b"\x80",
            b"\r\nContent-Length: 3",
            b"\r\nContent-Length:",
            b"\r\nTransfer-Encoding: chunked",
            b"\r\nTransfer-Encoding : chunked",
            b"\r\nTransfer-Encoding: identity",
            b"\r\nHost: other.example",
            b"\r\nGypsumsail-Request-Id: smuggled",
            SMUGGLED,
            b"CONNECT h.example:80 HTTP/1.1\r\nHost: h.example\r\n\r\n",
        ]
    ),
    st.binary(min_size=1, max_size=2),
)


@st.composite
def damaged(draw: st.DrawFn, data: bytes) -> bytes:
    """Return bytes of requests after some were inserted, removed or repeated."""
    for _ in range(draw(st.integers(1, 3))):
        # Most of what matters is near the ends of lines.
        ends = [match.start() for match in re.finditer(rb"\r\n|:|;", data)] or [0]
        at = draw(st.one_of(st.sampled_from(ends), st.integers(0, len(data))))
        at = min(max(at + draw(st.integers(-1, 2)), 0), len(data))
        kind = draw(st.sampled_from(["insert", "insert", "remove", "repeat", "cut"]))
        size = draw(st.integers(1, 12))
        match kind:
            case "insert":
                data = data[:at] + draw(INSERTED) + data[at:]
            case "remove":
                data = data[:at] + data[at + size :]
            case "repeat":
                data = data[: at + size] + data[at:]
            case _:
                data = data[:at]
    return data
