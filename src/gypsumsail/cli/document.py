"""Command group for service documents."""

from __future__ import annotations

import click

from gypsumsail.cli.lazy import LazyGroup


@click.group(
    cls=LazyGroup,
    import_paths={
        "apply": "gypsumsail.cli.document_apply:apply",
        "check": "gypsumsail.cli.document_check:check",
        "in-force": "gypsumsail.cli.document_in_force:in_force",
        "schema": "gypsumsail.cli.document_check:schema",
        "show": "gypsumsail.cli.document_show:show",
    },
)
def document() -> None:
    """Check, apply and inspect service documents."""
