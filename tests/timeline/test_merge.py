"""Tests of recording and merging timeline events."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumsail.timeline.api_models import PageModel, page_from_model, page_to_model
from gypsumsail.timeline.const import MAX_CLOCK_LEAD_MILLISECONDS
from gypsumsail.timeline.filters import EventFilter
from gypsumsail.timeline.hlc import HybridLogicalClock, Timestamp
from gypsumsail.timeline.merge import merge_pages
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.recorder import TimelineRecorder
from tests.timeline.common import FakeClock, accepted_event, process_id

MATCH_ALL = EventFilter()


def test_causal_order_is_kept_when_clocks_differ() -> None:
    slow, fast = FakeClock(1_000.0), FakeClock(1_003.0)
    sender = TimelineRecorder(process_id("a"), fast)
    receiver = TimelineRecorder(process_id("b"), slow)
    sender.record(Event(kind=EventKind.REQUEST_SENT, request_id="r1"))
    receiver.observe(sender.timestamp())
    slow.now = 900.0
    receiver.record(Event(kind=EventKind.REQUEST_ENDED, request_id="r1"))

    timeline = merge_pages(
        [receiver.page_since(0), sender.page_since(0)], MATCH_ALL, {}
    )

    kinds = [item.recorded.event.kind for item in timeline.events]
    assert kinds == [EventKind.REQUEST_SENT, EventKind.REQUEST_ENDED]
    assert timeline.events[1].recorded.wall_ms == 900_000


def test_timestamp_too_far_ahead_is_rejected() -> None:
    clock = HybridLogicalClock()
    clock.tick(1_000)

    assert not clock.observe(Timestamp(1_001 + MAX_CLOCK_LEAD_MILLISECONDS), 1_000)
    assert clock.tick(1_001) == Timestamp(1_001)
    assert clock.rejected_count == 1


def test_missing_events_are_reported_regardless_of_the_filter() -> None:
    recorder = TimelineRecorder(process_id(), FakeClock(), capacity=3)
    pages = []
    for number in range(10):
        recorder.record(accepted_event(f"r{number}"))
        if number == 4:
            pages.append(recorder.page_since(0))
    pages.append(recorder.page_since(5))

    rows = [page_to_model(page).model_dump_json() for page in pages]
    read = [page_from_model(PageModel.model_validate_json(row)) for row in rows]
    timeline = merge_pages(read, EventFilter(request_id="r9"), {"entry-2": "refused"})

    details = [item.recorded.event.detail for item in timeline.events]
    assert details == [
        "events 1 to 2 of this process are older than what was read",
        "events 6 to 7 of this process are lost",
        "",
    ]
    assert (timeline.processes[0].earlier, timeline.processes[0].lost) == (2, 2)
    assert timeline.unreachable == {"entry-2": "refused"}


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 2), st.integers(-3, 3)), max_size=60),
    st.lists(st.integers(0, 30), max_size=6),
    st.integers(1, 20),
)
def test_every_missing_event_is_counted(
    steps: list[tuple[int, int]], cursors: list[int], capacity: int
) -> None:
    clocks = [FakeClock(1_000.0 + number) for number in range(3)]
    recorders = [
        TimelineRecorder(process_id(f"p{number}"), clock, capacity)
        for number, clock in enumerate(clocks)
    ]
    pages = []
    for index, (number, shift) in enumerate(steps):
        clocks[number].now += shift
        recorders[number].record(accepted_event(f"r{index}"))
        recorders[(number + 1) % 3].observe(recorders[number].timestamp())
        if cursors and index % 7 == 0:
            pages.append(recorders[number].page_since(cursors[index % len(cursors)], 4))
    pages += [recorder.page_since(0, 5) for recorder in recorders]

    timeline = merge_pages(pages, MATCH_ALL, {})

    for summary in timeline.processes:
        own = [item for item in timeline.events if item.process == summary.process]
        known = [
            item.recorded.sequence
            for item in own
            if item.recorded.event.kind is not EventKind.EVENTS_LOST
        ]
        assert known == sorted(set(known))
        assert len(known) + summary.earlier + summary.lost == summary.latest
        assert summary.reduced == 0
