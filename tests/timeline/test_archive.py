"""Tests of archiving timeline events."""

from __future__ import annotations

import asyncio

from gypsumsail.peers.port import EntryId
from gypsumsail.timeline.archive import TimelineArchiver
from gypsumsail.timeline.archive_queue import ArchiveQueue
from gypsumsail.timeline.archive_reader import async_read_archive
from gypsumsail.timeline.const import SECONDS_PER_DAY
from gypsumsail.timeline.filters import EventFilter
from gypsumsail.timeline.merge import Timeline, merge_pages
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.recorder import TimelineRecorder
from gypsumsail.timeline.retention import ArchiveSweeper
from gypsumsail.timeline.segments import bucket_number, bucket_prefix
from tests.timeline.common import (
    FakeClock,
    FakeObjectApi,
    FakePeers,
    accepted_event,
    process_id,
)

# In seconds since the Unix epoch.
WALL = 1_000_000.0
ENDED = Event(kind=EventKind.REQUEST_ENDED, request_id="r1")


class Zone:
    """Entries of one zone with their archivers."""

    def __init__(self, *names: str) -> None:
        self.api = FakeObjectApi()
        self.network: dict[str, FakePeers] = {}
        self.clock = FakeClock(WALL)
        self.recorders: dict[str, TimelineRecorder] = {}
        self.archivers: dict[str, TimelineArchiver] = {}
        for name in names:
            self.add(name)

    def add(self, name: str) -> None:
        peers = FakePeers(EntryId(name=name, incarnation="1", zone="z"), self.network)
        recorder = TimelineRecorder(process_id(name), self.clock)
        archive = TimelineArchiver(
            recorder.archive_queue, peers, self.api, self.clock, "z"
        )
        peers.subscribe(None, archive.async_collect)
        self.recorders[name] = recorder
        self.archivers[name] = archive

    async def push_and_flush(self) -> list[bool]:
        pushes = [
            asyncio.create_task(archive.async_push(WALL))
            for archive in self.archivers.values()
        ]
        # Lets the pages reach the buffer of the collector.
        for _ in range(5):
            await asyncio.sleep(0)
        for archive in self.archivers.values():
            await archive.collector.async_flush(WALL)
        return await asyncio.gather(*pushes)

    async def read(self) -> Timeline:
        archived = await async_read_archive(self.api, start=WALL - 60, end=WALL)
        assert not archived.unreadable
        return merge_pages(archived.pages, EventFilter(), {})


async def test_one_write_archives_a_zone_despite_a_lost_response() -> None:
    zone = Zone("a", "b", "c")
    for recorder in zone.recorders.values():
        recorder.record(accepted_event())
        recorder.record(ENDED)
    zone.api.lose_answers = 1

    assert await zone.push_and_flush() == [True, True, True]

    assert len(zone.api.values) == 1
    timeline = await zone.read()
    assert [item.recorded.event for item in timeline.events] == [ENDED] * 3
    assert [(item.lost, item.reduced) for item in timeline.processes] == [(0, 2)] * 3
    assert await zone.push_and_flush() == [False, False, False]


async def test_events_are_archived_after_an_outage_and_unreachable_collectors() -> None:
    zone = Zone("a", "b", "c")
    zone.recorders["a"].record(ENDED)
    zone.api.unavailable = True
    assert await zone.push_and_flush() == [False, False, False]
    zone.api.unavailable = False
    for name in ("b", "c"):
        zone.network[name].unreachable = True

    results = [(await zone.push_and_flush())[0] for _ in range(3)]

    # Each failure moves on to the next collector; only "a" itself can write the page.
    assert results.count(True) == 1
    timeline = await zone.read()
    assert [item.recorded.event for item in timeline.events] == [ENDED]


async def test_graceful_shutdown_archives_the_last_events() -> None:
    zone = Zone("a")
    await zone.archivers["a"].async_setup()
    zone.recorders["a"].record(Event(kind=EventKind.ENTRY_STOPPED))

    await zone.archivers["a"].async_unload()

    timeline = await zone.read()
    assert timeline.processes[0].stopped


def test_events_dropped_by_the_queue_are_reported_as_lost() -> None:
    recorder = TimelineRecorder(process_id(), FakeClock())
    recorder.archive_queue = ArchiveQueue(recorder.process, capacity=2)
    for _ in range(5):
        recorder.record(accepted_event())
        recorder.record(ENDED)

    page = recorder.archive_queue.next_page()

    assert page is not None
    before = recorder.page_since(0, 3)
    timeline = merge_pages([before, page], EventFilter(), {})
    # ``before`` covers events 1 to 3, and the page of the queue covers events 7 to 10.
    assert (timeline.processes[0].earlier, timeline.processes[0].lost) == (0, 3)
    kinds = [item.recorded.event.kind for item in timeline.events]
    assert kinds.count(EventKind.EVENTS_LOST) == 1


async def test_sweep_with_a_clock_far_ahead_deletes_few_buckets() -> None:
    api = FakeObjectApi()
    sweeper = ArchiveSweeper(api, "z", 7)
    await sweeper.async_sweep(WALL)
    first = int(api.values[sweeper.position_key][1])
    assert first == bucket_number(WALL - 7 * SECONDS_PER_DAY)
    for bucket in range(first, first + 10):
        api.values[f"{bucket_prefix(bucket, 'z')}a-1"] = (1, b"")

    assert await sweeper.async_sweep(WALL) == 0
    assert await sweeper.async_sweep(WALL + 60) == 1
    assert await sweeper.async_sweep(WALL + 700 * SECONDS_PER_DAY) == 2
    # The position, and 7 of 10 segments.
    assert len(api.values) == 1 + 7
