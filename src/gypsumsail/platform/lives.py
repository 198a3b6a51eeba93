"""Asks targets which of their lives answers over a connection.

A connection leads to one process. What a target states over it therefore holds for all
calls over it, whatever the target's entry says meanwhile.
"""

from __future__ import annotations

from weakref import WeakKeyDictionary

from gypsumsail.core.errors import TransportError
from gypsumsail.core.ids import new_system_call_id
from gypsumsail.gateway.models import TargetEntry
from gypsumsail.platform import names
from gypsumsail.platform.client import decode_json
from gypsumsail.platform.engines import parse_report
from gypsumsail.transport.bytes_client import (
    BytesResponse,
    async_call_over,
    encode_short_call,
)
from gypsumsail.transport.exchange import ExchangeConnection


class TargetLives:
    """The lives that targets have stated.

    Attributes
    ----------
    by_connection
        Start time of the process at the other end of a connection; ``None`` if the
        target does not state it.
    """

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.by_connection: WeakKeyDictionary[ExchangeConnection, int | None] = (
            WeakKeyDictionary()
        )

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
        self, connection: ExchangeConnection, target: TargetEntry, health_path: str
    ) -> None:
        """Check that a plain target answers, whatever it says of its health.

        It takes any request with an id for one of a caller, so that none is sent.

        Raises
        ------
        TransportError
            No whole answer came, or another target answered.
        """
        await self._async_call(connection, target, health_path, None)

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
        answer = await async_call_over(connection, request, request_id)
        answered_by = dict(answer.headers).get(names.INSTANCE_ID_HEADER)
        if answer.status == 421 or answered_by not in (None, target.name.encode()):
            raise TransportError("another target answers at the address", sent=False)
        return answer


def _stated_life(answer: BytesResponse) -> int | None:
    if answer.status != 200:
        return None
    try:
        return parse_report(decode_json(answer.body)).life or None
    except TransportError:
        # The answer is no report, so that nothing is stated.
        return None
