"""Checks a routing document for the command ``vm check-document``."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
import logging
from typing import Any

import click

from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.output import emit
from gypsumsail.core.errors import TransportError
from gypsumsail.document_check.checks import check_document
from gypsumsail.document_check.differences import compare
from gypsumsail.document_check.models import (
    DecodedDocument,
    Difference,
    DocumentFinding,
    Reading,
    Severity,
)

Reader = Callable[[bytes], Reading]


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckRequest:
    """What the command has to check.

    Attributes
    ----------
    file, in_force
        Paths of the document and of the version in force; empty for none.
    fetch
        Reads the document in the store; ``None`` without a store.
    memory_bytes
        Memory of a VM; 0 if it is unknown.
    """

    file: str
    in_force: str
    fetch: Callable[[], Coroutine[Any, Any, bytes | None]] | None
    memory_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckResult:
    """Result of the command.

    Attributes
    ----------
    differences
        ``None`` if the document was not compared with a version in force.
    not_checked
        Checks that were left out, each with the reason.
    is_unreachable
        Whether the store was asked and gave no answer.
    """

    findings: tuple[DocumentFinding, ...]
    differences: tuple[Difference, ...] | None = None
    not_checked: tuple[str, ...] = ()
    is_unreachable: bool = False

    @property
    def exit_code(self) -> ExitCode:
        """Return the exit code; errors take precedence over an unreachable store."""
        if any(item.severity is Severity.ERROR for item in self.findings):
            return ExitCode.FINDINGS
        return ExitCode.UNREACHABLE if self.is_unreachable else ExitCode.OK

    def lines(self) -> list[str]:
        """Return the result as text."""
        found = [*self.findings, *(self.differences or ())]
        lines = [str(item) for item in found]
        lines += [f"not checked: {reason}" for reason in self.not_checked]
        severities = [item.severity for item in self.findings]
        summary = [f"errors: {severities.count(Severity.ERROR)}"]
        summary.append(f"warnings: {severities.count(Severity.WARNING)}")
        if self.differences is not None:
            summary.append(f"differences: {len(self.differences)}")
        return [*lines, ", ".join(summary)]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Source:
    """Bytes of a document, or the reason why there are none."""

    data: bytes | None = None
    reason: str = ""
    is_unreachable: bool = False


def run_check(request: CheckRequest, read: Reader, *, as_json: bool) -> None:
    """Check the document, print the result and exit."""
    # Without a handler, Python prints the adapters' warnings to standard error. They
    # may show the first bytes of an unreadable object, and these may be API keys.
    logging.getLogger("gypsumsail").addHandler(logging.NullHandler())
    result = _check(request, read)
    emit("json" if as_json else "text", result, result.lines())
    raise SystemExit(result.exit_code)


def _check(request: CheckRequest, read: Reader) -> CheckResult:
    stored = _fetch(request)
    document = _read_file(request.file) if request.file else stored
    if request.in_force:
        in_force = _read_file(request.in_force)
    elif request.file:
        in_force = stored
    else:
        in_force = _Source(reason="there is only one document")
    is_unreachable = document.is_unreachable or in_force.is_unreachable
    if document.data is None:
        if is_unreachable:
            return CheckResult(
                findings=(),
                not_checked=(f"document: {document.reason}",),
                is_unreachable=True,
            )
        finding = DocumentFinding(
            severity=Severity.ERROR, place="", message=document.reason
        )
        return CheckResult(findings=(finding,))
    reading = read(document.data)
    findings, not_checked = reading.findings, []
    if reading.decoded is None:
        not_checked.append("entries and limits: VMs reject the document")
    else:
        findings += check_document(reading.decoded, request.memory_bytes)
        if not request.memory_bytes:
            not_checked.append("memory of a VM: no --settings that state it")
    differences, reason = _differences(reading.decoded, in_force, read)
    if differences is None:
        not_checked.append(f"differences: {reason}")
    return CheckResult(
        findings=findings,
        differences=differences,
        not_checked=tuple(not_checked),
        is_unreachable=is_unreachable,
    )


def _fetch(request: CheckRequest) -> _Source:
    if request.fetch is None:
        return _Source(reason="neither --store nor --in-force is given")
    try:
        data = asyncio.run(request.fetch())
    except TransportError as err:
        reason = f"the store could not be reached: {err}"
        return _Source(reason=reason, is_unreachable=True)
    return _Source(
        data=data,
        reason="the store has no routing document, or its name "
        "or revision can't be read",
    )


def _differences(
    decoded: DecodedDocument | None, in_force: _Source, read: Reader
) -> tuple[tuple[Difference, ...] | None, str]:
    """Return the differences, or ``None`` and the reason."""
    if decoded is None:
        return None, "VMs reject the document"
    if in_force.data is None:
        return None, in_force.reason
    old = read(in_force.data).decoded
    if old is None:
        return None, "VMs reject the other version, so it is not in force"
    return compare(old, decoded), ""


def _read_file(path: str) -> _Source:
    try:
        with click.open_file(path, "rb") as file:
            return _Source(data=file.read())
    except OSError as err:
        message = f"the file {path} can't be read: {err.strerror}"
        raise click.UsageError(message) from None
