"""Tests of the message codec."""

from __future__ import annotations

import cbor2
import pytest

from gypsumsail.peers.codec import dump, load, pack_message, unpack_message
from gypsumsail.peers.errors import MessageInvalidError
from tests.peers.common import TextMessage, entry_id


def test_message_round_trip_with_unknown_and_missing_fields() -> None:
    message = TextMessage(text="t", parts=(b"1", b"2"), peer=entry_id("a"))
    packed = load(dump(pack_message(message)))
    assert isinstance(packed, list)
    name, fields = packed
    assert unpack_message(name, fields) == message
    assert unpack_message(name, [*fields, "from a newer entry"]) == message
    assert unpack_message(name, fields[:1]) == TextMessage(text="t")


@pytest.mark.parametrize(
    "fields",
    [[], [1], ["t", "no list"], ["t", [1]], ["t", [], ["name only"]], {"text": "t"}],
)
def test_invalid_fields_are_rejected(fields: object) -> None:
    with pytest.raises(MessageInvalidError):
        unpack_message("test.words", fields)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        # Nested too deeply.
        b"\x81" * 40 + b"\x00",
        # Integer of more than 64 bits, which CBOR encodes with a tag.
        cbor2.dumps(10**40),
        # Unknown tag.
        cbor2.dumps(cbor2.CBORTag(6000, 1)),
        # Array of indefinite length.
        bytes.fromhex("9f01ff"),
        # Map with a duplicate key.
        bytes.fromhex("a2616101616102"),
        # Byte string that is longer than the data.
        b"\x5b" + b"\xff" * 8,
    ],
)
def test_malformed_cbor_is_rejected(data: bytes) -> None:
    with pytest.raises(MessageInvalidError):
        load(data)
