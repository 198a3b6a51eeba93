"""Asks targets which of their lives answers over a connection.

A connection leads to one process. What a target states over it therefore holds for all
calls over it, whatever the target's entry says meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from weakref import WeakKeyDictionary

from gypsumsail.cold_targets.models import ColdStatement
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.ids import new_system_call_id
from gypsumsail.gateway.const import CONNECT_SECONDS
from gypsumsail.gateway.models import TargetEntry
from gypsumsail.gateway.port import LifeProof
from gypsumsail.platform import names
from gypsumsail.platform.client import decode_json
from gypsumsail.platform.engines import ENGINE_ANSWER_MAX_BYTES, parse_report
from gypsumsail.platform.notices import parse_notices
from gypsumsail.transport.bytes_client import (
    BytesResponse,
    async_call_over,
    encode_short_call,
)
from gypsumsail.transport.exchange import ExchangeConnection
from gypsumsail.transport.exchange_pool import ExchangePool


class TargetLives:
    """The lives that targets have stated.

    Attributes
    ----------
    by_connection
        Start time of the process at the other end of a connection; ``None`` if the
        target does not state it.
    on_cold_stated
        Called with a target whose answer states how long it stays cold, and the time
        at which the check was sent.
    """

    def __init__(self, vm: str, clock: Clock) -> None:
        self.vm = vm
        self.clock = clock
        self.on_cold_stated: Callable[[TargetEntry, ColdStatement, float], None] = (
            lambda target, cold, sent_at: None
        )
        self.by_connection: WeakKeyDictionary[ExchangeConnection, int | None] = (
            WeakKeyDictionary()
        )

    async def async_connection(
        self,
        pool: ExchangePool,
        target: TargetEntry,
        request_id: bytes,
        proof: LifeProof,
    ) -> ExchangeConnection:
        """Return a connection for a call at whose other end the target gave a proof.

        Raises
        ------
        TransportError
            No connection could be opened, or the proof was not given; ``sent`` is
            false.
        """
        kept = pool.take_idle(request_id)
        if kept is not None:
            # The target may have closed the kept connection meanwhile.
            with suppress(TransportError):
                await self._async_prove(kept, target, proof)
                return kept
        connection = await pool.async_connect()
        await self._async_prove(connection, target, proof)
        return connection

    async def _async_prove(
        self, connection: ExchangeConnection, target: TargetEntry, proof: LifeProof
    ) -> None:
        """Have the target give a proof; close the connection if it does not."""
        if proof is LifeProof.NONE:
            return
        reason = "the target did not state its life"
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                life = await self.async_ask(connection, target)
            if not connection.is_reusable:
                reason = "the target closed the connection"
            elif proof is LifeProof.SAME and life != target.life:
                reason = f"life {life} of the target answers, {target.life} is listed"
            else:
                reason = ""
        except (TimeoutError, TransportError) as err:
            raise TransportError(f"{reason}: {err or 'no answer'}", sent=False) from err
        finally:
            if reason:
                connection.abort()
        if reason:
            raise TransportError(reason, sent=False)

    async def async_ask(
        self, connection: ExchangeConnection, target: TargetEntry
    ) -> int | None:
        """Return the life that an engine states over a connection.

        Raises
        ------
        TransportError
            No whole answer came, or another target answered.
        """
        if connection in self.by_connection:
            return self.by_connection[connection]
        # An id goes only with the name of the target, see `TargetCall`.
        request_id = new_system_call_id(self.vm, "life").encode()
        answer = await self._async_call(
            connection,
            target,
            names.REPORT_PATH,
            (names.REQUEST_ID_HEADER, request_id),
        )
        life = self.by_connection[connection] = _stated_life(answer)
        return life

    async def async_check_health(
        self, connection: ExchangeConnection, target: TargetEntry, path: str
    ) -> None:
        """Check that a plain target answers, whatever it says of its health.

        It takes any request with an id for one of a caller, so that none is sent.

        Raises
        ------
        TransportError
            No whole answer came, or another target answered.
        """
        await self._async_call(connection, target, path, None)

    async def _async_call(
        self,
        connection: ExchangeConnection,
        target: TargetEntry,
        path: str,
        request_id: tuple[bytes, bytes] | None,
    ) -> BytesResponse:
        headers = {names.TARGET_NAME_HEADER.decode(): target.name}
        request = encode_short_call(
            "GET", path, str(target.address), headers, request_id
        )
        sent_at = self.clock.monotonic()
        answer = await async_call_over(
            connection,
            request,
            request_id,
            limit_seconds=CONNECT_SECONDS,
            max_body_bytes=ENGINE_ANSWER_MAX_BYTES,
        )
        answered_by = dict(answer.headers).get(names.INSTANCE_ID_HEADER)
        if answer.status == 421 or answered_by not in (None, target.name.encode()):
            raise TransportError("another target answers at the address", sent=False)
        notices = parse_notices(answer.status, answer.headers, dict(answer.headers))
        if notices.cold is not None:
            self.on_cold_stated(target, notices.cold, sent_at)
        return answer


def _stated_life(answer: BytesResponse) -> int | None:
    if answer.status != 200:
        return None
    try:
        return parse_report(decode_json(answer.body)).life or None
    except TransportError:
        # The answer is no report, so that nothing is stated.
        return None
