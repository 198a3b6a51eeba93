"""Entry point of the ``gypsumsail`` program."""

from __future__ import annotations

import click

from gypsumsail.cli.lazy import LazyGroup

HELP = """Route requests with long, recurring prompts and manage their targets.

An entry is a gateway process that accepts the requests of callers.

Every flag can also be set by an environment variable, which the help of the
command names.

Exit codes: 0 success, 1 findings or a negative result, 2 invalid usage or
settings, 3 the platform or an entry could not be reached, 4 the document has
changed in the meantime.
"""


@click.group(
    cls=LazyGroup,
    help=HELP,
    import_paths={
        "document": "gypsumsail.cli.document:document",
        "entry": "gypsumsail.cli.entry:entry",
        "status": "gypsumsail.cli.status:status",
        "timeline": "gypsumsail.cli.timeline:timeline",
        "version": "gypsumsail.cli.version:version",
        "vm": "gypsumsail.cli.vm:vm",
    },
)
def main() -> None:
    """Dispatch to the commands of the program."""
