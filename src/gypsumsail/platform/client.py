"""Calls with JSON bodies to the platform's store, to engines and to stores."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
import json
import logging
from typing import Any

import msgspec

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.models import Address
from gypsumsail.transport.bytes_client import BytesClient

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class JsonAnswer:
    """Status and decoded body of an answer; the body is ``None`` when it is empty."""

    status: int
    body: Any


class JsonClient:
    """Calls to one address over connections that are kept."""

    def __init__(self, address: Address) -> None:
        self.client = BytesClient(address.host, address.port)

    def close(self) -> None:
        """Close the idle connections."""
        self.client.close()

    async def async_call(
        self,
        method: str,
        path: str,
        *,
        timeout: float,
        query: Mapping[str, str] | None = None,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> JsonAnswer:
        """Make one call; raise ``TransportError`` where no whole answer came."""
        all_headers = dict(headers or {})
        data = None
        if body is not None:
            all_headers["Content-Type"] = "application/json"
            data = msgspec.json.encode(body)
        answer = await self.client.async_call(
            method, path, timeout=timeout, query=query, body=data, headers=all_headers
        )
        return JsonAnswer(status=answer.status, body=_decode(answer.body))


def _decode(data: bytes) -> Any:
    if not data:
        return None
    try:
        return msgspec.json.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
        _LOGGER.warning("An answer holds bytes that are no JSON: %s", err)
    # Another writer's value may hold bytes that are no text; the rest still counts.
    text = data.decode("utf-8", "replace")
    try:
        return json.loads(text, strict=False)
    except (ValueError, RecursionError) as err:
        raise TransportError("the answer is no JSON", sent=True) from err
