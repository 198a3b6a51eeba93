"""Strict reading of CBOR values that the platform keeps."""

from __future__ import annotations

import io
import math
from typing import Final

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
            tag_hook=_refuse_tag,
            semantic_decoders=_REFUSED_TAGS,
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


def read_text(value: object) -> str:
    """Return a text; raises ValueInvalidError."""
    if not isinstance(value, str):
        raise ValueInvalidError("not a text")
    return value


def read_bytes(value: object) -> bytes:
    """Return a byte string; raises ValueInvalidError."""
    if not isinstance(value, bytes):
        raise ValueInvalidError("not a byte string")
    return value


def read_count(value: object) -> int:
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


def _refuse_tag(*_: object) -> object:
    raise ValueInvalidError("tags are not allowed")


_REFUSED_TAGS: Final = dict.fromkeys(range(MAX_TAG), _refuse_tag)
