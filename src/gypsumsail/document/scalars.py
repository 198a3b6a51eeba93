"""Plain YAML scalars, resolved by the core schema of YAML 1.2."""

from __future__ import annotations

import re
from typing import Final

_NULLS: Final = frozenset({"", "~", "null", "Null", "NULL"})
_BOOLEANS: Final = {
    "true": True,
    "True": True,
    "TRUE": True,
    "false": False,
    "False": False,
    "FALSE": False,
}
_INT: Final = re.compile(r"[-+]?[0-9]{1,18}")
_OCTAL: Final = re.compile(r"0o[0-7]{1,20}")
_HEXADECIMAL: Final = re.compile(r"0x[0-9a-fA-F]{1,16}")
_FLOAT: Final = re.compile(
    r"[-+]?(\.[0-9]{1,20}|[0-9]{1,20}(\.[0-9]{0,20})?)([eE][-+]?[0-9]{1,3})?"
)
_NON_FINITE: Final = re.compile(r"[-+]?\.(inf|Inf|INF)|\.(nan|NaN|NAN)")

Scalar = str | int | float | bool | None


def read_plain_scalar(text: str) -> Scalar:
    """Return the value of a scalar without quotes.

    The patterns above allow more digits than a document needs. A longer number is
    returned as a string, which the schema then rejects.
    """
    if text in _NULLS:
        return None
    if text in _BOOLEANS:
        return _BOOLEANS[text]
    if _INT.fullmatch(text):
        return int(text)
    if _OCTAL.fullmatch(text):
        return int(text[2:], 8)
    if _HEXADECIMAL.fullmatch(text):
        return int(text[2:], 16)
    if _FLOAT.fullmatch(text):
        return float(text)
    if _NON_FINITE.fullmatch(text):
        return float(text.replace(".", "", 1))
    return text
