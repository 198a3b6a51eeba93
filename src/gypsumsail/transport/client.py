"""HTTP client whose calls are never retried and are limited in time and size."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cache
import logging
import ssl
from typing import Final, TypeVar
from urllib.parse import quote

import httpx
from pydantic import BaseModel, ValidationError

from gypsumsail.core.errors import TransportError, UnavailableError
from gypsumsail.transport.const import (
    CALL_TIMEOUT_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    IDLE_CONNECTION_SECONDS,
    IDLE_CONNECTIONS_PER_CLIENT,
    MAX_RESPONSE_BODY_BYTES,
)
from gypsumsail.transport.errors import BrokenStreamError
from gypsumsail.transport.request_delivery import (
    END_BEFORE_REQUEST,
    RequestSocket,
    async_is_taken,
)
from gypsumsail.transport.response_head import check_status, has_framing
from gypsumsail.transport.socket_options import sending_options

_NOT_SENT: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)
_UNAVAILABLE_STATUSES: Final = (
    httpx.codes.TOO_MANY_REQUESTS,
    httpx.codes.SERVICE_UNAVAILABLE,
)
_BodyT = TypeVar("_BodyT", bound=BaseModel)


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """A complete HTTP response."""

    status: int
    headers: httpx.Headers
    body: bytes


class ResponseEndCheck:
    """Checks whether a response without a length is whole when its body ends.

    Attributes
    ----------
    is_whole
        Whether it is, as far as the end of its connection tells; see
        ``request_delivery``. A response with a length or in chunks ends by itself.
    extensions
        Extensions of the request, which have httpx report what becomes of it.
    """

    def __init__(self, request_body: bytes) -> None:
        self.request_body = request_body
        self.is_whole = True
        self.has_write_failed = False
        self.connection: RequestSocket | None = None
        self.extensions = {"trace": self._async_record} if request_body else {}

    def begin(self, response: httpx.Response) -> None:
        """Have the end of a response checked whose head has arrived."""
        headers = [(name.lower(), value) for name, value in response.headers.raw]
        if self.request_body and not has_framing(response.status_code, headers):
            stream = response.extensions["network_stream"]
            self.connection = stream.get_extra_info("socket")

    async def _async_record(self, event: str, _: Mapping[str, object]) -> None:
        match event:
            case "http11.send_request_body.failed":
                self.has_write_failed = True
            case "http11.receive_response_body.complete" if self.connection:
                # httpx closes the connection right after this event.
                self.is_whole = not self.has_write_failed and await async_is_taken(
                    self.connection, request_bytes=len(self.request_body)
                )


class HttpClient:
    """HTTP client for one base URL.

    No call is sent twice: redirects are not followed and failed calls are not
    retried. Proxy settings of the environment are ignored.

    Parameters
    ----------
    send_limit_seconds
        Time after which the kernel gives up sending what the server has not
        acknowledged, if a call has not ended by then.
    """

    def __init__(
        self,
        base_url: str,
        *,
        max_response_bytes: int = MAX_RESPONSE_BODY_BYTES,
        send_limit_seconds: float = CALL_TIMEOUT_SECONDS,
    ):
        logging.getLogger("httpx").setLevel(logging.WARNING)
        logging.getLogger("httpcore").setLevel(logging.WARNING)
        self.base_url = base_url.rstrip("/")
        self.max_response_bytes = max_response_bytes
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=IDLE_CONNECTIONS_PER_CLIENT,
            keepalive_expiry=IDLE_CONNECTION_SECONDS,
        )
        self.client = httpx.AsyncClient(
            limits=limits,
            transport=httpx.AsyncHTTPTransport(
                verify=_tls_context(httpx.URL(base_url).scheme),
                limits=limits,
                retries=0,
                socket_options=sending_options(send_limit_seconds),
            ),
            follow_redirects=False,
            trust_env=False,
        )

    async def async_close(self) -> None:
        """Close all connections."""
        await self.client.aclose()

    async def async_call(
        self,
        method: str,
        path: str,
        *,
        timeout: float,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> HttpResponse:
        """Make one call and return its complete response, whatever its status.

        Parameters
        ----------
        path
            Quoted path of the URL.
        timeout
            Time limit for the whole call, in seconds.

        Raises
        ------
        TransportError
            No complete response arrived.
        """
        end_check = ResponseEndCheck(body or b"")
        request = self.client.build_request(
            method,
            self.base_url + path,
            params=query or None,
            headers=headers,
            content=body,
            extensions=end_check.extensions,
            timeout=httpx.Timeout(
                timeout, connect=min(CONNECT_TIMEOUT_SECONDS, timeout)
            ),
        )
        try:
            async with asyncio.timeout(timeout):
                return await self._async_send(request, end_check)
        except TimeoutError:
            raise TransportError(
                f"{method}: no response within {timeout:g} s", sent=True
            ) from None
        except httpx.HTTPError as err:
            sent = not isinstance(err, _NOT_SENT)
            raise TransportError(
                f"{method}: call failed with {type(err).__name__}", sent=sent
            ) from err

    async def _async_send(
        self, request: httpx.Request, end_check: ResponseEndCheck
    ) -> HttpResponse:
        response = await self.client.send(request, stream=True)
        try:
            check_status(response.status_code)
            end_check.begin(response)
            body = bytearray()
            async for chunk in response.aiter_bytes():
                body += chunk
                if len(body) > self.max_response_bytes:
                    raise TransportError("response body is too large", sent=True)
        finally:
            await response.aclose()
        if not end_check.is_whole:
            raise BrokenStreamError(END_BEFORE_REQUEST)
        return HttpResponse(
            status=response.status_code, headers=response.headers, body=bytes(body)
        )


@cache
def _tls_context(scheme: str) -> ssl.SSLContext:
    """Return the TLS context for a scheme, shared by all clients.

    Loading the trusted certificates blocks the event loop for tens of milliseconds.
    Plain HTTP therefore gets a context without certificates, which would reject any
    TLS server.
    """
    if scheme == "https":
        return ssl.create_default_context()
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def quote_path(path: str) -> str:
    """Quote a path for a URL; dot segments are escaped so that they are preserved."""
    segments = (quote(segment, safe="") for segment in path.split("/"))
    return "/".join(
        segment.replace(".", "%2E") if segment in (".", "..") else segment
        for segment in segments
    )


def raise_for_status(answer: HttpResponse, what: str) -> None:
    """Raise a TransportError if the status of a response is 300 or higher."""
    if answer.status < httpx.codes.MULTIPLE_CHOICES:
        return
    message = f"{what}: status {answer.status}"
    if answer.status in _UNAVAILABLE_STATUSES:
        raise UnavailableError(message, sent=True)
    raise TransportError(message, sent=True)


def parse(model: type[_BodyT], answer: HttpResponse) -> _BodyT:
    """Return the validated JSON body of a response.

    Raises
    ------
    TransportError
        The body is malformed.
    """
    try:
        return model.model_validate_json(answer.body)
    except ValidationError as err:
        message = f"malformed response: {err.error_count()} errors in {model.__name__}"
        raise TransportError(message, sent=True) from None
