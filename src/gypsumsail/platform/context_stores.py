"""Client of the platform's context stores, which keep the KV cache of prompt parts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final, TypeVar

import msgspec

from gypsumsail.context_stores.const import LONG_POLL_MARGIN_SECONDS
from gypsumsail.context_stores.errors import MisplacedAnswerError, OtherServerError
from gypsumsail.context_stores.store_view import StoreAnswer, StoreChange
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.models import ContextStore
from gypsumsail.platform import names
from gypsumsail.platform.client import JsonClient, decode_json

CONTEXT_STORE_TIMEOUT_SECONDS: Final = 1.0
CACHE_LIST_MAX_BYTES: Final = 4 * 1024 * 1024
"""Maximum size of a list: 50,000 parts of 80 bytes."""
CACHE_EVENTS_MAX_BYTES: Final = 1024 * 1024
"""Maximum size of an answer with events: 10,000 events of 100 bytes."""
SUCCESS_STATUSES: Final = range(200, 300)
OTHER_SERVER_STATUSES: Final = frozenset({400, 404, 421})
"""Statuses of servers that know no calls to context stores."""


class _Events(msgspec.Struct, frozen=True):
    """Response with events.

    Each event consists of its number, ``+`` or ``-``, the cache scope, the part, the
    current number of tokens and the model. ``clock_ms`` is the time in milliseconds on
    the clock that engines and context stores share, if the store reports it. The start
    of that clock is unknown to the gateway, which only uses the offset from its own
    clock.
    """

    epoch: int
    next: int
    events: list[tuple[int, str, str, str, int, str]]
    lost: bool = False
    clock_ms: float | None = None


class _Contents(msgspec.Struct, frozen=True):
    """Response with the contents of a store.

    Each item of ``held`` consists of the cache scope, the part, the number of tokens
    and the model. ``clock_ms`` is the same as in ``_Events``.
    """

    epoch: int
    next: int
    held: list[tuple[str, str, int, str]]
    clock_ms: float | None = None


_ResponseT = TypeVar("_ResponseT", _Contents, _Events)


class PlatformContextStores:
    """Makes calls to context stores over persistent connections.

    A store repeats no request id, and a target of another service that has taken over
    its address would run a call with one. The calls therefore carry none.
    """

    def __init__(self) -> None:
        self.clients: dict[str, JsonClient] = {}

    async def async_contents(self, store: ContextStore) -> StoreAnswer:
        """Request all complete parts that a store holds.

        They are returned as changes that add the parts.
        """
        response = await self._async_get(
            store,
            names.CACHE_LIST_PATH,
            _Contents,
            timeout=CONTEXT_STORE_TIMEOUT_SECONDS,
            max_body_bytes=CACHE_LIST_MAX_BYTES,
        )
        return StoreAnswer(
            life=response.epoch,
            next_number=response.next,
            has_gap=False,
            changes=tuple(
                StoreChange(scope=scope, part=part, tokens=tokens)
                for scope, part, tokens, _ in response.held
            ),
            clock_ms=_whole_ms(response.clock_ms),
        )

    async def async_changes(
        self, store: ContextStore, since: int, wait: float
    ) -> StoreAnswer:
        """Wait up to ``wait`` seconds for changes since the previous answer.

        ``since`` is the ``next_number`` of that answer, the number from which changes
        continue. A removed part is returned with 0 tokens.
        """
        response = await self._async_get(
            store,
            names.CACHE_EVENTS_PATH,
            _Events,
            timeout=wait + LONG_POLL_MARGIN_SECONDS,
            max_body_bytes=CACHE_EVENTS_MAX_BYTES,
            query={"since": str(since)},
            headers={"Wait-Ms": str(int(wait * 1000))},
        )
        return StoreAnswer(
            life=response.epoch,
            next_number=response.next,
            has_gap=response.lost,
            changes=tuple(
                StoreChange(
                    scope=scope,
                    part=part,
                    tokens=tokens if sign == "+" else 0,
                    number=number,
                )
                for number, sign, scope, part, tokens, _ in response.events
            ),
            clock_ms=_whole_ms(response.clock_ms),
        )

    async def async_free(
        self,
        store: ContextStore,
        life: int,
        parts: Sequence[tuple[str, str]],
        until_ms: int,
    ) -> None:
        """Free parts, which are identified by cache scope and name.

        The store frees nothing if it has restarted, so that its epoch differs from
        ``life``, or after the time ``until_ms`` on the clock that engines and stores
        share (see ``clock_ms`` in ``_Events``).

        Raises
        ------
        TransportError
            The call failed, or the store refused it.
        """
        # On a new connection, no earlier answer can be taken for the one to this call.
        client = JsonClient(store.address)
        try:
            answer = await client.async_call(
                "POST",
                names.CACHE_FREE_PATH,
                timeout=CONTEXT_STORE_TIMEOUT_SECONDS,
                body={
                    "parts": [list(part) for part in parts],
                    "epoch": life,
                    "until_ms": until_ms,
                },
            )
        finally:
            client.close()
        if answer.status not in SUCCESS_STATUSES:
            message = f"{names.CACHE_FREE_PATH}: status {answer.status}"
            raise TransportError(message, sent=True)

    def forget(self, store: ContextStore) -> None:
        """Close the idle connections to a store."""
        client = self.clients.pop(str(store.address), None)
        if client is not None:
            client.close()

    async def _async_get(
        self,
        store: ContextStore,
        path: str,
        kind: type[_ResponseT],
        *,
        timeout: float,
        max_body_bytes: int,
        query: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
    ) -> _ResponseT:
        """Make a call; the connection is not used again if its answer is unusable."""
        try:
            answer = await self._client(store).async_call_bytes(
                "GET",
                path,
                timeout=timeout,
                query=query,
                headers=headers,
                max_body_bytes=max_body_bytes,
            )
            if answer.status in OTHER_SERVER_STATUSES:
                raise OtherServerError(f"{path}: status {answer.status}", sent=True)
            if answer.status != 200:
                raise TransportError(f"{path}: status {answer.status}", sent=True)
            return _convert(answer.body, kind)
        except TransportError:
            self.forget(store)
            raise

    def _client(self, store: ContextStore) -> JsonClient:
        key = str(store.address)
        if key not in self.clients:
            self.clients[key] = JsonClient(store.address)
        return self.clients[key]


def _convert(body: bytes, kind: type[_ResponseT]) -> _ResponseT:
    try:
        return decode_json(body, kind)
    except msgspec.ValidationError as err:
        raise MisplacedAnswerError(
            f"can't decode the answer of a context store: {err}", sent=True
        ) from err


def _whole_ms(value: float | None) -> int | None:
    return None if value is None else int(value)
