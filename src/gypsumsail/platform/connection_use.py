"""Names the use of a connection, for the log."""

from __future__ import annotations

from gypsumsail.gateway.port import ConnectionUse
from gypsumsail.transport.exchange import ExchangeConnection


def connection_use(connection: ExchangeConnection) -> ConnectionUse:
    """Return the local port of a connection and the number of its exchanges so far."""
    return ConnectionUse(port=connection.local_port, number=connection.exchange_count)
