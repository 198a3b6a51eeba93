"""Web application of an entry: operator routes, and all other paths for callers."""

from __future__ import annotations

from litestar import Litestar, asgi
from litestar.types import Receive, Scope, Send

from gypsumsail.core.clock import Clock
from gypsumsail.entry.caller_api import CallerApi
from gypsumsail.entry.operator_api import StatusSource, create_operator_api


def make_web_app(
    caller_api: CallerApi, source: StatusSource, operator_key: str, clock: Clock
) -> Litestar:
    """Return the application.

    Requests of callers are passed to the caller API as plain ASGI messages, which
    avoids framework overhead for each token.
    """

    @asgi("/", is_mount=True, copy_scope=False)
    async def async_caller(scope: Scope, receive: Receive, send: Send) -> None:
        await caller_api(scope, receive, send)

    return create_operator_api(source, operator_key, clock, [async_caller])
