"""Reads archived pages from the platform."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.object_api.port import ObjectApi, PlatformObject
from gypsumsail.peers.errors import MessageInvalidError
from gypsumsail.timeline.records import Page
from gypsumsail.timeline.segments import (
    bucket_number,
    bucket_prefix,
    decode_page,
    decode_segment,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ArchivedPages:
    """Pages of a time range.

    Attributes
    ----------
    unreadable
        Keys of the segments that could not be decoded, at least in part.
    """

    pages: tuple[Page, ...]
    unreadable: tuple[str, ...]


async def async_read_archive(
    api: ObjectApi, *, start: float, end: float
) -> ArchivedPages:
    """Return the pages written in the time buckets that overlap a range.

    Parameters
    ----------
    start, end
        Range in seconds since the Unix epoch. Whole buckets are read, so that the
        result may include pages written shortly before or after the range.

    Raises
    ------
    TransportError
        The platform could not be reached.
    """
    pages: list[Page] = []
    unreadable: list[str] = []
    for bucket in range(bucket_number(start), bucket_number(end) + 1):
        listing = await api.async_list(bucket_prefix(bucket))
        for segment in listing.objects:
            readable = _append_pages(segment, pages)
            if not readable:
                unreadable.append(segment.key)
    return ArchivedPages(pages=tuple(pages), unreadable=tuple(unreadable))


def _append_pages(segment: PlatformObject, pages: list[Page]) -> bool:
    """Append the pages of a segment; return whether all could be decoded."""
    try:
        encoded = decode_segment(segment.value or b"")
    except MessageInvalidError:
        return False
    readable = True
    for data in encoded:
        try:
            pages.append(decode_page(data))
        except MessageInvalidError:
            readable = False
    return readable
