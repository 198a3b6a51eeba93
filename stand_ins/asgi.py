"""Small ASGI application shared by the stand-ins."""

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
    """An answer that is not the result."""

    def __init__(
        self, status: int, body: object = None, *, headers: dict[str, str] | None = None
    ) -> None:
        super().__init__(status)
        self.status = status
        self.body = body
        self.headers = headers or {}


class DisconnectedError(Exception):
    """The caller went away in the middle of its body."""


class AbortResponseError(Exception):
    """The connection is to be reset without the rest of the answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One request with its whole body."""

    method: str
    path: str
    path_values: dict[str, str]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object."""
        try:
            value = json.loads(self.body or b"{}")
        except ValueError:
            raise HttpError(400, {"error": "json"}) from None
        if not isinstance(value, dict):
            raise HttpError(400, {"error": "json"})
        return value


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """One answer; ``stream`` takes the place of ``body`` when it is set."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)
    stream: AsyncIterator[bytes] | None = None


def json_response(value: object, *, status: int = 200) -> Response:
    """Return a JSON answer."""
    return Response(status=status, body=json.dumps(value).encode())


Handler = Callable[[Request], Awaitable[Response]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A method and path pattern with its handler."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


class App:
    """ASGI application of a stand-in, with its control port.

    Attributes
    ----------
    counters
        Function that returns the counters shown by ``GET /control``.
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
        """Add a route; ``{name}`` matches up to the next slash, ``{name*}`` all."""
        pattern = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.+)", path)
        pattern = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)
        route = Route(method=method, pattern=re.compile(pattern), handler=handler)
        self.routes.append(route)

    async def show_control(self, request: Request) -> Response:
        """List the faults in force and the counters."""
        return json_response(
            {"faults": self.faults.active, "counters": self.counters()}
        )

    async def change_control(self, request: Request) -> Response:
        """Switch a fault on or off."""
        self.faults.change(request.json())
        return await self.show_control(request)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await self.serve_lifespan(receive, send)
            return
        if scope["type"] == "http":
            await self.serve_http(scope, receive, send)

    async def serve_lifespan(self, receive: Receive, send: Send) -> None:
        """Run the start-up and shut-down functions."""
        while True:
            message = await receive()
            starting = message["type"] == "lifespan.startup"
            for hook in self.startup_hooks if starting else self.shutdown_hooks:
                await hook()
            await send({"type": f"{message['type']}.complete"})
            if not starting:
                return

    async def serve_http(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request under the faults in force."""
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
        """Find the route and run its handler."""
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
        """Return the route of a request and the values in its path."""
        for route in self.routes:
            if route.method not in (method, "*"):
                continue
            if match := route.pattern.fullmatch(path):
                return route, match.groupdict()
        raise HttpError(404, {"error": "path"})


async def read_body(receive: Receive) -> bytes:
    """Return the whole body."""
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
    """Send an answer, whole or as a stream."""
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
