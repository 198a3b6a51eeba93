"""Connection options and HTTP clients that the commands share."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from functools import wraps
import os
from pathlib import Path
from typing import Any, TypeVar

import click
import httpx

from gypsumsail.cli.const import ExitCode
from gypsumsail.cli.entry_queries import EntryAddresses, async_find_entries
from gypsumsail.cli.options import env_option, environment_variable
from gypsumsail.object_api.http import HttpPlatform
from gypsumsail.object_api.port import ObjectApi, VmList

_ResultT = TypeVar("_ResultT")


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionOptions:
    """Addresses and credentials with which a command opens its session.

    Attributes
    ----------
    platform_url
        URL of the platform; empty when only the given entries are queried.
    entry_urls
        URLs of entries to query in addition to those in the platform's VM list.
    operator_key
        Secret that is never printed; empty when the user gave no key.
    """

    platform_url: str
    entry_urls: tuple[str, ...]
    operator_key: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """Open connections of one command.

    Attributes
    ----------
    entry_client
        HTTP client that sends the operator key; used for requests to entries only.
    object_api
        Object API of the platform; ``None`` when no platform URL was given.
    vms
        Source of the platform's VM list; ``None`` when no platform URL was given.
    """

    connection: ConnectionOptions
    entry_client: httpx.AsyncClient
    object_api: ObjectApi | None
    vms: VmList | None

    async def async_find_entries(self) -> EntryAddresses:
        """Return the addresses of all entries to query, and the sources that failed."""
        return await async_find_entries(self.vms, self.connection.entry_urls)

    def platform(self) -> ObjectApi:
        """Return the object API of the platform.

        Raises
        ------
        click.UsageError
            No platform URL was given.
        """
        if self.object_api is None:
            raise click.UsageError("this command requires --platform-url")
        return self.object_api


def connection_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the connection options to a command.

    The command receives them as one ``ConnectionOptions`` object in its
    ``connection`` argument.
    """

    @env_option("--platform-url", default="", help="URL of the platform's object API.")
    @env_option(
        "--entry",
        multiple=True,
        help="URL of an additional entry to query; repeatable.",
    )
    @env_option("--operator-key-file", help="File that contains the operator key.")
    @wraps(command)
    def wrapper(
        *args: Any,
        platform_url: str,
        entry: tuple[str, ...],
        operator_key_file: str | None,
        **values: Any,
    ) -> Any:
        connection = ConnectionOptions(
            platform_url=platform_url.rstrip("/"),
            entry_urls=entry,
            operator_key=_read_operator_key(operator_key_file),
        )
        return command(*args, connection=connection, **values)

    return wrapper


def _read_operator_key(file: str | None) -> str:
    """Return the key from the file, or else from its environment variable."""
    if file is None:
        return os.environ.get(environment_variable("operator-key"), "")
    try:
        return Path(file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError):
        raise click.UsageError(
            "the file given by --operator-key-file cannot be read"
        ) from None


@asynccontextmanager
async def async_open_session(connection: ConnectionOptions) -> AsyncIterator[Session]:
    """Open the connections of a command and close them on exit."""
    headers = {}
    if connection.operator_key:
        headers["Authorization"] = f"Bearer {connection.operator_key}"
    async with AsyncExitStack() as stack:
        entry_client = await stack.enter_async_context(
            httpx.AsyncClient(headers=headers, trust_env=False)
        )
        platform = None
        if connection.platform_url:
            platform = HttpPlatform(connection.platform_url)
            stack.push_async_callback(platform.async_close)
        yield Session(
            connection=connection,
            entry_client=entry_client,
            object_api=platform,
            vms=platform,
        )


def run(coroutine: Coroutine[Any, Any, _ResultT]) -> _ResultT:
    """Run the coroutine of a command and return its result.

    A ``TransportError`` of the platform ends the process with ``ExitCode.UNREACHABLE``.
    """
    from gypsumsail.core.errors import TransportError

    try:
        return asyncio.run(coroutine)
    except TransportError as err:
        click.echo(f"the platform could not be reached: {err}", err=True)
        raise SystemExit(ExitCode.UNREACHABLE) from None
