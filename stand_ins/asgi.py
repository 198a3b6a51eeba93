"""Minimal ASGI application that the stand-ins share."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from dataclasses import dataclass, field
import json
import re
from typing import Any, Final
from urllib.parse import parse_qsl

from stand_ins.faults import Faults

MAX_BODY_BYTES: Final = 8 * 1024 * 1024
ABORT_EXTENSION: Final = "stand_in.abort"

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class HttpError(Exception):
    """Makes the application respond with an error status."""

    def __init__(
        self, status: int, body: object = None, *, headers: dict[str, str] | None = None
    ) -> None:
        super().__init__(status)
        self.status = status
        self.body = body
        self.headers = headers or {}


class DisconnectedError(Exception):
    """The client disconnected before it had sent its whole request body."""


class AbortResponseError(Exception):
    """Makes the server reset the connection before the response is complete."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One HTTP request with its complete body.

    Attributes
    ----------
    path_values
        Values of the placeholders in the route's path, by name.
    """

    method: str
    path: str
    path_values: dict[str, str]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object.

        Raises
        ------
        HttpError
            The body is not a JSON object (status 400).
        """
        try:
            value = json.loads(self.body or b"{}")
        except ValueError:
            raise HttpError(400, {"error": "json"}) from None
        if not isinstance(value, dict):
            raise HttpError(400, {"error": "json"})
        return value


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """One HTTP response; ``stream``, if set, is sent instead of ``body``."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)
    stream: AsyncIterator[bytes] | None = None


def json_response(value: object, *, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status=status, body=json.dumps(value).encode())


Handler = Callable[[Request], Awaitable[Response]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A method and a path pattern with their handler; ``*`` matches any method."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


class App:
    """ASGI application of a stand-in, including its control endpoint.

    Attributes
    ----------
    counters
        Function that returns the counters that ``GET /control`` lists.
    startup_hooks, shutdown_hooks
        Coroutine functions to run when the server starts and stops.
    """

    def __init__(self, faults: Faults, counters: Callable[[], dict[str, Any]]) -> None:
        self.faults = faults
        self.counters = counters
        self.routes: list[Route] = []
        self.startup_hooks: list[Callable[[], Awaitable[None]]] = []
        self.shutdown_hooks: list[Callable[[], Awaitable[None]]] = []
        self.add("GET", "/control", self.show_control)
        self.add("POST", "/control", self.change_control)

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Add a route; ``{name}`` matches one path segment, ``{name*}`` the rest."""
        pattern = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.+)", path)
        pattern = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)
        route = Route(method=method, pattern=re.compile(pattern), handler=handler)
        self.routes.append(route)

    async def show_control(self, request: Request) -> Response:
        """Return the active faults and the counters."""
        return json_response(
            {"faults": self.faults.active, "counters": self.counters()}
        )

    async def change_control(self, request: Request) -> Response:
        """Activate or deactivate a fault."""
        self.faults.change(request.json())
        return await self.show_control(request)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI scope; types other than lifespan and HTTP are ignored."""
        if scope["type"] == "lifespan":
            await self.serve_lifespan(receive, send)
            return
        if scope["type"] == "http":
            await self.serve_http(scope, receive, send)

    async def serve_lifespan(self, receive: Receive, send: Send) -> None:
        """Run the hooks when the server starts and stops."""
        while True:
            message = await receive()
            starting = message["type"] == "lifespan.startup"
            for hook in self.startup_hooks if starting else self.shutdown_hooks:
                await hook()
            await send({"type": f"{message['type']}.complete"})
            if not starting:
                return

    async def serve_http(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Respond to one request; the active faults apply to all but ``/control``."""
        abort = scope["extensions"][ABORT_EXTENSION]["abort"]
        control = scope["path"].startswith("/control")
        try:
            if not control:
                await self.faults.delay_call()
            response = await self.dispatch(scope, receive)
            if not control and self.faults.drops_response():
                abort()
                return
            await send_response(response, send)
        except (DisconnectedError, AbortResponseError):
            abort()

    async def dispatch(self, scope: Scope, receive: Receive) -> Response:
        """Run the handler of the request's route and return its response."""
        try:
            if self.faults.on("outage") and not scope["path"].startswith("/control"):
                raise HttpError(503, {"error": "outage"})
            route, values = self.find_route(scope["method"], scope["path"])
            request = Request(
                method=scope["method"],
                path=scope["path"],
                path_values=values,
                query=dict(parse_qsl(scope["query_string"].decode())),
                headers={k.decode().lower(): v.decode() for k, v in scope["headers"]},
                body=await read_body(receive),
            )
            return await route.handler(request)
        except HttpError as error:
            return Response(
                status=error.status,
                body=json.dumps(error.body).encode(),
                headers=error.headers,
            )

    def find_route(self, method: str, path: str) -> tuple[Route, dict[str, str]]:
        """Return the first matching route and the values of its placeholders.

        Raises
        ------
        HttpError
            No route matches (status 404).
        """
        for route in self.routes:
            if route.method not in (method, "*"):
                continue
            if match := route.pattern.fullmatch(path):
                return route, match.groupdict()
        raise HttpError(404, {"error": "path"})


async def read_body(receive: Receive) -> bytes:
    """Return the complete request body.

    Raises
    ------
    DisconnectedError
        The client disconnected before the end of the body.
    HttpError
        The body is larger than ``MAX_BODY_BYTES`` (status 413).
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise DisconnectedError
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise HttpError(413, {"error": "size"})
        chunks.append(chunk)
        if not message.get("more_body"):
            return b"".join(chunks)


async def send_response(response: Response, send: Send) -> None:
    """Send a response, either in one piece or as a stream of chunks."""
    headers = {"content-type": response.content_type, **response.headers}
    if response.stream is None:
        headers["content-length"] = str(len(response.body))
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
        }
    )
    if response.stream is None:
        await send({"type": "http.response.body", "body": response.body})
        return
    async for chunk in response.stream:
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await asyncio.sleep(0)
    await send({"type": "http.response.body", "body": b""})
