"""Ports to context stores and to other VMs."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from gypsumsail.context_stores.store_view import StoreAnswer
from gypsumsail.gateway.models import ContextStore


class ContextStores(Protocol):
    """Requests to stores; all raise ``TransportError``.

    A request for contents or changes raises ``OtherServerError`` if the server at the
    address is not a context store, and ``MisplacedAnswerError`` if the answer belongs
    to another request.
    """

    async def async_contents(self, store: ContextStore) -> StoreAnswer:
        """Return all complete parts that a store holds."""

    async def async_changes(
        self, store: ContextStore, since: int, wait: float
    ) -> StoreAnswer:
        """Return the changes since a number, after waiting up to ``wait`` seconds."""

    async def async_free(
        self,
        store: ContextStore,
        life: int,
        parts: Sequence[tuple[str, str]],
        until_ms: int,
    ) -> None:
        """Free parts, given by scope and name.

        The call has no effect if the store has restarted since ``life``, or after the
        time ``until_ms`` on the clock of the engines.
        """

    def forget(self, store: ContextStore) -> None:
        """Close the connections to a store that is no longer used."""


class PeerViews(Protocol):
    """Requests to other VMs; raise ``TransportError``."""

    async def async_get(
        self, host: str, path: str, query: Mapping[str, str], timeout: float
    ) -> bytes | None:
        """Return the body of the response, or ``None`` if the VM has no such view."""
