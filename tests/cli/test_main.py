"""Tests of the command tree and of the settings of ``entry``."""

from __future__ import annotations

from collections.abc import Iterator

import click
from click.testing import CliRunner

from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.main import main
from gypsumsail.cli.options import environment_variable


def commands(group: click.Group, path: str) -> Iterator[tuple[str, click.Command]]:
    context = click.Context(group)
    for name in group.list_commands(context):
        command = group.get_command(context, name)
        assert command is not None
        yield f"{path} {name}", command
        if isinstance(command, click.Group):
            yield from commands(command, f"{path} {name}")


def test_every_flag_has_environment_variable_and_every_command_has_help() -> None:
    for path, command in commands(main, "gypsumsail"):
        assert command.help, path
        for parameter in command.params:
            if isinstance(parameter, click.Option):
                flag = parameter.opts[0]
                assert parameter.envvar == environment_variable(flag), (path, flag)


def test_entry_reports_all_invalid_settings_without_starting() -> None:
    result = CliRunner().invoke(
        main,
        ["entry", "--listen", "nowhere"],
        env={"GYPSUMSAIL_ZONE": "NOT A ZONE", "GYPSUMSAIL_PEER_SECRET": "tiny"},
    )

    assert result.exit_code == ExitCode.USAGE
    for place in ("--listen:", "GYPSUMSAIL_ZONE:", "GYPSUMSAIL_PEER_SECRET:"):
        assert place in result.stderr
    assert "--name (GYPSUMSAIL_NAME):" in result.stderr
    assert "tiny" not in result.stderr
