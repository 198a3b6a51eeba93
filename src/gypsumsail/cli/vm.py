"""Commands that run a gateway VM, and check its settings and routing document."""

from __future__ import annotations

from functools import partial
from pathlib import Path
import signal
from typing import Final

import click

from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.options import env_option, environment_variable

HEDGE_SHARE_FLAG: Final = "--hedge-share"


@click.group()
def vm() -> None:
    """Run a gateway VM; check its settings and its routing document."""


def _require_settings_path(settings: str | None) -> Path:
    from gypsumsail.platform.app import settings_path

    path = Path(settings) if settings else settings_path()
    if path is None:
        message = (
            "the path of the settings file is missing; give --settings or set the "
            "environment variable in which the platform passes it"
        )
        raise click.UsageError(message)
    return path


@vm.command()
@env_option(
    "--settings",
    help="Path of the settings file; default: the value of the environment variable "
    "that the platform sets.",
)
@env_option(
    "--metrics-port",
    type=click.IntRange(1, 65_535),
    help="Port that serves the metrics.",
)
@env_option(
    HEDGE_SHARE_FLAG,
    default="0",
    show_default=True,
    help="Second sends of slow calls that may run twice, per call: 0 (off) to 0.2.",
)
@env_option(
    "--divide-engines",
    is_flag=True,
    help="Keep engines for short prompts where long ones interfere with them.",
)
def run(
    settings: str | None,
    metrics_port: int | None,
    hedge_share: str,
    divide_engines: bool,
) -> None:
    """Run the gateway process of a VM until it receives a stop signal.

    Its settings come from the platform's settings file; the command "entry" takes
    those of an entry from flags and environment variables.

    Exit codes: 0 stopped, 2 invalid settings or no path of a settings file.
    """
    # A reload signal that arrives before its handler is installed must not end the
    # process; the settings are read after this line.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from gypsumsail.cli.event_loop import run_until_exit
    from gypsumsail.core.findings import SettingsInvalidError
    from gypsumsail.hedging.settings import check_share
    from gypsumsail.platform.app import async_run_vm
    from gypsumsail.platform.settings import load_settings

    path = _require_settings_path(settings)
    place = f"{HEDGE_SHARE_FLAG} / {environment_variable(HEDGE_SHARE_FLAG)}"
    share, findings = check_share(hedge_share, place)
    try:
        if findings:
            # Those of the file are reported with it.
            load_settings(path)
        else:
            run_until_exit(
                async_run_vm(path, metrics_port, share, divides_engines=divide_engines)
            )
    except SettingsInvalidError as err:
        findings += err.findings
    for finding in findings:
        click.echo(str(finding), err=True)
    if findings:
        raise SystemExit(ExitCode.USAGE)


@vm.command()
@env_option(
    "--settings",
    help="Path of the settings file; default: the value of the environment variable "
    "that the platform sets.",
)
def check(settings: str | None) -> None:
    """Check a settings file and print all findings.

    Exit codes: 0 no findings, 1 findings, 2 no path of a settings file.
    """
    from gypsumsail.core.findings import SettingsInvalidError
    from gypsumsail.platform.settings import load_settings

    try:
        load_settings(_require_settings_path(settings))
    except SettingsInvalidError as err:
        for finding in err.findings:
            click.echo(str(finding))
        raise SystemExit(ExitCode.FINDINGS) from None
    click.echo("no findings")


@vm.command("check-document")
@click.argument("file", default="", type=click.Path(dir_okay=False, allow_dash=True))
@env_option(
    "--store",
    default="",
    help="IP:PORT of the object store. With FILE, its document is the version in "
    "force; without FILE, it is checked.",
)
@env_option(
    "--in-force",
    default="",
    type=click.Path(dir_okay=False),
    help="File with the version in force, for the differences.",
)
@env_option(
    "--settings",
    help="Settings file of a VM, which states its memory for the check of limits.",
)
@env_option("--json", is_flag=True, help="Print the result as JSON.")
def check_document(
    file: str, store: str, in_force: str, settings: str | None, json: bool
) -> None:
    """Check a routing document before it is sent.

    FILE is JSON with the document, or with the whole object of the store that holds
    it; "-" reads standard input. Prints errors, warnings (entries without effect,
    limits that contradict each other) and the differences from the version in force.
    API keys are named by their position.

    Exit codes: 0 no errors (there may be warnings), 1 errors, 2 invalid usage, settings
    or an unreadable file, 3 no errors found, but the store could not be reached.
    """
    from gypsumsail.cli.vm_document import CheckRequest, run_check
    from gypsumsail.core.findings import SettingsInvalidError
    from gypsumsail.platform import document_check
    from gypsumsail.platform.settings import load_settings
    from gypsumsail.platform.text import parse_address

    if not file and not store:
        raise click.UsageError("give FILE or --store")
    if file and store and in_force:
        raise click.UsageError("give --store or --in-force, not both")
    address = parse_address(store)
    if store and address is None:
        raise click.UsageError("--store must have the form IP:PORT")
    try:
        memory_bytes = load_settings(Path(settings)).memory_bytes if settings else 0
    except SettingsInvalidError as err:
        raise click.UsageError(str(err)) from None
    request = CheckRequest(
        file=file,
        in_force=in_force,
        fetch=(
            partial(document_check.async_stored_document, address) if address else None
        ),
        memory_bytes=memory_bytes,
    )
    run_check(request, document_check.read_document, as_json=json)
