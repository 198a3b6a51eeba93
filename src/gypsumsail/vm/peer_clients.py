"""HTTP calls to the other VMs."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from gypsumsail.core.callback import callback
from gypsumsail.core.errors import TransportError
from gypsumsail.transport.bytes_client import BytesClient

MAX_CLIENTS: Final = 16
"""Maximum number of VMs to which connections are kept open."""


class PeerClients:
    """HTTP clients by host, for the port that all VMs of a deployment share.

    Attributes
    ----------
    port
        Control port; ``None`` when VMs don't serve each other.
    """

    def __init__(self, port: int | None) -> None:
        self.port = port
        self.clients: dict[str, BytesClient] = {}

    async def async_get(
        self, host: str, path: str, query: Mapping[str, str], timeout: float
    ) -> bytes | None:
        """Return the body of a response; ``None`` for any status but 200.

        Raises
        ------
        TransportError
            No complete response was received.
        """
        if self.port is None:
            raise TransportError(
                "no control port is configured for calls between VMs", sent=False
            )
        client = self._client(host, self.port)
        try:
            answer = await client.async_call("GET", path, timeout=timeout, query=query)
        except TransportError:
            # The other connections may have gone silent with this one.
            client.close()
            raise
        return answer.body if answer.status == 200 else None

    @callback
    def drop_idle(self) -> None:
        """Close the idle connections, so that the next calls use new ones."""
        for client in self.clients.values():
            client.close()

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
