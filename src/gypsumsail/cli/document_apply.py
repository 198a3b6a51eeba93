"""Command that applies a service document."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
import time

import click

from gypsumsail.cli.connection import (
    ConnectionOptions,
    Session,
    async_open_session,
    connection_options,
    run,
)
from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.document_check import read_text
from gypsumsail.cli.document_in_force import (
    InForceQuery,
    InForceResult,
    async_read_in_force,
    async_wait_in_force,
    exit_code_of,
)
from gypsumsail.cli.options import env_option, output_option
from gypsumsail.cli.output import emit, unreachable_lines
from gypsumsail.core.findings import FindingsError
from gypsumsail.document.cross_checks import check_across_documents
from gypsumsail.document.errors import DocumentInvalidError
from gypsumsail.document.models import ServiceDocument
from gypsumsail.document.parser import parse_document
from gypsumsail.documents.apply import (
    Applied,
    ApplyConflict,
    ApplyUnknownError,
    async_apply,
)
from gypsumsail.documents.codec import StoredValueError, decode_stored
from gypsumsail.documents.const import DOCUMENT_PREFIX
from gypsumsail.object_api.port import PlatformObject


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyResult:
    """Result of applying a document.

    Attributes
    ----------
    not_asked
        Entries without a usable answer, and other sources that failed, by name, with
        the reason.
    in_force
        Last state read from the entries; ``None`` when the command did not wait,
        as after a conflict.
    """

    service: str
    outcome: Applied | ApplyConflict
    not_asked: dict[str, str]
    in_force: InForceResult | None


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@env_option(
    "--expected-version",
    type=int,
    help='Version that the text is based on, as printed by "document show".',
)
@env_option(
    "--wait",
    type=float,
    default=0.0,
    help="Seconds to wait until all entries have it in force.",
)
@connection_options
@output_option
def apply(
    file: str,
    expected_version: int | None,
    wait: float,
    connection: ConnectionOptions,
    output: str,
) -> None:
    """Validate a document and write it to the platform.

    Without --expected-version the service must not have a document yet. When the
    stored document has changed in the meantime, the command writes nothing and
    shows the difference.

    Exit codes: 0 applied (with --wait: in force on all entries), 1 findings, or
    not in force on all entries when the wait ended, 3 the platform could not be
    reached (standard error states when the document may have been applied), or with
    --wait some entries gave no usable answer, 4 the stored document has changed in
    the meantime.
    """
    try:
        text = read_text(file)
        document = parse_document(text, file)
        request = _ApplyRequest(
            file=file,
            document=document,
            text=text,
            expected_version=expected_version,
            wait=wait,
        )
        result = run(_async_check_and_apply(connection, request))
    except FindingsError as err:
        emit(output, {"findings": err.findings}, map(str, err.findings))
        raise SystemExit(ExitCode.FINDINGS) from None
    except ApplyUnknownError as err:
        click.echo(f"it is unknown whether the document was applied: {err}", err=True)
        raise SystemExit(ExitCode.UNREACHABLE) from None
    emit(output, result, _lines(result))
    raise SystemExit(_exit_code(result))


@dataclass(frozen=True, slots=True, kw_only=True)
class _ApplyRequest:
    file: str
    document: ServiceDocument
    text: str
    expected_version: int | None
    wait: float


async def _async_check_and_apply(
    connection: ConnectionOptions, request: _ApplyRequest
) -> ApplyResult:
    async with async_open_session(connection) as session:
        await _async_check_conflicts(session, request)
        highest_in_force, not_asked = await _async_highest_in_force(
            session, request.document.service
        )
        outcome = await async_apply(
            session.platform(),
            request.document.service,
            request.text,
            expected_version=request.expected_version,
            highest_in_force=highest_in_force,
        )
        in_force = await _async_wait_until_in_force(session, request, outcome)
    return ApplyResult(
        service=request.document.service,
        outcome=outcome,
        not_asked=not_asked,
        in_force=in_force,
    )


async def _async_check_conflicts(session: Session, request: _ApplyRequest) -> None:
    """Check the document for conflicts with those of the other services.

    Stored documents that cannot be decoded or are invalid are skipped.

    Raises
    ------
    DocumentInvalidError
        Another document defines the same service or model, or both documents belong to
        plain services and define the same path.
    """
    listing = await session.platform().async_list(DOCUMENT_PREFIX)
    others = dict(_parse_stored(listing.objects))
    others.pop(DOCUMENT_PREFIX + request.document.service, None)
    findings = check_across_documents({**others, request.file: request.document})
    own_findings = [finding for finding in findings if finding.place == request.file]
    if own_findings:
        raise DocumentInvalidError(own_findings)


def _parse_stored(
    objects: Iterable[PlatformObject],
) -> Iterable[tuple[str, ServiceDocument]]:
    for found in objects:
        try:
            stored = decode_stored(found.value or b"")
            yield found.key, parse_document(stored.text, found.key)
        except (StoredValueError, DocumentInvalidError):
            continue


async def _async_highest_in_force(
    session: Session, service: str
) -> tuple[int, dict[str, str]]:
    """Return the highest version in force and the sources that failed.

    The version is 0 when no entry has a document of the service in force. The
    entries without a usable answer and the other sources that failed are given by
    name, with the reason.
    """
    answers = await async_read_in_force(session)
    versions = [
        document.version
        for entry in answers.answers.values()
        for document in entry.documents
        if document.service == service
    ]
    return max(versions, default=0), answers.unreachable


async def _async_wait_until_in_force(
    session: Session, request: _ApplyRequest, outcome: Applied | ApplyConflict
) -> InForceResult | None:
    if request.wait <= 0 or isinstance(outcome, ApplyConflict):
        return None
    query = InForceQuery(service=request.document.service, version=outcome.version)
    return await async_wait_in_force(session, query, time.monotonic() + request.wait)


def _lines(result: ApplyResult) -> list[str]:
    lines = unreachable_lines(result.not_asked)
    match result.outcome:
        case Applied(version=version):
            lines.append(f"{result.service}: applied as version {version}")
        case ApplyConflict() as conflict:
            lines += [
                f"{result.service}: not applied, the platform has version "
                f"{conflict.version}; the difference between it and your text:",
                conflict.difference,
            ]
            if conflict.may_have_been_applied:
                lines.append("your text may have been applied and then replaced")
    if result.in_force is not None:
        lines.append(_in_force_line(result.in_force))
    return lines


def _in_force_line(result: InForceResult) -> str:
    if result.agreed and not result.unreachable:
        return f"in force on all {len(result.entries)} entries"
    unreachable_names = ", ".join(result.unreachable) or "none"
    return (
        "NOT IN FORCE EVERYWHERE when the wait ended; "
        f"no usable answer from: {unreachable_names}"
    )


def _exit_code(result: ApplyResult) -> ExitCode:
    if isinstance(result.outcome, ApplyConflict):
        return ExitCode.CONFLICT
    if result.in_force is None:
        return ExitCode.OK
    return exit_code_of(result.in_force)
