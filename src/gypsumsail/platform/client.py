"""Makes JSON calls to the platform's object store, engines and context stores."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
import json
import logging
from typing import Any

import msgspec

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.models import Address
from gypsumsail.platform import names
from gypsumsail.transport.bytes_client import BytesClient

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class JsonAnswer:
    """Status, decoded body and headers of an answer.

    Attributes
    ----------
    body
        ``None`` stands for an empty body.
    headers
        Names in lowercase, and values.
    """

    status: int
    body: Any
    headers: tuple[tuple[bytes, bytes], ...] = ()


class JsonClient:
    """Makes calls to one address over persistent connections."""

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
        request_id: str | None = None,
    ) -> JsonAnswer:
        """Make one call.

        Parameters
        ----------
        timeout
            Time limit of the call in seconds.
        request_id
            Id that the server repeats in its answer; ``None`` if it repeats none.

        Raises
        ------
        TransportError
            No complete answer arrived, or it is not valid JSON.
        """
        all_headers = dict(headers or {})
        data = None
        if body is not None:
            all_headers["Content-Type"] = "application/json"
            data = msgspec.json.encode(body)
        answer = await self.client.async_call(
            method,
            path,
            timeout=timeout,
            query=query,
            body=data,
            headers=all_headers,
            request_id=(
                (names.REQUEST_ID_HEADER, request_id.encode()) if request_id else None
            ),
        )
        return JsonAnswer(
            status=answer.status, body=_decode(answer.body), headers=answer.headers
        )


def _decode(data: bytes) -> Any:
    if not data:
        return None
    try:
        return msgspec.json.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
        _LOGGER.warning(
            "Answer is not valid JSON; parsing again with invalid UTF-8 replaced: %s",
            err,
        )
    # A value from another writer may contain bytes that are not valid UTF-8. They
    # are replaced, so that the rest of the answer remains usable.
    text = data.decode("utf-8", "replace")
    try:
        return json.loads(text, strict=False)
    except (ValueError, RecursionError) as err:
        raise TransportError("the answer is not valid JSON", sent=True) from err
