"""Merges the pages of several processes into one ordered timeline with its gaps."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gypsumsail.timeline.filters import EventFilter
from gypsumsail.timeline.hlc import ZERO_TIMESTAMP, Timestamp
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.records import Page, ProcessId, RecordedEvent


@dataclass(frozen=True, slots=True, kw_only=True)
class MergedEvent:
    """One event of the merged timeline and its process."""

    process: ProcessId
    recorded: RecordedEvent


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSummary:
    """Completeness of the events of one incarnation of a process.

    Attributes
    ----------
    earlier
        Number of events before the first one that was read. They were overwritten
        in the process or are older than the time range read from the archive.
    lost
        Number of events that are missing between ``earlier`` and ``latest``.
    reduced
        Number of events in ranges for which only archived pages are available.
        These pages contain only the kinds of events that are archived.
    stopped
        Whether the last event reports that the process stopped. If the process has
        not stopped and is unreachable, events after ``latest`` may also be missing.
    """

    process: ProcessId
    latest: int
    earlier: int
    lost: int
    reduced: int
    stopped: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Timeline:
    """Events of all processes in one total order.

    Attributes
    ----------
    events
        Includes a ``timeline.lost`` event for each gap, regardless of the filter.
    unreachable
        Names of the processes that could not be reached, each with the reason.
    """

    events: tuple[MergedEvent, ...]
    processes: tuple[ProcessSummary, ...]
    unreachable: dict[str, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class _SequenceRange:
    first: int
    last: int

    @property
    def size(self) -> int:
        return self.last - self.first + 1

    @property
    def is_leading(self) -> bool:
        return self.first == 1


def merge_pages(
    pages: Iterable[Page], event_filter: EventFilter, unreachable: dict[str, str]
) -> Timeline:
    """Return the events of all pages in one total order, without duplicates."""
    by_process: dict[ProcessId, list[Page]] = {}
    for page in pages:
        by_process.setdefault(page.process, []).append(page)
    events: list[MergedEvent] = []
    processes: list[ProcessSummary] = []
    for process, own_pages in sorted(by_process.items()):
        known = _events_by_sequence(own_pages)
        gaps = _find_gaps(own_pages)
        events += [
            MergedEvent(process=process, recorded=recorded)
            for recorded in known.values()
            if event_filter.matches(recorded.event)
        ]
        events += [
            MergedEvent(process=process, recorded=_gap_event(gap, known))
            for gap in gaps
        ]
        processes.append(_summarize(process, own_pages, known, gaps))
    events.sort(
        key=lambda item: (item.recorded.stamp, item.process, item.recorded.sequence)
    )
    return Timeline(
        events=tuple(events), processes=tuple(processes), unreachable=unreachable
    )


def _sort_key(item: MergedEvent) -> tuple[Timestamp, ProcessId, int]:
    return item.recorded.stamp, item.process, item.recorded.sequence


def _events_by_sequence(pages: list[Page]) -> dict[int, RecordedEvent]:
    events: dict[int, RecordedEvent] = {}
    for page in pages:
        for recorded in page.events:
            events[recorded.sequence] = recorded
    return dict(sorted(events.items()))


def _find_gaps(pages: list[Page]) -> list[_SequenceRange]:
    """Return the ranges of sequence numbers, up to the latest, that no page covers."""
    gaps: list[_SequenceRange] = []
    covered = 0
    for first, last in sorted((page.first, page.last) for page in pages):
        if last < first:
            continue
        if first > covered + 1:
            gaps.append(_SequenceRange(first=covered + 1, last=first - 1))
        covered = max(covered, last)
    latest = max(page.latest for page in pages)
    if latest > covered:
        gaps.append(_SequenceRange(first=covered + 1, last=latest))
    return gaps


def _gap_event(gap: _SequenceRange, known: dict[int, RecordedEvent]) -> RecordedEvent:
    """Return the event that represents a gap.

    It has the timestamp of the next known event, or else of the previous one, and the
    last sequence number of the gap, which orders it between these events.
    """
    before = [item for number, item in known.items() if number < gap.first]
    after = [item for number, item in known.items() if number > gap.last]
    stamp = after[0].stamp if after else before[-1].stamp if before else ZERO_TIMESTAMP
    wall_ms = after[0].wall_ms if after else before[-1].wall_ms if before else 0
    state = "older than what was read" if gap.is_leading else "lost"
    detail = f"events {gap.first} to {gap.last} of this process are {state}"
    return RecordedEvent(
        sequence=gap.last,
        stamp=stamp,
        wall_ms=wall_ms,
        event=Event(kind=EventKind.EVENTS_LOST, detail=detail),
    )


def _summarize(
    process: ProcessId,
    pages: list[Page],
    known: dict[int, RecordedEvent],
    gaps: list[_SequenceRange],
) -> ProcessSummary:
    latest = max(page.latest for page in pages)
    earlier = sum(gap.size for gap in gaps if gap.is_leading)
    lost = sum(gap.size for gap in gaps) - earlier
    # The empty page only carries ``latest``, so that the gaps extend to it.
    incomplete_ranges = _find_gaps(
        [page for page in pages if page.whole] + [_empty_page(process, latest)]
    )
    incomplete = sum(gap.size for gap in incomplete_ranges)
    last = known.get(latest)
    return ProcessSummary(
        process=process,
        latest=latest,
        earlier=earlier,
        lost=lost,
        reduced=incomplete - lost - earlier,
        stopped=last is not None and last.event.kind is EventKind.ENTRY_STOPPED,
    )


def _empty_page(process: ProcessId, latest: int) -> Page:
    return Page(process=process, first=1, last=0, latest=latest, whole=False, events=())
