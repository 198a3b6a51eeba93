"""Sends orders to engines and reads their reports."""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import Any, Final

import msgspec

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.ids import new_system_call_id
from gypsumsail.gateway.models import TargetEntry
from gypsumsail.gateway.notices import AnswerNotices
from gypsumsail.gateway.port import ConnectionUse
from gypsumsail.platform import names
from gypsumsail.platform.client import JsonAnswer, JsonClient, TargetCall
from gypsumsail.platform.connection_use import connection_use
from gypsumsail.platform.notices import parse_notices
from gypsumsail.rollout.const import ORDER_TIMEOUT_SECONDS, REPORT_TIMEOUT_SECONDS
from gypsumsail.rollout.port import EngineReport, LoadWeights, OrderAnswer
from gypsumsail.transport.exchange import ExchangeConnection

ENGINE_ANSWER_MAX_BYTES: Final = 128 * 1024
"""Maximum size of a report, an answer to an order or one to a health check."""

ORDER_ANSWERS_BY_STATUS = {
    200: OrderAnswer.ALREADY_SO,
    202: OrderAnswer.TAKEN,
    409: OrderAnswer.BUSY,
    421: OrderAnswer.WRONG_LIFE,
}


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: int = 0


class _Report(msgspec.Struct, frozen=True):
    busy: bool = False
    call_seq: int = 0
    born: int = 0
    models: list[_Model] = []


class PlatformEngines:
    """Sends orders to engines and reads their reports over persistent connections.

    An idle connection stays open until the engine closes it or ``forget`` is called.

    Attributes
    ----------
    on_notices
        Called with an engine, the notices of an answer and the time of the call.
    on_order_written
        Called with an engine and the connection to which an order has been written.
    """

    def __init__(self, clock: Clock, vm: str) -> None:
        self.clock = clock
        self.vm = vm
        self.clients: dict[tuple[str, int], JsonClient] = {}
        self.on_notices: Callable[[TargetEntry, AnswerNotices, float], None] = (
            lambda target, notices, sent_at: None
        )
        self.on_order_written: Callable[[TargetEntry, ConnectionUse], None] = (
            lambda target, use: None
        )

    async def async_order(self, target: TargetEntry, order: LoadWeights) -> OrderAnswer:
        """Send an order to load weights.

        The engine completes the runs in progress first. It rejects the order if
        ``order.orders_taken`` is not the number of orders that it has accepted.
        """
        answer = await self._async_call(
            target,
            "POST",
            names.ORDER_PATH,
            timeout=ORDER_TIMEOUT_SECONDS,
            call="order",
            body={
                "op": "version",
                "model": order.model,
                "version": order.version,
                "mode": "wait",
                "holder": order.holder,
                "fence": order.fence,
                "expect": order.orders_taken,
            },
            not_after=order.not_after,
            on_written=lambda connection: self.on_order_written(
                target, connection_use(connection)
            ),
        )
        return ORDER_ANSWERS_BY_STATUS.get(answer.status, OrderAnswer.REFUSED)

    async def async_report(self, target: TargetEntry) -> EngineReport:
        """Request the report of an engine."""
        answer = await self._async_call(
            target,
            "GET",
            names.REPORT_PATH,
            timeout=REPORT_TIMEOUT_SECONDS,
            call="report",
        )
        if answer.status != 200:
            raise TransportError(f"report: status {answer.status}", sent=True)
        return parse_report(answer.body)

    async def _async_call(
        self,
        target: TargetEntry,
        method: str,
        path: str,
        *,
        timeout: float,
        call: str,
        body: Any = None,
        not_after: float = math.inf,
        on_written: Callable[[ExchangeConnection], None] | None = None,
    ) -> JsonAnswer:
        sent_at = self.clock.monotonic()
        answer = await self._client(target).async_call(
            method,
            path,
            timeout=timeout,
            body=body,
            target_call=TargetCall(
                instance=target.name, request_id=new_system_call_id(self.vm, call)
            ),
            not_after=not_after,
            on_written=on_written,
            max_body_bytes=ENGINE_ANSWER_MAX_BYTES,
        )
        headers = dict(answer.headers)
        answered_by = headers.get(names.INSTANCE_ID_HEADER, target.name.encode())
        if answered_by == target.name.encode():
            notices = parse_notices(answer.status, answer.headers, headers)
            self.on_notices(target, notices, sent_at)
        return answer

    def forget(self, target: TargetEntry) -> None:
        """Close the idle connections to an engine that no longer exists."""
        client = self.clients.pop((target.name, target.life), None)
        if client is not None:
            client.close()

    def _client(self, target: TargetEntry) -> JsonClient:
        key = (target.name, target.life)
        if key not in self.clients:
            self.clients[key] = JsonClient(target.address, self.clock)
        return self.clients[key]


def parse_report(body: Any) -> EngineReport:
    """Parse the report of an engine; raise TransportError if it is none."""
    try:
        report = msgspec.convert(body, _Report)
    except msgspec.ValidationError as err:
        raise TransportError(
            f"can't decode the engine report: {err}", sent=True
        ) from err
    return EngineReport(
        life=report.born,
        is_busy=report.busy,
        orders_taken=report.call_seq,
        weight_versions={model.name: model.version for model in report.models},
    )
