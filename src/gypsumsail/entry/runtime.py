"""Creates, connects, starts and stops the components of an entry."""

from __future__ import annotations

import asyncio
import random
from typing import Final, Protocol

from gypsumsail.core.clock import Clock
from gypsumsail.entry.adapters import Canceller, HttpClientPool
from gypsumsail.entry.admission import LimitAdmission, ServiceRetryBudgets
from gypsumsail.entry.call import CallFactory
from gypsumsail.entry.caller_api import CallerApi, CallerApiDependencies
from gypsumsail.entry.engine_selector import PolicyEngineSelector
from gypsumsail.entry.operator_models import EntryState
from gypsumsail.entry.plain_selector import LeastRequestsSelector
from gypsumsail.entry.prober import TargetProber
from gypsumsail.entry.server import HttpServer
from gypsumsail.entry.settings import EntrySettings
from gypsumsail.entry.shared import SharedComponents
from gypsumsail.entry.status import EntryStatusSource
from gypsumsail.entry.validation import RequestValidator
from gypsumsail.entry.warm_up import may_become_ready
from gypsumsail.entry.web import make_web_app
from gypsumsail.fleet.coordinator import EngineReportCoordinator
from gypsumsail.membership.drain import RunningRequest
from gypsumsail.metrics.entry import EntryMetrics
from gypsumsail.metrics.loop import LoopMonitor
from gypsumsail.relay.attempts import AttemptDependencies
from gypsumsail.routing.choice_broadcast import ChoiceBroadcaster
from gypsumsail.routing.loads import EngineLoads
from gypsumsail.routing.policies import POLICIES
from gypsumsail.targets.plain import HttpPlainServiceClient
from gypsumsail.tiers.context_view import TierContextView
from gypsumsail.timeline.models import Event, EventKind

WARM_UP_POLL_SECONDS: Final = 0.05


class Component(Protocol):
    """A component of an entry; started in order and stopped in reverse order."""

    async def async_setup(self) -> None:
        """Start the component."""

    async def async_unload(self) -> None:
        """Stop the component."""


class EntryRuntime:
    """All components of one entry.

    Attributes
    ----------
    components
        Components in the order in which they are started.
    """

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = random.Random()
        self.shared = SharedComponents(settings, clock, self.rng)
        self.plain_services = HttpClientPool(HttpPlainServiceClient)
        self.canceller = Canceller(self.shared.engines)
        self.metrics = EntryMetrics()
        self.loads = EngineLoads()
        self._create_routing()
        self._create_servers()
        self.components = self._components()
        self.orders_running = False

    def _create_routing(self) -> None:
        """Create the components that select targets."""
        shared = self.shared
        context = TierContextView(
            shared.context,
            shared.tiers,
            shared.targets,
            prefill_rate=lambda target: self.loads.prefill_rate(
                target, now=self.clock.monotonic()
            ),
        )
        self.selector = PolicyEngineSelector(
            self.settings.zone,
            policy=POLICIES[self.settings.routing_policy],
            targets=shared.membership.targets,
            loads=self.loads,
            context=context,
            clock=self.clock,
            rng=self.rng,
        )
        self.choice_broadcaster = ChoiceBroadcaster(
            shared.network, self.loads, self.clock
        )
        self.fleet = EngineReportCoordinator(
            shared.entry_id,
            shared.network,
            self.clock,
            engines=shared.targets.vms,
            engine_of=shared.engines.get,
            on_report=self.selector.on_report,
        )

    def _create_servers(self) -> None:
        """Create the components that serve callers and operators."""
        self.caller_api = CallerApi(self._caller_api_dependencies())
        self.status = EntryStatusSource(
            shared=self.shared,
            started_at=self.clock.monotonic(),
            caller_api=self.caller_api,
            loads=self.loads,
            entry_metrics=self.metrics,
        )
        app = make_web_app(
            self.caller_api,
            self.status,
            self.settings.operator_key.get_secret_value(),
            self.clock,
        )
        address = self.settings.listen
        self.server = HttpServer(app, address.host, address.port)

    def _caller_api_dependencies(self) -> CallerApiDependencies:
        shared = self.shared
        self.validator = RequestValidator(shared.documents.all_in_force)
        shared.documents.subscribe(lambda _: self.validator.refresh())
        return CallerApiDependencies(
            validator=self.validator,
            admission=LimitAdmission(shared.limits, self.selector),
            reservations=shared.once,
            factory=CallFactory(
                engine_selector=self.selector,
                plain_selector=LeastRequestsSelector(
                    self.settings.zone,
                    targets=shared.membership.targets,
                    rng=self.rng,
                ),
                engine_of=shared.engines.get,
                plain_service_of=self.plain_services.get,
                cancel=self.canceller.cancel,
                clock=self.clock,
            ),
            relay=AttemptDependencies(
                suspects=shared.suspects,
                once=shared.once,
                budgets=ServiceRetryBudgets(shared.limits),
                prober=TargetProber(shared.engines.get),
                recorder=shared.recorder,
                clock=self.clock,
            ),
            metrics=self.metrics,
            body_limit=self.settings.body_limit,
            rng=self.rng,
        )

    def _components(self) -> list[Component]:
        shared = self.shared
        return [
            shared.network,
            shared.membership,
            shared.documents,
            shared.targets,
            shared.archive,
            self.fleet,
            shared.suspects,
            shared.limits,
            shared.context,
            shared.tiers,
            shared.once,
            self.choice_broadcaster,
            LoopMonitor(self.metrics.loop_delay.labels()),
            self.server,
        ]

    def running(self) -> tuple[RunningRequest, ...]:
        """Return the requests in flight."""
        return tuple(
            RunningRequest(request_id=request_id, service=job.route_match.service)
            for request_id, job in self.caller_api.active.items()
        )

    async def async_setup(self) -> None:
        """Start all components, in order."""
        for component in self.components:
            await component.async_setup()
        await self.shared.orders.async_setup()
        self.orders_running = True
        self.shared.recorder.record(
            Event(kind=EventKind.ENTRY_STARTED, detail=self.shared.entry_id.zone)
        )

    async def async_become_ready(self) -> None:
        """Become ready once all engines have reported or the warm-up time is over."""
        started_at = self.clock.monotonic()
        while True:
            await asyncio.sleep(WARM_UP_POLL_SECONDS)
            if self._is_warmed_up(self.clock.monotonic() - started_at):
                break
        self.status.state = EntryState.READY

    def _is_warmed_up(self, elapsed: float) -> bool:
        shared = self.shared
        return may_become_ready(
            documents=len(shared.documents.all_in_force()),
            engines={vm.vm_id for vm in shared.targets.vms()},
            reported=self.selector.reports.keys(),
            elapsed=elapsed,
        )

    async def async_release_order_lease(self) -> None:
        """Release the order lease, so that another entry can acquire it at once."""
        if self.orders_running:
            self.orders_running = False
            await self.shared.orders.async_unload()

    async def async_unload(self) -> None:
        """Stop all components, in reverse order."""
        await self.async_release_order_lease()
        for component in reversed(self.components):
            await component.async_unload()
        shared = self.shared
        for pool in (shared.engines, self.plain_services, shared.stores):
            await pool.async_unload()
        await shared.platform.async_close()
