"""Tests that timeline objects written by the previous release can be read.

A change of the encoding would make the archive unreadable. The bytes were written by
revision 6b3d19b.
"""

from __future__ import annotations

from gypsumsail.timeline.archive_reader import async_read_archive
from gypsumsail.timeline.hlc import Timestamp
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.records import Page, ProcessId, RecordedEvent
from gypsumsail.timeline.retention import ArchiveSweeper
from gypsumsail.timeline.segments import decode_page, decode_segment
from tests.timeline.common import FakeObjectApi

SEGMENT_KEY = "timeline/000000006586/z/entry-1-i1-1"
SEGMENT = bytes.fromhex(
    "825901b2789c6dd35b52e3301005502704c2233cc2d34c861a3680abbca241913b41c1961c49"
    "4e31bf548aa28a0dccae6615ec80058c9260df0e245ffa3869df56b75e9ec7a4bdfd73970e55"
    "da8e6fe25f1f7f07f3ade74114b5defebd3f44edcfd3a8f79a5b9a56e47ce2c25f863625610b"
    "63473217aa70439f4e56a7bbccc88e12de5351fadb74de698ab5a2e6f45a2c3f9b382faca7ec"
    "7ef18beee7dbb02d58bdb299154a2b3daef10e707b4361539628dc85dd822deb8e849454b21c"
    "bbe01d7053734ba3ca41ef416f43af5d574df741773616765581c207d05dd661ad4967b03dd8"
    "5dd8696da5d092f21cfe107e8fd536812d62909dc11ec1eec34e96762dc431e0010b1136a25a"
    "cc2551faf7c85849b53f81ef6df2962624d95cfaf0876c3f1a3f160c9f021f319c937014263e"
    "ad94053e033e662dae706e5c33c173c0137e173623bb36ea0bc0fe379819dd5cc225e029cb19"
    "5ec6987c1212ccd8d25f019f013fd698058d63d073464b0adf9f18a5d17c7c0d7a01aa9674ad"
    "e60fc04bf68ea4d19e9ec2463e9586bfe778007fb5c1abe28bff091fc76c2da515ee219991cd"
    "94449a1ba6af99f6aaa03c34c8b3ff072da9b017581a789c6b6b4a4fcd2b29aad4354aca3462"
    "6460f8da000041fc0674"
)
SWEEP_POSITION_KEY = "timeline-sweep/z"
SWEEP_POSITION = b"6586"
# In seconds since the Unix epoch.
SWEPT_BUCKET_START = 6_586 * 60
RETENTION_SECONDS = 7 * 86_400

EVENT_KINDS = (
    "entry.started",
    "entry.draining",
    "entry.stopped",
    "request.accepted",
    "request.refused",
    "request.sent",
    "request.resumed",
    "request.ended",
    "request.cancelled",
    "once.reserved",
    "once.ended",
    "document.in_force",
    "document.rejected",
    "document.gated",
    "lease.acquired",
    "lease.lost",
    "order.sent",
    "order.done",
    "target.leaving",
    "target.lost",
    "peer.joined",
    "peer.lost",
    "context.exported",
    "context.imported",
    "crash.verdict",
    "timeline.lost",
)
REQUEST_SENT = RecordedEvent(
    sequence=3,
    stamp=Timestamp(1_700_000_000_000, 2),
    wall_ms=1_699_999_999_500,
    event=Event(
        kind=EventKind.REQUEST_SENT,
        request_id="r1",
        customer="armor",
        service="claims",
        target="t1",
        document="claims-doc",
        version=4,
        detail="attempt 1",
    ),
)
EVENTS_OF_ALL_KINDS = tuple(
    RecordedEvent(
        sequence=4 + index,
        stamp=Timestamp(1_700_000_000_001, index),
        wall_ms=1_700_000_000_001,
        event=Event(kind=EventKind(kind)),
    )
    for index, kind in enumerate(EVENT_KINDS)
)
PAGES = (
    Page(
        process=ProcessId(name="entry-1", incarnation="i1"),
        first=2,
        last=29,
        latest=31,
        whole=False,
        events=(REQUEST_SENT, *EVENTS_OF_ALL_KINDS),
    ),
    Page(
        process=ProcessId(name="entry-2", incarnation="i2"),
        first=1,
        last=0,
        latest=0,
        whole=True,
        events=(),
    ),
)


def test_segment_of_the_previous_release_is_decoded() -> None:
    assert tuple(decode_page(page) for page in decode_segment(SEGMENT)) == PAGES


async def test_archive_of_the_previous_release_is_read() -> None:
    api = FakeObjectApi()
    api.values[SEGMENT_KEY] = (1, SEGMENT)

    found = await async_read_archive(
        api, start=SWEPT_BUCKET_START, end=SWEPT_BUCKET_START
    )

    assert found.pages == PAGES
    assert found.unreadable == ()


async def test_sweep_continues_from_the_position_of_the_previous_release() -> None:
    api = FakeObjectApi()
    api.values[SWEEP_POSITION_KEY] = (1, SWEEP_POSITION)
    api.values[SEGMENT_KEY] = (1, SEGMENT)
    sweeper = ArchiveSweeper(api, "z", 7)

    assert await sweeper.async_sweep(SWEPT_BUCKET_START + RETENTION_SECONDS) == 0
    assert SEGMENT_KEY in api.values
    assert await sweeper.async_sweep(SWEPT_BUCKET_START + RETENTION_SECONDS + 60) == 1
    assert api.values == {SWEEP_POSITION_KEY: (2, b"6587")}
