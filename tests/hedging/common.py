"""Factories and fakes for tests of second sends."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
import logging
from typing import Any

from gypsumsail.gateway.coordinator import Gateway
from gypsumsail.gateway.models import RoutingDocument, TargetEntry
from gypsumsail.gateway.port import TargetClient
from gypsumsail.hedging.answer_times import AnswerTimes
from gypsumsail.hedging.const import MAX_CREDIT, MIN_SAMPLES
from gypsumsail.hedging.coordinator import Hedging
from gypsumsail.hedging.gateway_sends import GatewaySends
from gypsumsail.hedging.models import HedgeFacts
from gypsumsail.hedging.route_hedges import RouteHedges
from gypsumsail.hedging.telemetry import HedgeTelemetry
from gypsumsail.metrics.registry import MetricsRegistry
from tests.gateway.common import RecordedLines, ScriptedExchange, gateway

THRESHOLD_SECONDS = 0.05
"""Time after which the calls of these tests are slow."""


@dataclass
class GatedExchange(ScriptedExchange):
    """A fake exchange whose body comes once the gate is open."""

    gate: asyncio.Event = field(default_factory=asyncio.Event)

    async def async_read(self) -> bytes:
        """Wait for the gate, then return the next chunk."""
        await self.gate.wait()
        return await super().async_read()


def known_route(now: float, credit: float = MAX_CREDIT) -> RouteHedges:
    """Return a route with enough answers, all of which took the threshold."""
    times = AnswerTimes()
    for _ in range(MIN_SAMPLES):
        times.observe(THRESHOLD_SECONDS, now)
    return RouteHedges(times=times, credit=credit)


def hedging_gateway(
    calls: TargetClient, *entries: TargetEntry, routing: RoutingDocument | None = None
) -> tuple[Gateway, Hedging, RecordedLines]:
    """Return a gateway that sends slow calls of its routes to a second target."""
    gw = gateway(calls, *entries, routing=routing)
    telemetry = HedgeTelemetry(gw.telemetry.log, MetricsRegistry())
    hedging = Hedging(GatewaySends(gw), 0.2, telemetry)
    now = gw.clock.monotonic()
    hedging.routes = {"r": known_route(now), "s": known_route(now)}
    gw.second_sends = hedging
    lines = RecordedLines()
    gw.telemetry.log.logger.handlers = [lines]
    gw.telemetry.log.logger.setLevel(logging.INFO)
    return gw, hedging, lines


def withheld(hedging: Hedging, route: str = "r") -> dict[str, float]:
    """Return how many second sends of a route were withheld, by reason."""
    series = hedging.telemetry.withheld_hedges.series
    return {key[1]: item.value for key, item in series.items() if key[0] == route}


def facts(**changes: Any) -> HedgeFacts:
    """Return facts that allow a second send."""
    defaults: dict[str, Any] = {
        "targets_used": 1,
        "max_targets": 2,
        "queued_calls": 0,
        "has_budget": True,
        "is_suspect": False,
        "time_left": 1.0,
        "work_seconds": 0.1,
    }
    return HedgeFacts(**(defaults | changes))
