"""Command that shows a service document as the platform holds it."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256

import click

from gypsumsail.cli.connection import Connection, async_open, connection_options, run
from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.options import output_option
from gypsumsail.cli.output import emit
from gypsumsail.documents.codec import (
    StoredValueError,
    decode_stored,
    document_key,
)
from gypsumsail.object_api.port import PlatformObject


@dataclass(frozen=True, slots=True, kw_only=True)
class ShownDocument:
    """A document as the platform holds it.

    Attributes
    ----------
    version
        The version to name when a changed text is applied.
    """

    service: str
    version: int
    digest: str
    text: str


@click.command()
@click.argument("service")
@connection_options
@output_option
def show(service: str, connection: Connection, output: str) -> None:
    """Show the document of a service as the platform holds it.

    The text goes to the output and its version to the error output, so that the
    output can be edited and applied with --expected-version. What is in force
    is shown by "document in-force".

    Exit codes: 0 shown, 1 there is none or it can't be read, 3 the platform
    could not be asked.
    """
    found = run(_async_get(connection, service))
    if found is None or found.value is None:
        click.echo(f"there is no document of the service {service}", err=True)
        raise SystemExit(ExitCode.FINDINGS)
    try:
        shown = shown_document(service, found)
    except StoredValueError as err:
        click.echo(f"the platform's value is not a service document: {err}", err=True)
        raise SystemExit(ExitCode.FINDINGS) from None
    emit(output, shown, [shown.text.rstrip("\n")])
    if output == "text":
        click.echo(f"version {shown.version}", err=True)


def shown_document(service: str, found: PlatformObject) -> ShownDocument:
    """Return the document of an object; raises StoredValueError."""
    stored = decode_stored(found.value or b"")
    return ShownDocument(
        service=service,
        version=stored.base + found.version,
        digest=sha256(stored.text.encode()).hexdigest(),
        text=stored.text,
    )


async def _async_get(connection: Connection, service: str) -> PlatformObject | None:
    async with async_open(connection) as session:
        return await session.platform().async_get(document_key(service))
