"""Test of the archive with real peer connections and the platform stand-in."""

from __future__ import annotations

import asyncio

from bench.processes import Launcher
from gypsumsail.core.clock import SystemClock
from gypsumsail.object_api.http import HttpPlatform
from gypsumsail.peers.network import WebsocketPeerNetwork
from gypsumsail.timeline.archive import TimelineArchiver
from gypsumsail.timeline.archive_reader import async_read_archive
from gypsumsail.timeline.const import ARCHIVE_BUCKET_SECONDS
from gypsumsail.timeline.filters import EventFilter
from gypsumsail.timeline.merge import merge_pages
from gypsumsail.timeline.messages import ArchivePage
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.recorder import TimelineRecorder
from gypsumsail.timeline.records import ProcessId
from tests.peers.common import async_until, entry_id, network

CLOCK = SystemClock()


def make_archiver_with_event(
    peers: WebsocketPeerNetwork, api: HttpPlatform
) -> TimelineArchiver:
    entry = peers.entry
    recorder = TimelineRecorder(
        ProcessId(name=entry.name, incarnation=entry.incarnation), CLOCK
    )
    recorder.record(Event(kind=EventKind.REQUEST_ENDED, request_id=entry.name))
    return TimelineArchiver(recorder.archive_queue, peers, api, CLOCK, entry.zone)


async def test_entry_archives_its_page_through_the_collector(
    launcher: Launcher,
) -> None:
    platform = await launcher.start_module("platform", "stand_ins.platform")
    api = HttpPlatform(platform.url)
    first, second = network(entry_id("a")), network(entry_id("b"))
    for peer_network in (first, second):
        await peer_network.async_setup()
    first.set_addresses({second.entry: second.peer_url})
    second.set_addresses({first.entry: first.peer_url})
    archivers = {
        "a": make_archiver_with_event(first, api),
        "b": make_archiver_with_event(second, api),
    }
    for peers, name in ((first, "a"), (second, "b")):
        peers.subscribe(ArchivePage, archivers[name].async_collect)
    wall = CLOCK.wall()
    collector = archivers["a"].ranked_collectors(wall)[0]
    sender = next(name for name in archivers if name != collector)

    pushed = asyncio.create_task(archivers[sender].async_push(wall))
    await async_until(lambda: bool(archivers[collector].collector.pending))
    await archivers[collector].collector.async_flush(wall)

    assert await pushed
    for archive in archivers.values():
        await archive.async_unload()
    start = wall - ARCHIVE_BUCKET_SECONDS
    found = await async_read_archive(api, start=start, end=CLOCK.wall())
    timeline = merge_pages(found.pages, EventFilter(), {})
    assert sorted(item.recorded.event.request_id for item in timeline.events) == [
        "a",
        "b",
    ]
    # The page of the sender, and the collector's own page when it was unloaded.
    assert archivers[collector].collector.write_count == 2
    for peer_network in (first, second):
        await peer_network.async_unload()
    await api.async_close()
