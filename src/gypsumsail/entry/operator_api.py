"""HTTP API for operators and for the health checks of the load balancer."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import sha256
from hmac import compare_digest
from typing import Annotated, Any, Final, Protocol

from litestar import Litestar, MediaType, Response, Router, get
from litestar.connection import ASGIConnection
from litestar.datastructures import State
from litestar.exceptions import NotAuthorizedException
from litestar.handlers.base import BaseRouteHandler
from litestar.params import Parameter
from litestar.types import ControllerRouterHandler

from gypsumsail.core.clock import Clock
from gypsumsail.entry.operator_models import EntryStatus, InForce, Readiness
from gypsumsail.metrics.const import CONTENT_TYPE
from gypsumsail.timeline.api_models import PageModel, page_to_model
from gypsumsail.timeline.records import Page

BEARER: Final = "Bearer "

AnyConnection = ASGIConnection[Any, Any, Any, Any]


class StatusSource(Protocol):
    """Source of the data that the operator API returns."""

    def in_force(self, now: float) -> InForce:
        """Return the documents in force."""

    def status(self, now: float) -> EntryStatus:
        """Return the status summary of the entry."""

    def timeline(self, after: int) -> Page:
        """Return the events after a sequence number."""

    def metrics(self, now: float) -> str:
        """Return the metrics in the text exposition format."""

    def readiness(self, now: float) -> Readiness:
        """Return whether the load balancer should send requests to this entry."""


def create_operator_api(
    source: StatusSource,
    operator_key: str,
    clock: Clock,
    extra_handlers: Sequence[ControllerRouterHandler] = (),
) -> Litestar:
    """Return the ASGI application of the operator API.

    Parameters
    ----------
    operator_key
        Key that is required for all paths except ``/health`` and ``/ready``.
    extra_handlers
        Further routes, which do not require the key.
    """
    digest = sha256(operator_key.encode()).digest()

    def require_key(connection: AnyConnection, _: BaseRouteHandler) -> None:
        header = connection.headers.get("authorization", "")
        key = header.removeprefix(BEARER)
        given = sha256(key.encode()).digest()
        if not (compare_digest(given, digest) and header.startswith(BEARER)):
            raise NotAuthorizedException(detail="the operator key is missing or wrong")

    operators = Router(
        path="/",
        guards=[require_key],
        route_handlers=[in_force, status, timeline, metrics],
    )
    return Litestar(
        route_handlers=[operators, health, ready, *extra_handlers],
        state=State({"source": source, "clock": clock}),
        openapi_config=None,
        logging_config=None,
    )


@get("/operator/in-force")
async def in_force(state: State) -> InForce:
    """Return the documents in force."""
    source: StatusSource = state.source
    return source.in_force(state.clock.monotonic())


@get("/operator/status")
async def status(state: State) -> EntryStatus:
    """Return the status summary of the entry."""
    source: StatusSource = state.source
    return source.status(state.clock.monotonic())


@get("/operator/timeline")
async def timeline(
    state: State, after: Annotated[int, Parameter(ge=0)] = 0
) -> PageModel:
    """Return the timeline events after a sequence number."""
    source: StatusSource = state.source
    return page_to_model(source.timeline(after))


@get("/metrics")
async def metrics(state: State) -> Response[str]:
    """Return the metrics."""
    source: StatusSource = state.source
    text = source.metrics(state.clock.monotonic())
    return Response(content=text, media_type=CONTENT_TYPE)


@get("/health", media_type=MediaType.TEXT)
async def health() -> str:
    """Answer as long as the process is alive."""
    return "alive\n"


@get("/ready")
async def ready(state: State) -> Response[Readiness]:
    """Answer 200 if the load balancer should send requests here, else 503."""
    source: StatusSource = state.source
    readiness = source.readiness(state.clock.monotonic())
    return Response(content=readiness, status_code=200 if readiness.ready else 503)
