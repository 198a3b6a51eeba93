"""Factories and fakes for tests of second sends."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
import logging
from typing import Any

from gypsumsail.gateway.forwarding import ForwardTerms
from gypsumsail.gateway.models import Call, RoutingDocument, TargetEntry
from gypsumsail.hedging.answer_times import AnswerTimes
from gypsumsail.hedging.const import MAX_CREDIT, MIN_SAMPLES
from gypsumsail.hedging.coordinator import Hedging
from gypsumsail.hedging.gateway_sends import GatewaySends
from gypsumsail.hedging.models import HedgeFacts
from gypsumsail.hedging.route_hedges import RouteHedges
from gypsumsail.hedging.telemetry import HedgeTelemetry
from gypsumsail.metrics.registry import MetricsRegistry
from tests.gateway.common import (
    RecordedLines,
    RecordedReply,
    ScriptedExchange,
    ScriptedTargets,
    call,
    gateway,
    target,
)

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


class Play:
    """A gateway that sends slow calls to a second of its targets, and one caller."""

    def __init__(
        self,
        *answers: ScriptedExchange,
        entries: Sequence[TargetEntry] = (target("t1"), target("t2")),
        routing: RoutingDocument | None = None,
    ) -> None:
        self.calls = ScriptedTargets(*answers)
        self.gw = gateway(self.calls, *entries, routing=routing)
        self.states = self.gw.view.targets.states
        telemetry = HedgeTelemetry(self.gw.telemetry.log, MetricsRegistry())
        self.hedging = Hedging(GatewaySends(self.gw), 0.2, telemetry)
        now = self.gw.clock.monotonic()
        self.hedging.routes = {"r": known_route(now), "s": known_route(now)}
        self.gw.second_sends = self.hedging
        self.lines = RecordedLines()
        self.gw.telemetry.log.logger.handlers = [self.lines]
        self.gw.telemetry.log.logger.setLevel(logging.INFO)

    async def async_call(
        self, its_call: Call | None = None, terms: ForwardTerms | None = None
    ) -> RecordedReply:
        """Serve a call to its end, after which no target may count it."""
        reply = RecordedReply()
        try:
            await self.gw.async_handle(its_call or call(), reply, terms)
        finally:
            assert (self.in_flight, self.gw.jobs) == (0, {})
        return reply

    @property
    def sent(self) -> list[str]:
        """Return the targets to which calls were sent, in order."""
        return [sent.target.name for sent in self.calls.sent]

    @property
    def in_flight(self) -> int:
        """Return the number of calls that are counted at the targets."""
        return sum(len(state.in_flight) for state in self.states.values())

    @property
    def failures(self) -> float:
        """Return the failures and crashes that are recorded of the targets."""
        crashed = sum(map(len, self.gw.crash_suspects.crashed_lives.values()))
        return sum(state.failures for state in self.states.values()) + crashed

    @property
    def end(self) -> str:
        """Return how the only second send ended."""
        [line] = self.lines.of("hedge ended")
        return str(line["end"])

    @property
    def withheld(self) -> dict[str, float]:
        """Return how many second sends were withheld, by reason."""
        series = self.hedging.telemetry.withheld_hedges.series
        return {key[1]: item.value for key, item in series.items()}


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
