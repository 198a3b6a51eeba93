"""What keeping context asks of stores."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from gypsumsail.context_stores.store_view import StoreAnswer
from gypsumsail.gateway.models import ContextStore


class ContextStores(Protocol):
    """Questions to stores; all raise ``TransportError``."""

    async def async_contents(self, store: ContextStore) -> StoreAnswer:
        """Ask for all that a store holds whole."""

    async def async_changes(
        self, store: ContextStore, since: int, wait: float
    ) -> StoreAnswer:
        """Wait up to ``wait`` seconds for changes."""

    async def async_free(
        self,
        store: ContextStore,
        life: int,
        parts: Sequence[tuple[str, str]],
        until_ms: int,
    ) -> None:
        """Free parts, by scope and name, unless the store restarted or time is over."""

    def forget(self, store: ContextStore) -> None:
        """Close the connections to a store."""


class PeerViews(Protocol):
    """Calls to other VMs; raise ``TransportError``."""

    async def async_get(
        self, host: str, path: str, query: Mapping[str, str], timeout: float
    ) -> bytes | None:
        """Return the body of an answer; ``None`` where the VM has none."""
