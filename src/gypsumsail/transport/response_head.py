"""Checks of a response that are made before anything acts on it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

from gypsumsail.transport.errors import BrokenStreamError

MIN_STATUS: Final = 100
MAX_STATUS: Final = 599
TRANSFER_ENCODING: Final = b"transfer-encoding"
CHUNKED: Final = b"chunked"
FRAMING: Final = frozenset({b"content-length", TRANSFER_ENCODING})
NO_BODY_STATUSES: Final = frozenset({204, 304})
INTERIM_BODY: Final = "an interim response has a body"
"""Failure of a response before which bytes came that no interim one may have.

The parser reads a body wherever a length is stated. The bytes would begin the next
response (RFC 9112, 6.3), and must not become the beginning of its body.
"""


def check_status(status: int) -> None:
    """Check that a status is one of HTTP (RFC 9110, 15).

    The parsers accept any three digits. A status of no class says nothing of what
    became of the request, so the response is malformed and is not passed on.

    Raises
    ------
    BrokenStreamError
        The status is below 100 or above 599.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise BrokenStreamError(f"the response has the invalid status {status:03}")


def check_transfer_codings(values: Sequence[bytes]) -> None:
    """Check that a body comes in chunks at the most.

    No call asks for another coding, and the parsers only undo the chunks: the rest of
    the body would be passed on without the header that names its coding.

    Parameters
    ----------
    values
        Values of all ``Transfer-Encoding`` headers of a response.

    Raises
    ------
    BrokenStreamError
        The body has another coding, or several.
    """
    if values and [value.strip().lower() for value in values] != [CHUNKED]:
        raise BrokenStreamError("the response has an unknown transfer coding")


def is_interim(status: int) -> bool:
    """Return whether a status is that of an interim response (1xx)."""
    return status // 100 == 1


def has_framing(status: int, headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a response ends by itself, and not with its connection.

    Parameters
    ----------
    headers
        Names in lower case, and values.
    """
    return status in NO_BODY_STATUSES or any(name in FRAMING for name, _ in headers)


def failure_reason(err: Exception) -> str:
    """Return why a parser rejected a response.

    Parameters
    ----------
    err
        Error of the parser, whose context is the error of a callback, if one failed.
    """
    if isinstance(err.__context__, BrokenStreamError):
        return str(err.__context__)
    return "malformed HTTP response"
