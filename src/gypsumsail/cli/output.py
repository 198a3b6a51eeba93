"""Output of command results as JSON or text."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import click


def emit(output: str, result: Any, lines: Iterable[str]) -> None:
    """Write a result to standard output.

    Parameters
    ----------
    output
        Output format, ``json`` or ``text``.
    result
        Data class or builtin data that is serialized as JSON.
    lines
        The result as human-readable lines.
    """
    if output == "json":
        from pydantic import RootModel

        click.echo(RootModel[Any](result).model_dump_json(indent=2))
        return
    for line in lines:
        click.echo(line)


def table(rows: Sequence[Sequence[object]]) -> list[str]:
    """Format rows as lines with aligned columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]


def unreachable_lines(unreachable: Mapping[str, str]) -> list[str]:
    """Return a line for each entry or other source without a usable answer."""
    return [f"NOT ASKED {name}: {reason}" for name, reason in unreachable.items()]
