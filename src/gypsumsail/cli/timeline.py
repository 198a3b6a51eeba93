"""Command that shows the merged timeline of all processes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from datetime import UTC, datetime
import time
from typing import Final

import click
import httpx
from pydantic import TypeAdapter

from gypsumsail.cli.connection import (
    ConnectionOptions,
    Session,
    async_open_session,
    connection_options,
    run,
)
from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.entry_queries import EntryAddresses, async_query
from gypsumsail.cli.options import env_option, output_option
from gypsumsail.cli.output import emit, unreachable_lines
from gypsumsail.core.errors import TransportError
from gypsumsail.timeline.api_models import (
    EventModel,
    PageModel,
    event_to_model,
    page_from_model,
)
from gypsumsail.timeline.const import MILLISECONDS_PER_SECOND
from gypsumsail.timeline.filters import EventFilter
from gypsumsail.timeline.merge import MergedEvent, ProcessSummary, Timeline, merge_pages
from gypsumsail.timeline.records import Page

PAGE_TYPE: Final = TypeAdapter(PageModel)
MAX_PAGES_PER_ENTRY: Final = 1_000
SECONDS_PER_MINUTE: Final = 60


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessEvent:
    """An event and the process that recorded it."""

    process: str
    incarnation: str
    event: EventModel


@dataclass(frozen=True, slots=True, kw_only=True)
class ArchiveSpan:
    """Time range of the archive to read, in seconds since the Unix epoch."""

    start: float
    end: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TimelineResult:
    """The merged timeline and its gaps.

    Attributes
    ----------
    unreachable
        Entries without a usable answer, and other sources that failed, by name, with
        the reason.
    unreadable
        Keys of archive objects that could not be decoded.
    """

    events: tuple[ProcessEvent, ...]
    processes: tuple[ProcessSummary, ...]
    unreachable: dict[str, str]
    unreadable: tuple[str, ...]


@click.command()
@env_option("--request", default="", help="Only events of this request.")
@env_option("--customer", default="", help="Only events of this customer.")
@env_option("--target", default="", help="Only events of this target.")
@env_option("--document", default="", help="Only events of this service's document.")
@env_option(
    "--archive-minutes",
    default=0,
    type=int,
    help="Minutes of the archive to read as well.",
)
@env_option(
    "--archive-end",
    type=click.DateTime(["%Y-%m-%dT%H:%M:%S"]),
    help="End of that archive range, in UTC; default: now.",
)
@connection_options
@output_option
def timeline(
    request: str,
    customer: str,
    target: str,
    document: str,
    archive_minutes: int,
    archive_end: datetime | None,
    connection: ConnectionOptions,
    output: str,
) -> None:
    """Show the events of all processes, merged into one sequence.

    Exit codes: 0 all sources were read and no event is lost, 1 events are lost,
    3 some sources could not be queried or read.
    """
    event_filter = EventFilter(
        request_id=request, customer=customer, target=target, document=document
    )
    end = time.time()
    if archive_end is not None:
        end = archive_end.replace(tzinfo=UTC).timestamp()
    archive_span = ArchiveSpan(
        start=end - archive_minutes * SECONDS_PER_MINUTE, end=end
    )
    result = run(_async_timeline(connection, event_filter, archive_span))
    emit(output, result, _lines(result))
    raise SystemExit(_exit_code(result))


async def _async_timeline(
    connection: ConnectionOptions, event_filter: EventFilter, archive_span: ArchiveSpan
) -> TimelineResult:
    async with async_open_session(connection) as session:
        addresses = await session.async_find_entries()
        pages, unreachable = await _async_fetch_live_pages(session, addresses)
        unreadable: tuple[str, ...] = ()
        if archive_span.start < archive_span.end:
            archived, unreadable = await _async_fetch_archived_pages(
                session, archive_span, unreachable
            )
            pages += archived
    return _to_result(merge_pages(pages, event_filter, unreachable), unreadable)


async def _async_fetch_live_pages(
    session: Session, addresses: EntryAddresses
) -> tuple[list[Page], dict[str, str]]:
    unreachable = dict(addresses.unreachable)
    results = await asyncio.gather(
        *(
            _async_fetch_pages(session.entry_client, url)
            for url in addresses.urls.values()
        )
    )
    pages: list[Page] = []
    for name, (entry_pages, reason) in zip(addresses.urls, results, strict=True):
        pages += entry_pages
        answered_as = entry_pages[0].process.name if entry_pages else name
        failure = reason or addresses.mismatch_reason(name, answered_as)
        if failure:
            unreachable[name] = failure
    return pages, unreachable


async def _async_fetch_pages(
    client: httpx.AsyncClient, url: str
) -> tuple[list[Page], str]:
    """Return the pages of one entry, and why reading failed.

    The reason is empty when all pages were read. ``after`` is the sequence number of
    the last event read so far, ``page.last`` that of the last event on the page, and
    ``page.latest`` that of the last event that the process has recorded.
    """
    pages: list[Page] = []
    after = 0
    for _ in range(MAX_PAGES_PER_ENTRY):
        page_url = f"{url}/operator/timeline?after={after}"
        answer = await async_query(client, page_url, PAGE_TYPE)
        if isinstance(answer, str):
            return pages, answer
        page = page_from_model(answer)
        pages.append(page)
        if page.last >= page.latest or page.last <= after:
            return pages, ""
        after = page.last
    return pages, f"has more than {MAX_PAGES_PER_ENTRY} pages; the rest was not read"


async def _async_fetch_archived_pages(
    session: Session, archive_span: ArchiveSpan, unreachable: dict[str, str]
) -> tuple[list[Page], tuple[str, ...]]:
    from gypsumsail.timeline.archive_reader import async_read_archive

    api = session.platform()
    try:
        archived = await async_read_archive(
            api, start=archive_span.start, end=archive_span.end
        )
    except TransportError as err:
        unreachable["archive"] = str(err) or err.code
        return [], ()
    return list(archived.pages), archived.unreadable


def _to_result(merged: Timeline, unreadable: tuple[str, ...]) -> TimelineResult:
    return TimelineResult(
        events=tuple(_to_process_event(item) for item in merged.events),
        processes=merged.processes,
        unreachable=merged.unreachable,
        unreadable=unreadable,
    )


def _to_process_event(item: MergedEvent) -> ProcessEvent:
    return ProcessEvent(
        process=item.process.name,
        incarnation=item.process.incarnation,
        event=event_to_model(item.recorded),
    )


def _lines(result: TimelineResult) -> list[str]:
    return [
        *(_event_line(item) for item in result.events),
        *(_process_line(process) for process in result.processes),
        *unreachable_lines(result.unreachable),
        *(f"NOT READABLE {key}" for key in result.unreadable),
    ]


def _event_line(item: ProcessEvent) -> str:
    row = item.event
    recorded_at = datetime.fromtimestamp(row.stamp_ms / MILLISECONDS_PER_SECOND, UTC)
    time_text = recorded_at.isoformat(timespec="milliseconds").removesuffix("+00:00")
    fields = {
        "request": row.request,
        "customer": row.customer,
        "service": row.service,
        "target": row.target,
        "document": row.document,
        "version": row.version,
        "detail": row.detail,
    }
    shown = " ".join(f"{name}={value}" for name, value in fields.items() if value)
    return (
        f"{time_text}Z {item.process}#{row.sequence} {row.kind.value} {shown}".rstrip()
    )


def _process_line(item: ProcessSummary) -> str:
    text = f"{item.process.name} ({item.process.incarnation}): {item.latest} events"
    if item.earlier:
        text += f", {item.earlier} older than what was read"
    if item.lost:
        text += f", {item.lost} LOST"
    if item.reduced:
        text += f", {item.reduced} reduced to the kinds of events that are archived"
    return f"{text}, stopped" if item.stopped else text


def _exit_code(result: TimelineResult) -> ExitCode:
    if result.unreachable or result.unreadable:
        return ExitCode.UNREACHABLE
    if any(process.lost for process in result.processes):
        return ExitCode.FINDINGS
    return ExitCode.OK
