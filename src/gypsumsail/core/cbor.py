"""Strict decoding and validation of CBOR values from storage and messages."""

from __future__ import annotations

from collections.abc import Callable
import io
import math
from operator import itemgetter
from typing import Any, Final

import cbor2

MAX_DEPTH: Final = 16
# Tags 0 to 511, which include most tags that cbor2 decodes itself, get a decoder that
# rejects them.
REJECTED_TAG_COUNT: Final = 512


class ValueInvalidError(ValueError):
    """A value does not have the expected type, length or range."""


def load(data: bytes) -> object:
    """Decode exactly one CBOR value; raises ValueInvalidError.

    Tags are rejected, except 43000 (complex number) and 55799 (self-described CBOR),
    which cbor2 decodes itself.
    """
    stream = io.BytesIO(data)
    try:
        value = cbor2.load(
            stream,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            tag_hook=_reject_tag,
            semantic_decoders=_REJECTING_DECODERS,
        )
    except (cbor2.CBORError, ValueError, RecursionError, OverflowError) as err:
        raise ValueInvalidError(f"CBOR value was rejected: {err}") from err
    if stream.read(1):
        raise ValueInvalidError("trailing bytes after the CBOR value")
    return value


def read_list(value: object, length: int | None = None) -> list[object]:
    """Return a list, optionally of a fixed length; raises ValueInvalidError."""
    if not isinstance(value, list):
        raise ValueInvalidError("not a list")
    if length is not None and len(value) != length:
        raise ValueInvalidError(f"{len(value)} fields, expected {length}")
    return value


class RowReader:
    """Validates rows with a fixed sequence of types, such as ``RowReader(str, int)``.

    Integer fields must not be negative. All fields of a row are validated at once,
    which is faster than one check per field; hundreds of messages arrive per second.
    """

    def __init__(self, *types: type) -> None:
        self.types = types
        indices = [index for index, field_type in enumerate(types) if field_type is int]
        # With a single index, itemgetter returns the bare value instead of a tuple.
        # The index is repeated so that min() always receives a tuple.
        indices = indices * 2 if len(indices) == 1 else indices
        self._get_unsigned: Callable[[Any], Any] | None = (
            itemgetter(*indices) if indices else None
        )

    def read(self, row: object) -> list[Any]:
        """Validate and return one row; raises ValueInvalidError."""
        if type(row) is not list or tuple(map(type, row)) != self.types:
            raise ValueInvalidError("row has unexpected field types")
        if self._get_unsigned is not None and min(self._get_unsigned(row)) < 0:
            raise ValueInvalidError("row contains a negative integer")
        return row

    def read_all(self, rows: object) -> list[list[Any]]:
        """Validate and return a list of rows; raises ValueInvalidError."""
        found = read_list(rows)
        # Most lists of a gossip message are empty.
        return [self.read(row) for row in found] if found else []


def read_strings(value: object) -> list[str]:
    """Return a list of text strings; raises ValueInvalidError."""
    if type(value) is not list or not {str}.issuperset(map(type, value)):
        raise ValueInvalidError("not a list of text strings")
    return value


def read_string(value: object) -> str:
    """Return a text string; raises ValueInvalidError."""
    if not isinstance(value, str):
        raise ValueInvalidError("not a text string")
    return value


def read_bytes(value: object) -> bytes:
    """Return a byte string; raises ValueInvalidError."""
    if not isinstance(value, bytes):
        raise ValueInvalidError("not a byte string")
    return value


def read_unsigned(value: object) -> int:
    """Return a non-negative integer; raises ValueInvalidError."""
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueInvalidError("not a non-negative integer")
    return value


def read_seconds(value: object) -> float:
    """Return a finite, non-negative number of seconds; raises ValueInvalidError."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueInvalidError("not a number")
    if not math.isfinite(value) or value < 0:
        raise ValueInvalidError("not a finite, non-negative number of seconds")
    return float(value)


# cbor2 calls this as the tag hook for the tags that it does not decode itself, and
# through ``_REJECTING_DECODERS`` in place of its own decoders for tags 0 to 511.
def _reject_tag(*_: object) -> object:
    raise ValueInvalidError("tags are not allowed")


_REJECTING_DECODERS: Final = dict.fromkeys(range(REJECTED_TAG_COUNT), _reject_tag)
