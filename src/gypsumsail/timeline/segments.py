"""Encoding of archived pages as segments.

A segment is one value in the object API of the platform. It contains the encoded
pages of one or more entries.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
import zlib

from gypsumsail.peers.codec import decoder_for, dump, load, to_plain
from gypsumsail.peers.errors import MessageInvalidError
from gypsumsail.timeline.const import (
    ARCHIVE_BUCKET_SECONDS,
    ARCHIVE_PREFIX,
    MAX_DECOMPRESSED_PAGE_BYTES,
    MAX_SEGMENT_BYTES,
)
from gypsumsail.timeline.records import Page


def bucket_number(wall: float) -> int:
    """Return the time bucket of a number of seconds since the Unix epoch."""
    return int(wall // ARCHIVE_BUCKET_SECONDS)


def bucket_prefix(bucket: int, zone: str = "") -> str:
    """Return the key prefix of the segments of a bucket, for one zone or all zones."""
    prefix = f"{ARCHIVE_PREFIX}{bucket:012d}/"
    return f"{prefix}{zone}/" if zone else prefix


def encode_page(page: Page) -> bytes:
    """Encode a page as compressed CBOR."""
    return zlib.compress(dump(to_plain(page)))


def decode_page(data: bytes) -> Page:
    """Decode a page; raises MessageInvalidError."""
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, MAX_DECOMPRESSED_PAGE_BYTES)
    except zlib.error as err:
        raise MessageInvalidError(f"page is not valid zlib data: {err}") from err
    if not inflater.eof:
        raise MessageInvalidError("page is truncated or too large")
    page = decoder_for(Page)(load(plain))
    assert isinstance(page, Page)
    return page


def encode_segments(pages: Sequence[bytes]) -> list[bytes]:
    """Combine encoded pages, in order, into segments up to the size limit."""
    segments: list[list[bytes]] = [[]]
    size = 0
    for page in pages:
        if size + len(page) > MAX_SEGMENT_BYTES and segments[-1]:
            segments.append([])
            size = 0
        segments[-1].append(page)
        size += len(page)
    return [dump(segment) for segment in segments if segment]


def decode_segment(data: bytes) -> Iterable[bytes]:
    """Decode a segment into encoded pages; raises MessageInvalidError."""
    pages = decoder_for(tuple[bytes, ...])(load(data))
    assert isinstance(pages, tuple)
    return pages
