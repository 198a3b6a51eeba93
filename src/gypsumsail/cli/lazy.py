"""Command group that imports its commands on first use."""

from __future__ import annotations

from collections.abc import Mapping
from importlib import import_module
from typing import Any

import click


class LazyGroup(click.Group):
    """Command group that imports its commands on first use.

    Parameters
    ----------
    import_paths
        Import path of each command by name, as ``module:attribute``.
    """

    def __init__(
        self, *args: Any, import_paths: Mapping[str, str], **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self.import_paths = dict(import_paths)

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted({*super().list_commands(ctx), *self.import_paths})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command; ``None`` when the name is unknown."""
        if cmd_name not in self.import_paths:
            return super().get_command(ctx, cmd_name)
        module, _, attribute = self.import_paths[cmd_name].partition(":")
        command = getattr(import_module(module), attribute)
        assert isinstance(command, click.Command)
        return command
