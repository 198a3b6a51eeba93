"""The program ``gypsumsail``."""

from __future__ import annotations

import click

from gypsumsail.cli.lazy import LazyGroup

HELP = """Serve long prompts that return, and drive what serves them.

Every flag is also a variable, named in the help of its command. Exit codes:
0 done, 1 findings or a negative answer, 2 wrong usage or settings,
3 something could not be reached, 4 somebody else changed the document.
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
    """Run a command."""
