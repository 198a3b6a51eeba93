"""Commands that validate service documents and print their schema."""

from __future__ import annotations

from dataclasses import dataclass
import json
from pathlib import Path

import click

from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.options import output_option
from gypsumsail.cli.output import emit
from gypsumsail.core.findings import Finding
from gypsumsail.document.cross_checks import check_across_documents
from gypsumsail.document.errors import DocumentInvalidError
from gypsumsail.document.models import ServiceDocument
from gypsumsail.document.parser import parse_document


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckResult:
    """Names of the services with a valid document, and all findings."""

    services: tuple[str, ...]
    findings: tuple[Finding, ...]


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@output_option
def check(files: tuple[str, ...], output: str) -> None:
    """Validate documents and check them for conflicts with each other.

    Exit codes: 0 all documents are valid, 1 findings.
    """
    findings: list[Finding] = []
    documents: dict[str, ServiceDocument] = {}
    for file in files:
        try:
            documents[file] = parse_document(read_text(file), file)
        except DocumentInvalidError as err:
            findings += err.findings
    findings += check_across_documents(documents)
    services = tuple(document.service for document in documents.values())
    result = CheckResult(services=services, findings=tuple(findings))
    lines = [str(finding) for finding in findings]
    emit(output, result, lines or [f"valid: {', '.join(services)}"])
    raise SystemExit(ExitCode.FINDINGS if findings else ExitCode.OK)


@click.command()
@output_option
def schema(output: str) -> None:
    """Print the JSON schema of a service document.

    Exit code: 0.
    """
    from gypsumsail.document.schema import DocumentBorder

    indent = None if output == "json" else 2
    click.echo(json.dumps(DocumentBorder.model_json_schema(), indent=indent))


def read_text(file: str) -> str:
    """Return the text of a document file.

    Raises
    ------
    DocumentInvalidError
        The file cannot be read or is not UTF-8 text.
    """
    try:
        return Path(file).read_text(encoding="utf-8")
    except OSError as err:
        message = f"the file cannot be read: {err.strerror}"
    except UnicodeDecodeError:
        message = "the file is not UTF-8 text"
    raise DocumentInvalidError([Finding(place=file, message=message)])
