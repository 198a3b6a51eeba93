"""Reads JSON that others write, of which some values can't be read."""

from __future__ import annotations

import json
from math import isfinite
from typing import Any, Final

INVALID: Final[Any] = [[]]
"""Stands for a value that can't be read; invalid for each field, unlike null."""
MAX_INTEGER_DIGITS: Final = 18
"""Number of digits that each integer of 64 bits may have."""


def read_json(value: bytes) -> Any:
    """Read JSON with numbers that are out of range and texts that are not Unicode.

    They are replaced by `INVALID`. The result is ``None`` if the value is malformed, or
    nested too deeply.
    """
    try:
        found = json.loads(
            value.decode(errors="surrogateescape"),
            parse_constant=lambda name: INVALID,
            parse_float=_parse_float,
            parse_int=_parse_int,
        )
        return _without_surrogates(found)
    except (ValueError, RecursionError):
        return None


def encode_json(value: Any) -> bytes:
    """Encode what `read_json` has returned."""
    return json.dumps(value, allow_nan=False).encode()


def _parse_float(text: str) -> Any:
    number = float(text)
    return number if isfinite(number) else INVALID


def _parse_int(text: str) -> Any:
    return int(text) if len(text) <= MAX_INTEGER_DIGITS else INVALID


def _without_surrogates(value: Any) -> Any:
    """Replace texts that contain lone surrogates, and drop fields with such names."""
    match value:
        case str():
            return value if _is_unicode(value) else INVALID
        case list():
            return [_without_surrogates(item) for item in value]
        case dict():
            return {
                key: _without_surrogates(item)
                for key, item in value.items()
                if _is_unicode(key)
            }
    return value


def _is_unicode(text: str) -> bool:
    return not any("\ud800" <= character <= "\udfff" for character in text)
