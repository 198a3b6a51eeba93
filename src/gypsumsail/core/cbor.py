"""Strict reading of CBOR values that the platform keeps."""

from __future__ import annotations

from collections.abc import Callable
import io
import math
from operator import itemgetter
from typing import Any, Final

import cbor2

MAX_DEPTH: Final = 16
MAX_TAG: Final = 512


class ValueInvalidError(ValueError):
    """A value isn't what was expected in its place."""


def load(data: bytes) -> object:
    """Return the one plain value of CBOR bytes; raises ValueInvalidError."""
    stream = io.BytesIO(data)
    try:
        value = cbor2.load(
            stream,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            tag_hook=_reject_tag,
            semantic_decoders=_REJECTED_TAGS,
        )
    except (cbor2.CBORError, ValueError, RecursionError, OverflowError) as err:
        raise ValueInvalidError(f"bytes are not CBOR: {err}") from err
    if stream.read(1):
        raise ValueInvalidError("bytes follow the value")
    return value


def read_list(value: object, length: int | None = None) -> list[object]:
    """Return a list, of a length if one is given; raises ValueInvalidError."""
    if not isinstance(value, list):
        raise ValueInvalidError("not a list")
    if length is not None and len(value) != length:
        raise ValueInvalidError(f"{len(value)} fields, expected {length}")
    return value


class RowReader:
    """Reads rows of one shape, such as ``RowReader(str, int)``; counts are integers.

    Checks whole rows at once, for messages that come by the hundred a second.
    """

    def __init__(self, *types: type) -> None:
        self.types = types
        indices = [index for index, field_type in enumerate(types) if field_type is int]
        # A second index makes the getter return a tuple for a single count too.
        indices = indices * 2 if len(indices) == 1 else indices
        self._get_unsigned: Callable[[Any], Any] | None = (
            itemgetter(*indices) if indices else None
        )

    def read(self, row: object) -> list[Any]:
        """Return one row; raises ValueInvalidError."""
        if type(row) is not list or tuple(map(type, row)) != self.types:
            raise ValueInvalidError("not a row of the expected shape")
        if self._get_unsigned is not None and min(self._get_unsigned(row)) < 0:
            raise ValueInvalidError("not a count")
        return row

    def read_all(self, rows: object) -> list[list[Any]]:
        """Return a list of rows; raises ValueInvalidError."""
        return [self.read(row) for row in read_list(rows)]


def read_strings(value: object) -> list[str]:
    """Return a list of texts; raises ValueInvalidError."""
    if type(value) is not list or not {str}.issuperset(map(type, value)):
        raise ValueInvalidError("not a list of texts")
    return value


def read_string(value: object) -> str:
    """Return a text; raises ValueInvalidError."""
    if not isinstance(value, str):
        raise ValueInvalidError("not a text")
    return value


def read_bytes(value: object) -> bytes:
    """Return a byte string; raises ValueInvalidError."""
    if not isinstance(value, bytes):
        raise ValueInvalidError("not a byte string")
    return value


def read_unsigned(value: object) -> int:
    """Return an integer that is not negative; raises ValueInvalidError."""
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueInvalidError("not a count")
    return value


def read_seconds(value: object) -> float:
    """Return a finite time that is not negative; raises ValueInvalidError."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueInvalidError("not a number")
    if not math.isfinite(value) or value < 0:
        raise ValueInvalidError("not a time")
    return float(value)


def _reject_tag(*_: object) -> object:
    raise ValueInvalidError("tags are not allowed")


_REJECTED_TAGS: Final = dict.fromkeys(range(MAX_TAG), _reject_tag)
