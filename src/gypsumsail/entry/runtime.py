"""Makes the parts of an entry, joins them, starts and stops them."""

from __future__ import annotations

import asyncio
import random
from typing import Final, Protocol

from gypsumsail.core.clock import Clock
from gypsumsail.entry.acceptance import Acceptance
from gypsumsail.entry.adapters import AdapterPool, Canceller
from gypsumsail.entry.admission import LimitAdmission, ServiceRetryBudgets
from gypsumsail.entry.call import CallFactory
from gypsumsail.entry.caller_api import CallerApi, CallerPorts
from gypsumsail.entry.engine_selector import PolicyEngineSelector
from gypsumsail.entry.operator_models import EntryState
from gypsumsail.entry.plain_selector import LeastCallsSelector
from gypsumsail.entry.prober import TargetProber
from gypsumsail.entry.server import HttpServer
from gypsumsail.entry.settings import EntrySettings
from gypsumsail.entry.shared import SharedParts
from gypsumsail.entry.status import EntryStatusSource
from gypsumsail.entry.warm_up import may_turn_ready
from gypsumsail.entry.web import make_web_app
from gypsumsail.fleet.coordinator import FleetCoordinator
from gypsumsail.membership.drain import RunningRequest
from gypsumsail.metrics.entry import EntryMetrics
from gypsumsail.metrics.loop import LoopMonitor
from gypsumsail.relay.attempts import RelayPorts
from gypsumsail.routing.choice_broadcast import ChoiceBroadcaster
from gypsumsail.routing.loads import EngineLoads
from gypsumsail.routing.policies import POLICIES
from gypsumsail.targets.plain import HttpPlainService
from gypsumsail.tiers.context_view import TierContextView
from gypsumsail.timeline.models import Event, EventKind

WARM_UP_TICK_SECONDS: Final = 0.05


class Part(Protocol):
    """A part that is set up before and unloaded after those that follow it."""

    async def async_setup(self) -> None:
        """Start."""

    async def async_unload(self) -> None:
        """Stop."""


class EntryRuntime:
    """All parts of one entry.

    Attributes
    ----------
    parts
        Parts in the order of their set-up.
    """

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = random.Random()
        self.shared = SharedParts(settings, clock, self.rng)
        self.plains = AdapterPool(HttpPlainService)
        self.canceller = Canceller(self.shared.engines)
        self.metrics = EntryMetrics()
        self.loads = EngineLoads()
        self._make_choice()
        self._make_serving()
        self.parts = self._parts()
        self.orders_running = False

    def _make_choice(self) -> None:
        """Make what chooses targets."""
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
        self.gossip = ChoiceBroadcaster(shared.network, self.loads, self.clock)
        self.fleet = FleetCoordinator(
            shared.me,
            shared.network,
            self.clock,
            engines=shared.targets.vms,
            engine_of=shared.engines.get,
            on_report=self.selector.on_sighting,
        )

    def _make_serving(self) -> None:
        """Make what serves callers and operators."""
        self.caller_api = CallerApi(self._caller_ports())
        self.status = EntryStatusSource(
            shared=self.shared,
            started_at=self.clock.monotonic(),
            caller_api=self.caller_api,
            loads=self.loads,
            metrics_kept=self.metrics,
        )
        app = make_web_app(
            self.caller_api,
            self.status,
            self.settings.operator_key.get_secret_value(),
            self.clock,
        )
        address = self.settings.listen
        self.server = HttpServer(app, address.host, address.port)

    def _caller_ports(self) -> CallerPorts:
        shared = self.shared
        self.acceptance = Acceptance(shared.documents.all_in_force)
        shared.documents.subscribe(lambda _: self.acceptance.refresh())
        return CallerPorts(
            acceptance=self.acceptance,
            admission=LimitAdmission(shared.limits, self.selector),
            reservations=shared.once,
            factory=CallFactory(
                engine_selector=self.selector,
                plain_selector=LeastCallsSelector(
                    self.settings.zone, targets=shared.membership.targets, rng=self.rng
                ),
                engine_of=shared.engines.get,
                plain_of=self.plains.get,
                cancel=self.canceller.cancel,
                clock=self.clock,
            ),
            relay=RelayPorts(
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

    def _parts(self) -> list[Part]:
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
            self.gossip,
            LoopMonitor(self.metrics.loop_delay.labels()),
            self.server,
        ]

    def running(self) -> tuple[RunningRequest, ...]:
        """Return the requests that are not answered whole yet."""
        return tuple(
            RunningRequest(request_id=request_id, service=job.placement.service)
            for request_id, job in self.caller_api.active.items()
        )

    async def async_setup(self) -> None:
        """Start all parts, in order."""
        for part in self.parts:
            await part.async_setup()
        await self.shared.orders.async_setup()
        self.orders_running = True
        self.shared.recorder.record(
            Event(kind=EventKind.ENTRY_STARTED, detail=self.shared.me.zone)
        )

    async def async_turn_ready(self) -> None:
        """Turn ready when the engines were read, or after a while."""
        started_at = self.clock.monotonic()
        while True:
            await asyncio.sleep(WARM_UP_TICK_SECONDS)
            if self._is_warm(self.clock.monotonic() - started_at):
                break
        self.status.state = EntryState.READY

    def _is_warm(self, waited: float) -> bool:
        shared = self.shared
        return may_turn_ready(
            documents=len(shared.documents.all_in_force()),
            engines={vm.vm_id for vm in shared.targets.vms()},
            seen=self.selector.sightings.keys(),
            waited=waited,
        )

    async def async_hand_over(self) -> None:
        """Give up the lease for orders, so that another entry takes it at once."""
        if self.orders_running:
            self.orders_running = False
            await self.shared.orders.async_unload()

    async def async_unload(self) -> None:
        """Stop all parts, in reverse order."""
        await self.async_hand_over()
        for part in reversed(self.parts):
            await part.async_unload()
        shared = self.shared
        for pool in (shared.engines, self.plains, shared.stores):
            await pool.async_unload()
        await shared.platform.async_close()
