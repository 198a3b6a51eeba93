"""Command that runs an entry."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any, Final

import click
from click.core import ParameterSource

from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.options import env_option, environment_variable

if TYPE_CHECKING:
    from gypsumsail.entry.settings import EntrySettings

_SECRET_FIELDS: Final = ("peer_secret", "operator_key")
_FIELD_BY_PARAMETER: Final = {"seed_peer": "seed_peers"}


@click.command()
@env_option("--name", help="Name of this entry.")
@env_option("--zone", help="Availability zone of this VM.")
@env_option("--region", help="Region of the zone.")
@env_option("--listen", help="IP:PORT to listen on for callers and operators.")
@env_option("--peer-listen", help="IP:PORT to listen on for the other entries.")
@env_option("--platform-url", help="URL of the platform's object API.")
@env_option(
    "--peer-secret-file", help="File that contains the secret shared by the entries."
)
@env_option("--operator-key-file", help="File that contains the operator key.")
@env_option("--seed-peer", multiple=True, help="ws://IP:PORT of an entry; repeatable.")
@env_option("--log-format", help="Log format: json or text.")
@env_option("--log-level", help="Log level: debug, info, warning or error.")
@env_option(
    "--drain-seconds", help="Maximum duration of a graceful shutdown, in seconds."
)
@env_option("--body-limit", help="Maximum size of a request body, in bytes.")
@env_option("--routing-policy", help="Policy that selects the target of a request.")
@env_option(
    "--timeline-retention-days", help="Retention period of the timeline, in days."
)
@click.pass_context
def entry(context: click.Context, /, **values: Any) -> None:
    """Run an entry until it receives a stop signal.

    An entry is a gateway process that accepts the requests of callers. This command
    takes its settings from flags and environment variables; "vm run" takes those of
    a gateway VM from a settings file.

    The secrets can also be given in the environment variables
    GYPSUMSAIL_PEER_SECRET and GYPSUMSAIL_OPERATOR_KEY.

    Exit codes: 0 stopped, 2 invalid settings.
    """
    from gypsumsail.core.findings import SettingsInvalidError
    from gypsumsail.entry.settings import load_settings

    provided, sources = _collect_settings(context, values)
    try:
        settings = load_settings(provided, sources)
    except SettingsInvalidError as err:
        for finding in err.findings:
            click.echo(str(finding), err=True)
        raise SystemExit(ExitCode.USAGE) from None
    raise SystemExit(_run(settings))


def _run(settings: EntrySettings) -> int:
    from gypsumsail.cli.event_loop import run_until_exit
    from gypsumsail.entry.app import async_run_entry

    return run_until_exit(async_run_entry(settings))


def _collect_settings(
    context: click.Context, values: dict[str, Any]
) -> tuple[dict[str, Any], dict[str, str]]:
    """Return the given values, and the source of each field for error messages.

    The source is the flag or the environment variable that set the field. For a field
    without a value it names both. A secret itself has no flag: its source is always the
    variable, also when its value comes from a file.
    """
    provided: dict[str, Any] = {}
    sources: dict[str, str] = {}
    for parameter, value in values.items():
        name = _FIELD_BY_PARAMETER.get(parameter, parameter)
        flag = "--" + parameter.replace("_", "-")
        sources[name] = f"{flag} ({environment_variable(flag)})"
        source = context.get_parameter_source(parameter)
        if source is ParameterSource.COMMANDLINE:
            sources[name] = flag
        elif source is ParameterSource.ENVIRONMENT:
            sources[name] = environment_variable(flag)
        if value not in (None, ()):
            provided[name] = value
    for name in _SECRET_FIELDS:
        variable = environment_variable(name)
        sources[name] = variable
        if variable in os.environ:
            provided[name] = os.environ[variable]
    return provided, sources
