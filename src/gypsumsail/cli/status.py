"""Command that shows a summary of each entry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import click
from pydantic import TypeAdapter

from gypsumsail.cli.connection import (
    ConnectionOptions,
    async_open_session,
    connection_options,
    run,
)
from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.entry_queries import async_query_all, unlisted_entries
from gypsumsail.cli.options import output_option
from gypsumsail.cli.output import emit, table, unreachable_lines
from gypsumsail.entry.operator_models import EntryStatus

STATUS_TYPE: Final = TypeAdapter(EntryStatus)


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusResult:
    """Status of the entries.

    Attributes
    ----------
    unreachable
        Entries without a usable answer, and other sources that failed, by name, with
        the reason.
    """

    entries: tuple[EntryStatus, ...]
    unreachable: dict[str, str]


@click.command()
@connection_options
@output_option
def status(connection: ConnectionOptions, output: str) -> None:
    """Show a summary of every entry.

    Exit codes: 0 all entries answered, 3 some entries gave no usable answer.
    """
    result = run(_async_status(connection))
    emit(output, result, _lines(result))
    raise SystemExit(ExitCode.UNREACHABLE if result.unreachable else ExitCode.OK)


async def _async_status(connection: ConnectionOptions) -> StatusResult:
    async with async_open_session(connection) as session:
        addresses = await session.async_find_entries()
        answers = await async_query_all(
            session.entry_client,
            addresses,
            "/operator/status",
            STATUS_TYPE,
            lambda answer: answer.entry,
        )
    entries = sorted(answers.answers.values(), key=lambda item: item.entry)
    known = {*answers.unreachable, *addresses.urls, *answers.answers}
    missing = unlisted_entries(known, [peer for item in entries for peer in item.peers])
    return StatusResult(
        entries=tuple(entries), unreachable={**answers.unreachable, **missing}
    )


def _lines(result: StatusResult) -> list[str]:
    rows: list[tuple[object, ...]] = [
        ("ENTRY", "ZONE", "BUILD", "STATE", "UP S", "REQUESTS", "PLATFORM S", "DUTIES")
    ]
    for item in result.entries:
        age = item.platform_age_seconds
        rows.append(
            (
                item.entry,
                item.zone,
                item.build,
                item.state.value,
                round(item.uptime_seconds),
                item.requests,
                "never" if age is None else round(age, 1),
                ", ".join(item.duties) or "-",
            )
        )
    targets = [
        f"{item.entry} sees {target.target} ({target.service}, {target.zone}): "
        f"{target.state}, {target.requests} requests"
        for item in result.entries
        for target in item.targets
    ]
    alarms = [
        f"ALARM {item.entry}: {text}" for item in result.entries for text in item.alarms
    ]
    unreachable = unreachable_lines(result.unreachable)
    return [*table(rows), *targets, *alarms, *unreachable]
