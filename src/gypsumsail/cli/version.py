"""Command that prints the build version."""

from __future__ import annotations

import json

import click

from gypsumsail import VERSION
from gypsumsail.cli.options import output_option


@click.command()
@output_option
def version(output: str) -> None:
    """Print the version of this build.

    Exit code: 0.
    """
    if output == "json":
        click.echo(json.dumps({"version": VERSION}))
        return
    click.echo(f"gypsumsail {VERSION}")
