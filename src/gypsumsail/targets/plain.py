"""Adapter to a plain service over HTTP."""

from __future__ import annotations

from gypsumsail.core.errors import TransportError
from gypsumsail.targets.port import PlainAnswer, PlainRequest
from gypsumsail.transport.client import HttpClient, quote_path
from gypsumsail.transport.const import REQUEST_ID_HEADER


class HttpPlainService:
    """One plain service target; implements the port ``PlainService``."""

    def __init__(self, base_url: str) -> None:
        self.client = HttpClient(base_url)

    async def async_close(self) -> None:
        """Close all connections."""
        await self.client.async_close()

    async def async_call(self, request: PlainRequest) -> PlainAnswer:
        """Make one call and return its whole answer; never sends twice.

        Any status is an answer. One that names another attempt is an error.
        """
        path = quote_path(request.path)
        if request.query:
            path = f"{path}?{request.query}"
        headers = {REQUEST_ID_HEADER: request.attempt_id}
        if request.content_type:
            headers["content-type"] = request.content_type
        answer = await self.client.async_call(
            request.method,
            path,
            headers=headers,
            body=request.body,
            timeout=request.deadline,
        )
        if answer.headers.get(REQUEST_ID_HEADER, request.attempt_id) != (
            request.attempt_id
        ):
            raise TransportError("the answer is of another attempt", sent=True)
        return PlainAnswer(
            status=answer.status,
            content_type=answer.headers.get("content-type", ""),
            body=answer.body,
        )
