"""Makes JSON calls to the platform's object store, engines and context stores."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
import json
import logging
import math
import re
from typing import Any, Final, TypeVar

import msgspec

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.models import Address
from gypsumsail.platform import names
from gypsumsail.transport.bytes_client import (
    SHORT_CALL_MAX_BODY_BYTES,
    BytesClient,
    BytesResponse,
)
from gypsumsail.transport.exchange import ExchangeConnection

_LOGGER = logging.getLogger(__name__)

MAX_LENIENT_BYTES: Final = 256 * 1024
"""Maximum size of an answer that is decoded by the lenient decoder of Python.

It takes several tens of bytes of memory for each byte of the answer.
"""
_ESCAPE: Final = re.compile(
    r"\\(?:u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}"
    r"|(?P<half>u[dD][89a-fA-F][0-9a-fA-F]{2})|.)",
    re.DOTALL,
)
"""Escape in a string of JSON: a surrogate pair, half of one, or any other."""
_BodyT = TypeVar("_BodyT")


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


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetCall:
    """What marks a call as one to a certain target.

    Whoever receives a request id may run the call as a request of a caller. Therefore
    an id is never sent without the instance that it is meant for: any other one at
    the address rejects the call.

    Attributes
    ----------
    instance
        Name of the only target that may accept the call.
    request_id
        Id that the target repeats in its answer.
    """

    instance: str
    request_id: str


class JsonClient:
    """Makes calls to one address over persistent connections."""

    def __init__(self, address: Address, clock: Clock | None = None) -> None:
        self.client = BytesClient(address.host, address.port, clock)

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
        target_call: TargetCall | None = None,
        not_after: float = math.inf,
        on_written: Callable[[ExchangeConnection], None] | None = None,
        max_body_bytes: int = SHORT_CALL_MAX_BODY_BYTES,
    ) -> JsonAnswer:
        """Make one call, see ``async_call_bytes``; decode the body of the answer.

        Raises
        ------
        TransportError
            No complete answer arrived, or it is not valid JSON.
        """
        answer = await self.async_call_bytes(
            method,
            path,
            timeout=timeout,
            query=query,
            body=body,
            headers=headers,
            target_call=target_call,
            not_after=not_after,
            on_written=on_written,
            max_body_bytes=max_body_bytes,
        )
        return JsonAnswer(
            status=answer.status, body=decode_json(answer.body), headers=answer.headers
        )

    async def async_call_bytes(
        self,
        method: str,
        path: str,
        *,
        timeout: float,
        query: Mapping[str, str] | None = None,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        target_call: TargetCall | None = None,
        not_after: float = math.inf,
        on_written: Callable[[ExchangeConnection], None] | None = None,
        max_body_bytes: int = SHORT_CALL_MAX_BODY_BYTES,
        body_seconds: float = 0.0,
    ) -> BytesResponse:
        """Make one call with a body of JSON; return the answer as it is.

        Parameters
        ----------
        timeout
            Time limit of the call in seconds.
        target_call
            Target that the call is meant for; ``None`` for a call to another server.
        not_after, on_written, max_body_bytes, body_seconds
            See ``BytesClient.async_call``.

        Raises
        ------
        TransportError
            No complete answer arrived.
        """
        all_headers = dict(headers or {})
        assert names.REQUEST_ID_HEADER.decode() not in map(str.lower, all_headers)
        request_id = None
        if target_call is not None:
            all_headers[names.TARGET_NAME_HEADER.decode()] = target_call.instance
            request_id = (names.REQUEST_ID_HEADER, target_call.request_id.encode())
        data = None
        if body is not None:
            all_headers["Content-Type"] = "application/json"
            data = msgspec.json.encode(body)
        return await self.client.async_call(
            method,
            path,
            timeout=timeout,
            query=query,
            body=data,
            headers=all_headers,
            request_id=request_id,
            not_after=not_after,
            on_written=on_written,
            max_body_bytes=max_body_bytes,
            body_seconds=body_seconds,
        )


def decode_json(data: bytes, kind: type[_BodyT] | Any = Any) -> _BodyT | Any:
    """Decode the body of an answer, leniently.

    Raises
    ------
    TransportError
        The answer is not valid JSON.
    msgspec.ValidationError
        The answer is not of the given kind.
    """
    if not data:
        return msgspec.convert(None, kind)
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError:
        raise
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
        _LOGGER.warning(
            "Answer is not valid JSON; parsing again with invalid UTF-8 replaced: %s",
            err,
        )
    # Bytes that are not valid UTF-8, and halves of surrogate pairs, are replaced, so
    # that the rest of the answer remains usable and can be encoded again.
    text = data.decode("utf-8", "replace")
    try:
        return msgspec.json.decode(_ESCAPE.sub(_whole_character, text), type=kind)
    except msgspec.ValidationError:
        raise
    except (msgspec.MsgspecError, RecursionError) as err:
        if len(data) > MAX_LENIENT_BYTES:
            raise TransportError("the answer is not valid JSON", sent=True) from err
    try:
        repaired = json.dumps(json.loads(text, strict=False), ensure_ascii=False)
        return msgspec.json.decode(repaired.encode("utf-8", "replace"), type=kind)
    except msgspec.ValidationError:
        raise
    except (ValueError, msgspec.MsgspecError, RecursionError) as err:
        raise TransportError("the answer is not valid JSON", sent=True) from err


def _whole_character(escape: re.Match[str]) -> str:
    """Replace half of a surrogate pair."""
    return "?" if escape["half"] else escape[0]
