"""Web application of an entry: operators' routes, then all paths of callers."""

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

    Callers' requests go to the caller API as plain ASGI messages, so that no
    framework work is done for each token.
    """

    @asgi("/", is_mount=True, copy_scope=False)
    async def async_caller(scope: Scope, receive: Receive, send: Send) -> None:
        await caller_api(scope, receive, send)

    return create_operator_api(source, operator_key, clock, [async_caller])
