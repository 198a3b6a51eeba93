"""Parses what targets say of themselves in the headers of all answers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
import math

from gypsumsail.cold_targets.const import MAX_COLD_SECONDS
from gypsumsail.cold_targets.models import ColdStatement, InvalidCold, NamedCold
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gateway.call_limit import (
    NO_LIMIT,
    InvalidLimit,
    LimitStatement,
    NamedLimit,
)
from gypsumsail.gateway.notices import NO_NOTICES, AnswerNotices
from gypsumsail.gateway.target_pause import InvalidPause, NamedPause, PauseStatement
from gypsumsail.platform import names

NOTICE_HEADERS = frozenset(
    {
        names.SERVER_LIMIT_HEADER,
        names.SERVER_LEAVING_HEADER,
        names.RETRY_AFTER_HEADER,
        names.COLD_HEADER,
    }
)
PAUSE_STATUS = 503


def parse_notices(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    headers_by_name: Mapping[bytes, bytes],
) -> AnswerNotices:
    """Parse the notices of an answer.

    Parameters
    ----------
    headers_by_name
        One value of each header.
    """
    if headers_by_name.keys().isdisjoint(NOTICE_HEADERS):
        return NO_NOTICES
    values: dict[bytes, list[bytes]] = {}
    for name, value in headers:
        if name in NOTICE_HEADERS:
            values.setdefault(name, []).append(value)
    pauses = values.get(names.RETRY_AFTER_HEADER, [])
    return AnswerNotices(
        limit=_parse_limit(values.get(names.SERVER_LIMIT_HEADER, [])),
        is_leaving=any(
            value.strip() == b"1"
            for value in values.get(names.SERVER_LEAVING_HEADER, [])
        ),
        pause=_parse_pause(pauses) if pauses and status == PAUSE_STATUS else None,
        cold=_parse_cold(values.get(names.COLD_HEADER, [])),
    )


def _parse_limit(texts: list[bytes]) -> LimitStatement:
    """Return the limit; the lowest one if the answer names several."""
    if not texts:
        return NO_LIMIT
    limits = _parse_numbers(texts)
    if limits is None:
        return InvalidLimit(text=_joined(texts))
    return NamedLimit(calls_per_second=min(limits))


def _parse_pause(texts: list[bytes]) -> PauseStatement:
    """Return the pause; the longest one if the answer names several.

    A date is not a valid pause, because the clock of the target may be wrong.
    """
    pauses = _parse_numbers(texts)
    if pauses is None:
        return InvalidPause(text=_joined(texts))
    return NamedPause(seconds=max(pauses))


def _parse_cold(texts: list[bytes]) -> ColdStatement | None:
    """Return the cold time; the longest one if the answer names several."""
    if not texts:
        return None
    times = _parse_numbers(texts)
    if times is None or max(times) > MAX_COLD_SECONDS * MILLISECONDS_PER_SECOND:
        return InvalidCold(text=_joined(texts))
    return NamedCold(seconds=max(times) / MILLISECONDS_PER_SECOND)


def _parse_numbers(texts: list[bytes]) -> list[float] | None:
    """Return finite numbers that are not negative; ``None`` if any is invalid."""
    try:
        numbers = [float(text) for text in texts]
    except ValueError:
        return None
    if not all(math.isfinite(number) and number >= 0 for number in numbers):
        return None
    return numbers


def _joined(texts: list[bytes]) -> str:
    return b", ".join(texts).decode("latin-1")
