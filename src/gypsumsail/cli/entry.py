"""Command that runs an entry."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any, Final

import click
from click.core import ParameterSource

from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.options import setting, variable_of

if TYPE_CHECKING:
    from gypsumsail.entry.settings import EntrySettings

_SECRETS: Final = ("peer_secret", "operator_key")
_RENAMED: Final = {"seed_peer": "seed_peers"}


@click.command()
@setting("--name", help="Name of this entry.")
@setting("--zone", help="Availability zone of this VM.")
@setting("--region", help="Region of the zone.")
@setting("--listen", help="IP:PORT for callers and operators.")
@setting("--peer-listen", help="IP:PORT for the other entries.")
@setting("--platform-url", help="URL of the platform's object API.")
@setting("--peer-secret-file", help="File with the secret of the entries.")
@setting("--operator-key-file", help="File with the operators' key.")
@setting("--seed-peer", multiple=True, help="ws://IP:PORT of an entry; repeatable.")
@setting("--log-format", help="json or text.")
@setting("--log-level", help="debug, info, warning or error.")
@setting("--drain-seconds", help="Longest wait of a graceful shutdown.")
@setting("--body-limit", help="Bytes of the largest request body.")
@setting("--routing-policy", help="Policy that chooses targets.")
@setting("--timeline-retention-days", help="Days that the time line is kept.")
@click.pass_context
def entry(context: click.Context, /, **values: Any) -> None:
    """Run an entry until it is told to stop.

    The secrets may also stand in the variables GYPSUMSAIL_PEER_SECRET and
    GYPSUMSAIL_OPERATOR_KEY. Exit codes: 0 stopped, 2 bad settings.
    """
    from gypsumsail.core.findings import SettingsInvalidError
    from gypsumsail.entry.settings import load_settings

    given, places = _collect(context, values)
    try:
        settings = load_settings(given, places)
    except SettingsInvalidError as err:
        for finding in err.findings:
            click.echo(str(finding), err=True)
        raise SystemExit(ExitCode.USAGE) from None
    raise SystemExit(_run(settings))


def _run(settings: EntrySettings) -> int:
    import uvloop

    from gypsumsail.entry.app import async_run_entry

    return uvloop.run(async_run_entry(settings))


def _collect(
    context: click.Context, values: dict[str, Any]
) -> tuple[dict[str, Any], dict[str, str]]:
    """Return what was given, and the flag or variable of each field."""
    given: dict[str, Any] = {}
    places: dict[str, str] = {}
    for parameter, value in values.items():
        name = _RENAMED.get(parameter, parameter)
        flag = "--" + parameter.replace("_", "-")
        places[name] = f"{flag} ({variable_of(flag)})"
        source = context.get_parameter_source(parameter)
        if source is ParameterSource.COMMANDLINE:
            places[name] = flag
        elif source is ParameterSource.ENVIRONMENT:
            places[name] = variable_of(flag)
        if value not in (None, ()):
            given[name] = value
    for name in _SECRETS:
        variable = variable_of(name)
        places[name] = variable
        if variable in os.environ:
            given[name] = os.environ[variable]
    return given, places
