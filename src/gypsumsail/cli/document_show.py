"""Command that shows a service document as stored on the platform."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256

import click

from gypsumsail.cli.connection import (
    ConnectionOptions,
    async_open_session,
    connection_options,
    run,
)
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
    """A document as stored on the platform.

    Attributes
    ----------
    version
        Version to pass as ``--expected-version`` when an edited text is applied.
    digest
        SHA-256 digest of the text, in hexadecimal.
    """

    service: str
    version: int
    digest: str
    text: str


@click.command()
@click.argument("service")
@connection_options
@output_option
def show(service: str, connection: ConnectionOptions, output: str) -> None:
    """Show the document of a service as stored on the platform.

    In text format, the document is written to standard output and its version to
    standard error, so that the document can be edited and applied with
    --expected-version. Use "document in-force" to see which version the entries
    have in force.

    Exit codes: 0 shown, 1 the document does not exist or cannot be read, 3 the
    platform could not be reached.
    """
    found = run(_async_get(connection, service))
    if found is None or found.value is None:
        click.echo(f"no document found for the service {service}", err=True)
        raise SystemExit(ExitCode.FINDINGS)
    try:
        shown = shown_document(service, found)
    except StoredValueError as err:
        click.echo(
            f"the value stored on the platform is not a service document: {err}",
            err=True,
        )
        raise SystemExit(ExitCode.FINDINGS) from None
    emit(output, shown, [shown.text.rstrip("\n")])
    if output == "text":
        click.echo(f"version {shown.version}", err=True)


def shown_document(service: str, found: PlatformObject) -> ShownDocument:
    """Decode the document of a platform object.

    Raises
    ------
    StoredValueError
        The value of the object is not a stored document.
    """
    stored = decode_stored(found.value or b"")
    return ShownDocument(
        service=service,
        # Computed like DocumentInForce.version, which explains the base.
        version=stored.base + found.version,
        digest=sha256(stored.text.encode()).hexdigest(),
        text=stored.text,
    )


async def _async_get(
    connection: ConnectionOptions, service: str
) -> PlatformObject | None:
    async with async_open_session(connection) as session:
        return await session.platform().async_get(document_key(service))
