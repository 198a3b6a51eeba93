"""Command-line options that can also be set by environment variables."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import click

from gypsumsail.cli.const import ENVIRONMENT_PREFIX

_CommandT = TypeVar("_CommandT", bound=Callable[..., Any])


def environment_variable(flag: str) -> str:
    """Return the name of the environment variable for a flag."""
    return ENVIRONMENT_PREFIX + flag.removeprefix("--").replace("-", "_").upper()


def env_option(flag: str, **attributes: Any) -> Callable[[_CommandT], _CommandT]:
    """Add an option that can also be set by its environment variable."""
    attributes.setdefault("show_envvar", True)
    return click.option(flag, envvar=environment_variable(flag), **attributes)


def output_option(command: _CommandT) -> _CommandT:
    """Add the option ``--output json|text``."""
    add = env_option(
        "--output",
        type=click.Choice(["json", "text"]),
        default="text",
        show_default=True,
        help="Output format.",
    )
    return add(command)
