"""Calls to the other VMs."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from gypsumsail.core.callback import callback
from gypsumsail.core.errors import TransportError
from gypsumsail.transport.bytes_client import BytesClient

MAX_CLIENTS: Final = 16
"""VMs to which connections are kept."""


class PeerClients:
    """Clients by host, for the port that all VMs of a deployment share.

    Attributes
    ----------
    port
        ``None`` where VMs serve no calls of each other.
    """

    def __init__(self, port: int | None) -> None:
        self.port = port
        self.clients: dict[str, BytesClient] = {}

    async def async_get(
        self, host: str, path: str, query: Mapping[str, str], timeout: float
    ) -> bytes | None:
        """Return the body of an answer; ``None`` where the VM has none.

        Raises
        ------
        TransportError
            No whole answer came.
        """
        if self.port is None:
            raise TransportError("VMs serve no calls of each other", sent=False)
        answer = await self._client(host, self.port).async_call(
            "GET", path, timeout=timeout, query=query
        )
        return answer.body if answer.status == 200 else None

    @callback
    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()
        self.clients.clear()

    def _client(self, host: str, port: int) -> BytesClient:
        client = self.clients.pop(host, None) or BytesClient(host, port)
        while len(self.clients) >= MAX_CLIENTS:
            oldest = next(iter(self.clients))
            self.clients.pop(oldest).close()
        self.clients[host] = client
        return client
