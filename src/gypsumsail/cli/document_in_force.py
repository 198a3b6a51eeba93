"""Command that shows which documents are in force on the entries."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
import time
from typing import Final

import click
from pydantic import TypeAdapter

from gypsumsail.cli.connection import (
    ConnectionOptions,
    Session,
    async_open_session,
    connection_options,
    run,
)
from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.entry_queries import Answers, async_query_all, unlisted_entries
from gypsumsail.cli.options import env_option, output_option
from gypsumsail.cli.output import emit, table, unreachable_lines
from gypsumsail.entry.operator_models import DocumentStatus, InForce

IN_FORCE_PATH: Final = "/operator/in-force"
IN_FORCE_TYPE: Final = TypeAdapter(InForce)
POLL_INTERVAL_SECONDS: Final = 0.25
DIGEST_PREFIX_LENGTH: Final = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class InForceQuery:
    """Service and version that the operator asks about.

    Attributes
    ----------
    service
        Name of the service; empty selects all services.
    version
        Lowest version that counts as agreement; 0 accepts any version.
    """

    service: str
    version: int

    def selects(self, document: DocumentStatus) -> bool:
        """Return whether the query selects the document."""
        return self.service in ("", document.service)


@dataclass(frozen=True, slots=True, kw_only=True)
class InForceResult:
    """Documents in force on each entry.

    Attributes
    ----------
    unreachable
        Entries without a usable answer, and other sources that failed, by name, with
        the reason.
    agreed
        Whether all entries that answered have the same documents of the selected
        services in force, in at least the requested version and without lag or
        findings.
    """

    entries: tuple[InForce, ...]
    unreachable: dict[str, str]
    agreed: bool


@click.command("in-force")
@click.argument("service", default="")
@env_option(
    "--version", type=int, default=0, help="Lowest version that all entries must have."
)
@env_option(
    "--wait", type=float, default=0.0, help="Seconds to wait until all entries agree."
)
@connection_options
@output_option
def in_force(
    service: str, version: int, wait: float, connection: ConnectionOptions, output: str
) -> None:
    """Show the documents in force on every entry.

    Entries without a usable answer are listed with the reason.

    Exit codes: 0 all entries agree, 1 some entries differ, lag, report findings or
    have an older version than --version, 3 some entries gave no usable answer.
    """
    query = InForceQuery(service=service, version=version)
    result = run(_async_in_force(connection, query, time.monotonic() + wait))
    emit(output, result, _lines(result, query))
    raise SystemExit(exit_code_of(result))


async def _async_in_force(
    connection: ConnectionOptions, query: InForceQuery, deadline: float
) -> InForceResult:
    async with async_open_session(connection) as session:
        return await async_wait_in_force(session, query, deadline)


async def async_wait_in_force(
    session: Session, query: InForceQuery, deadline: float
) -> InForceResult:
    """Poll the entries until all agree or the deadline has passed.

    Parameters
    ----------
    deadline
        Value of ``time.monotonic()``, in seconds.
    """
    while True:
        result = evaluate_agreement(await async_read_in_force(session), query)
        done = result.agreed and not result.unreachable
        if done or time.monotonic() >= deadline:
            return result
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def async_read_in_force(session: Session) -> Answers[InForce]:
    """Query all entries for their documents in force.

    An entry that only other entries know counts as unreachable.
    """
    addresses = await session.async_find_entries()
    if not addresses.urls and not addresses.unreachable:
        addresses.unreachable["entries"] = (
            "no entry is known; give --platform-url or --entry"
        )
    answers = await async_query_all(
        session.entry_client,
        addresses,
        IN_FORCE_PATH,
        IN_FORCE_TYPE,
        lambda answer: answer.entry,
    )
    known = {*answers.unreachable, *addresses.urls, *answers.answers}
    peers = [peer for item in answers.answers.values() for peer in item.peers]
    missing = unlisted_entries(known, peers)
    return Answers(
        answers=answers.answers, unreachable={**answers.unreachable, **missing}
    )


def evaluate_agreement(answers: Answers[InForce], query: InForceQuery) -> InForceResult:
    """Return the state of the entries and whether all of them agree."""
    entries = sorted(answers.answers.values(), key=lambda item: item.entry)
    documents_by_entry = [
        {item.service: item for item in entry.documents if query.selects(item)}
        for entry in entries
    ]
    services = {service for documents in documents_by_entry for service in documents}
    if query.service:
        services.add(query.service)
    agreed = all(
        _versions_agree(
            [documents.get(service) for documents in documents_by_entry], query.version
        )
        for service in services
    )
    return InForceResult(
        entries=tuple(entries), unreachable=answers.unreachable, agreed=agreed
    )


def _versions_agree(documents: Iterable[DocumentStatus | None], version: int) -> bool:
    found = list(documents)
    known = [item for item in found if item is not None]
    if len(known) < len(found):
        return False
    if any(item.lag_versions or item.findings for item in known):
        return False
    if any(item.version < version for item in known):
        return False
    return len({(item.version, item.digest) for item in known}) <= 1


def _lines(result: InForceResult, query: InForceQuery) -> list[str]:
    rows: list[tuple[object, ...]] = [
        ("ENTRY", "ZONE", "SERVICE", "VERSION", "DIGEST", "LAG", "LAG S")
    ]
    findings: list[str] = []
    for entry in result.entries:
        documents = [item for item in entry.documents if query.selects(item)]
        if not documents:
            rows.append((entry.entry, entry.zone, "-", "-", "-", "-", "-"))
        for item in documents:
            rows.append(
                (
                    entry.entry,
                    entry.zone,
                    item.service,
                    item.version,
                    item.digest[:DIGEST_PREFIX_LENGTH],
                    item.lag_versions,
                    round(item.lag_seconds, 1),
                )
            )
            findings += [f"{entry.entry}: {finding}" for finding in item.findings]
    verdict = "agreed" if result.agreed else "NOT AGREED"
    return [
        *table(rows),
        *findings,
        *unreachable_lines(result.unreachable),
        f"{len(result.entries)} entries answered: {verdict}",
    ]


def exit_code_of(result: InForceResult) -> ExitCode:
    """Return the exit code for a result."""
    if result.unreachable:
        return ExitCode.UNREACHABLE
    return ExitCode.OK if result.agreed else ExitCode.FINDINGS
