"""Tests of decoding archived pages and segments from untrusted writers."""

from __future__ import annotations

from contextlib import suppress
import zlib

from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from gypsumsail.peers.codec import dump
from gypsumsail.peers.errors import MessageInvalidError
from gypsumsail.timeline.archive_reader import async_read_archive
from gypsumsail.timeline.const import MAX_DECOMPRESSED_PAGE_BYTES
from gypsumsail.timeline.recorder import TimelineRecorder
from gypsumsail.timeline.segments import bucket_prefix, decode_page, encode_page
from tests.timeline.common import FakeClock, FakeObjectApi, accepted_event, process_id


def valid_page() -> bytes:
    recorder = TimelineRecorder(process_id(), FakeClock())
    recorder.record(accepted_event())
    return encode_page(recorder.page_since(0))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=60), st.integers(0, 200), st.booleans())
def test_damaged_page_raises_only_message_invalid_error(
    damage: bytes, start: int, damage_content: bool
) -> None:
    page = valid_page()
    data = zlib.decompress(page) if damage_content else page
    damaged = data[:start] + damage + data[start + len(damage) :]
    with suppress(MessageInvalidError):
        decode_page(zlib.compress(damaged) if damage_content else damaged)


def test_page_over_the_decompressed_size_limit_is_rejected() -> None:
    with pytest.raises(MessageInvalidError, match="too large"):
        decode_page(zlib.compress(bytes(MAX_DECOMPRESSED_PAGE_BYTES + 1)))


async def test_unreadable_page_does_not_hide_readable_pages() -> None:
    api = FakeObjectApi()
    key = f"{bucket_prefix(0)}z/a-1"
    api.values[key] = (1, dump([b"damaged", valid_page()]))
    api.values[f"{key}0"] = (1, b"\xff")

    found = await async_read_archive(api, start=0.0, end=1.0)

    assert len(found.pages) == 1
    assert found.unreadable == (key, f"{key}0")
