"""Tests of the encoding of forwarded calls."""

from __future__ import annotations

import cbor2
from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsumsail.core.cbor import ValueInvalidError
from gypsumsail.forwarding.messages import decode_forward, encode_forward
from gypsumsail.gateway.forwarding import ForwardTerms
from gypsumsail.platform.calls import parse_call
from tests.forwarding.common import caller_request

TERMS = ForwardTerms(
    service="portal", document_revision=7, max_targets=2, time_left=1.5, build="v1"
)


def test_call_arrives_as_the_caller_sent_it() -> None:
    request = caller_request("/a/x?q=1", X_Extra="1")
    found = decode_forward(encode_forward("v1", parse_call(request), TERMS))
    assert found.terms == TERMS
    assert found.sender == "v1"
    assert (found.method, found.target, found.body) == (b"POST", b"/a/x?q=1", b"body")
    assert list(found.headers) == request.headers


@pytest.mark.parametrize(
    ("index", "value"),
    [
        (7, b"GET / HTTP/1.1\r\n"),
        (8, b"/a HTTP/1.1\r\nx: y"),
        (9, [[b"x", b"1\r\n\r\nGET /b HTTP/1.1"]]),
        (9, [[b"x: 1\r\ny", b"2"]]),
        (9, [[b"", b"2"]]),
    ],
)
def test_message_can_smuggle_no_second_request(index: int, value: object) -> None:
    """No HTTP parser has checked what comes in the message."""
    fields = cbor2.loads(encode_forward("v1", parse_call(caller_request()), TERMS))
    fields[index] = value
    with pytest.raises(ValueInvalidError):
        decode_forward(cbor2.dumps(fields))


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_rejected(data: bytes) -> None:
    try:
        decode_forward(data)
    except ValueInvalidError:
        return


def test_other_format_is_rejected() -> None:
    fields = cbor2.loads(encode_forward("v1", parse_call(caller_request()), TERMS))
    fields[0] += 1
    with pytest.raises(ValueInvalidError):
        decode_forward(cbor2.dumps(fields))
