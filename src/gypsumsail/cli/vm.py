"""Commands that run a gateway VM on Kerlann's platform."""

from __future__ import annotations

from pathlib import Path

import click

from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.options import env_option


@click.group()
def vm() -> None:
    """Run a gateway VM on a platform that provides its settings file."""


def _path(settings: str | None) -> Path:
    from gypsumsail.platform.app import settings_path

    path = Path(settings) if settings else settings_path()
    if path is None:
        message = (
            "the path of the settings file is given neither by flag nor by environment"
        )
        raise click.UsageError(message)
    return path


@vm.command()
@env_option("--settings", help="Settings file; otherwise the platform's variable.")
@env_option(
    "--metrics-port",
    type=click.IntRange(1, 65_535),
    help="Port that serves the metrics.",
)
def run(settings: str | None, metrics_port: int | None) -> None:
    """Run the gateway until it receives a stop signal.

    Exit codes: 0 stopped, 2 invalid settings.
    """
    import uvloop

    from gypsumsail.core.findings import SettingsInvalidError
    from gypsumsail.platform.app import async_run_vm

    try:
        uvloop.run(async_run_vm(_path(settings), metrics_port))
    except SettingsInvalidError as err:
        for finding in err.findings:
            click.echo(str(finding), err=True)
        raise SystemExit(ExitCode.USAGE) from None


@vm.command()
@env_option("--settings", help="Settings file; otherwise the platform's variable.")
def check(settings: str | None) -> None:
    """Check a settings file and print all findings.

    Exit codes: 0 no findings, 1 findings.
    """
    from gypsumsail.core.findings import SettingsInvalidError
    from gypsumsail.platform.settings import load_settings

    try:
        load_settings(_path(settings))
    except SettingsInvalidError as err:
        for finding in err.findings:
            click.echo(str(finding))
        raise SystemExit(ExitCode.FINDINGS) from None
    click.echo("no findings")
