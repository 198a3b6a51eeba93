"""Sends calls to helpers over pooled connections."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Final

from gypsumsail.core.callback import callback
from gypsumsail.core.errors import TransportError
from gypsumsail.core.ids import new_id
from gypsumsail.forwarding.const import (
    FORWARD_ID_HEADER,
    FORWARD_PATH,
    HELPER_CONNECT_SECONDS,
    REFUSAL_HEADER,
)
from gypsumsail.forwarding.messages import encode_forward
from gypsumsail.gateway.forwarding import ForwardHead, ForwardRefusal, ForwardTerms
from gypsumsail.gateway.models import Call
from gypsumsail.transport.exchange import ExchangeConnection
from gypsumsail.transport.exchange_pool import ExchangePool

HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"transfer-encoding",
        FORWARD_ID_HEADER,
        REFUSAL_HEADER,
    }
)
"""Headers of a helper's answer that concern only the way between the two VMs."""


class HelperExchange:
    """A call that was sent to a helper."""

    def __init__(self, pool: ExchangePool, connection: ExchangeConnection) -> None:
        self.pool = pool
        self.connection = connection

    async def async_head(self) -> ForwardHead:
        """Return the head of the answer.

        Raises
        ------
        TransportError
            No answer came, or one that does not bear the id of the call, or has no
            length and no chunks. All answers of a helper that has read the call do.
        """
        await self.connection.async_wait_for_head()
        headers = dict(self.connection.headers)
        if FORWARD_ID_HEADER not in headers:
            raise TransportError("the answer of the VM bears no id", sent=True)
        if not self.connection.has_framing:
            raise TransportError("the answer of the VM has no end", sent=True)
        refusal = headers.get(REFUSAL_HEADER)
        return ForwardHead(
            status=self.connection.status,
            headers=tuple(
                pair for pair in self.connection.headers if pair[0] not in HOP_HEADERS
            ),
            refusal=_parse_refusal(refusal) if refusal is not None else None,
            is_stream=b"transfer-encoding" in headers,
        )

    async def async_read(self) -> bytes:
        """Return the next bytes of the body; empty at its end."""
        return await self.connection.async_read()

    async def async_read_all(self, limit: int) -> bytes:
        """Return the complete body of at most ``limit`` bytes."""
        return await self.connection.async_read_all(limit)

    @callback
    def finish(self) -> None:
        """Return the connection to the pool; close it if the answer is incomplete."""
        self.pool.release(self.connection)


def _parse_refusal(value: bytes) -> ForwardRefusal:
    try:
        return ForwardRefusal(value.decode("latin-1"))
    except ValueError:
        message = "the other VM refused the call for an unknown reason"
        raise TransportError(message, sent=True) from None


class HelperClient:
    """Sends calls to the control port of other VMs.

    Attributes
    ----------
    vm
        Name of this VM.
    port
        Control port; ``None`` when VMs don't serve each other.
    """

    def __init__(self, vm: str, port: int | None) -> None:
        self.vm = vm
        self.port = port
        self.pools: dict[str, ExchangePool] = {}

    async def async_forward(
        self, host: str, call: Call, terms: ForwardTerms
    ) -> HelperExchange:
        """Send a call.

        Parameters
        ----------
        terms
            The message states their ``time_left`` less the time spent on connecting.

        Raises
        ------
        TransportError
            No connection could be opened in the time left. Nothing was sent.
        """
        if self.port is None:
            raise TransportError("no control port is configured", sent=False)
        pool = self.pools.get(host)
        if pool is None:
            pool = ExchangePool(host, self.port, HELPER_CONNECT_SECONDS)
            self.pools[host] = pool
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        connection = await pool.async_acquire()
        time_left = terms.time_left - (loop.time() - started_at)
        if time_left <= 0:
            pool.release(connection)
            raise TransportError("the time limit passed while connecting", sent=False)
        body = encode_forward(self.vm, call, replace(terms, time_left=time_left))
        forward_id = new_id().encode()
        head = [
            b"POST %b HTTP/1.1" % FORWARD_PATH.encode(),
            b"Host: %b:%d" % (host.encode(), self.port),
            b"%b: %b" % (FORWARD_ID_HEADER, forward_id),
            b"Content-Length: %d" % len(body),
        ]
        request = b"\r\n".join(head) + b"\r\n\r\n" + body
        connection.send(
            request,
            (FORWARD_ID_HEADER, forward_id),
            limit_seconds=None,
        )
        return HelperExchange(pool, connection)

    @callback
    def close(self) -> None:
        """Close the idle connections."""
        for pool in self.pools.values():
            pool.close()
        self.pools.clear()
