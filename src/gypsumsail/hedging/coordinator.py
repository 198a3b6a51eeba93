"""Decides which sends may get a second one, and keeps what is known of each route."""

from __future__ import annotations

from gypsumsail.core.callback import callback
from gypsumsail.gateway.job_send import JobSend
from gypsumsail.gateway.models import CallKind
from gypsumsail.gateway.outcomes import SendOutcome
from gypsumsail.hedging.const import MAX_ROUTES
from gypsumsail.hedging.port import SendPort
from gypsumsail.hedging.race import Race
from gypsumsail.hedging.route_hedges import RouteHedges
from gypsumsail.hedging.silent_targets import SilentTargets
from gypsumsail.hedging.telemetry import HedgeTelemetry


class Hedging:
    """Second sends of all calls of this VM.

    Attributes
    ----------
    share
        Largest number of second sends per call.
    routes
        What is known of each route, by its name.
    """

    def __init__(self, port: SendPort, share: float, telemetry: HedgeTelemetry) -> None:
        self.port = port
        self.share = share
        self.telemetry = telemetry
        self.routes: dict[str, RouteHedges] = {}
        self.silent = SilentTargets()

    @callback
    def applies_to(self, send: JobSend) -> bool:
        """Return whether a send may get a second one, as far as its call decides it.

        It must be allowed to run twice, and nothing of its answer may have been sent.
        """
        route = send.job.route
        if route.kind is CallKind.ONCE or not route.may_repeat:
            return False
        return route.max_targets > 1 and not send.reply.has_begun

    async def async_run(self, send: JobSend) -> SendOutcome:
        """Run a send, and a second one if it is slow."""
        route = self._route(send.job.route.name)
        if not send.job.tried:
            route.count_call(self.share)
        return await Race(
            self.port, route, self.silent, self.telemetry, send
        ).async_run()

    def _route(self, name: str) -> RouteHedges:
        found = self.routes.get(name)
        if found is None:
            if len(self.routes) >= MAX_ROUTES:
                del self.routes[next(iter(self.routes))]
            found = self.routes[name] = RouteHedges()
        return found
