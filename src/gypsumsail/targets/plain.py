"""HTTP client for a plain service."""

from __future__ import annotations

from gypsumsail.core.errors import TransportError
from gypsumsail.targets.port import PlainAnswer, PlainRequest
from gypsumsail.transport.client import HttpClient, quote_path
from gypsumsail.transport.const import REQUEST_ID_HEADER


class HttpPlainServiceClient:
    """HTTP client for one plain service; implements ``PlainServiceClient``."""

    def __init__(self, base_url: str) -> None:
        self.client = HttpClient(base_url)

    async def async_close(self) -> None:
        """Close all connections."""
        await self.client.async_close()

    async def async_call(self, request: PlainRequest) -> PlainAnswer:
        """Make one call and return the complete response; the call is never retried.

        A response of any status is returned. A response that carries the id of another
        attempt raises ``TransportError``.
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
            raise TransportError("response belongs to another attempt", sent=True)
        return PlainAnswer(
            status=answer.status,
            content_type=answer.headers.get("content-type", ""),
            body=answer.body,
        )
