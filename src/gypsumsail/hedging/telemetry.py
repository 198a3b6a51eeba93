"""Log lines and metrics of second sends."""

from __future__ import annotations

from gypsumsail.core.callback import callback
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gateway.job_send import JobSend
from gypsumsail.hedging.const import WITHDRAWN_SECONDS
from gypsumsail.hedging.models import HedgeEnd, Withheld
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.metrics.registry import MetricsRegistry


def _milliseconds(seconds: float) -> int:
    return round(seconds * MILLISECONDS_PER_SECOND)


class HedgeTelemetry:
    """Logs and counts second sends."""

    def __init__(self, log: DecisionLog, registry: MetricsRegistry) -> None:
        self.log = log
        self.hedges = registry.counter(
            "gypsumsail_gateway_hedges_total",
            "Second sends of slow calls by route: sent, and how they ended.",
            ("route", "event"),
        )
        self.withheld_hedges = registry.counter(
            "gypsumsail_gateway_hedges_withheld_total",
            "Slow calls without a second send by route and reason.",
            ("route", "reason"),
        )

    @callback
    def sent(
        self, first: JobSend, second: JobSend, threshold: float, now: float
    ) -> None:
        """Log and count a second send."""
        route = first.job.route.name
        self.hedges.labels(route, "sent").increment()
        self.log.write(
            "hedge sent",
            request=first.job.call.request_id,
            route=route,
            target=second.state.entry.name,
            life=second.state.entry.life,
            first_target=first.state.entry.name,
            after_ms=_milliseconds(now - first.sent_at),
            threshold_ms=_milliseconds(threshold),
            left_ms=_milliseconds(first.job.deadline - now),
        )

    @callback
    def ended(self, second: JobSend, end: HedgeEnd, now: float) -> None:
        """Log and count how a second send ended."""
        route = second.job.route.name
        self.hedges.labels(route, end.value).increment()
        self.log.write(
            "hedge ended",
            request=second.job.call.request_id,
            route=route,
            target=second.state.entry.name,
            end=end.value,
            after_ms=_milliseconds(now - second.sent_at),
        )

    @callback
    def withheld(self, route: str, reason: Withheld) -> None:
        """Count a slow call without a second send."""
        self.withheld_hedges.labels(route, reason.value).increment()

    @callback
    def withdrawn(self, route: str) -> None:
        """Log that a route has no second sends for a while."""
        self.log.write("hedges withdrawn", route=route, seconds=WITHDRAWN_SECONDS)
