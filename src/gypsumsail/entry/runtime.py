"""Makes the parts of an entry and joins them."""

from __future__ import annotations

import random
from typing import Protocol

from gypsumsail.core.clock import Clock
from gypsumsail.core.ids import new_id
from gypsumsail.document.parser import parse_document
from gypsumsail.documents.coordinator import DocumentsCoordinator
from gypsumsail.entry.acceptance import Acceptance
from gypsumsail.entry.adapters import AdapterPool, Canceller
from gypsumsail.entry.admission import OpenAdmission, OpenRetryBudget
from gypsumsail.entry.call import CallFactory
from gypsumsail.entry.caller_api import CallerApi, CallerPorts
from gypsumsail.entry.context_view import NoContextView
from gypsumsail.entry.engine_selector import PolicyEngineSelector
from gypsumsail.entry.operator_models import EntryState
from gypsumsail.entry.plain_selector import LeastCallsSelector
from gypsumsail.entry.prober import TargetProber
from gypsumsail.entry.server import HttpServer
from gypsumsail.entry.settings import EntrySettings
from gypsumsail.entry.status import EntryStatusSource
from gypsumsail.entry.web import make_web_app
from gypsumsail.fleet.coordinator import FleetCoordinator
from gypsumsail.membership.coordinator import MembershipCoordinator
from gypsumsail.membership.drain import RunningRequest
from gypsumsail.membership.models import MembershipSettings
from gypsumsail.once.coordinator import OnceCoordinator
from gypsumsail.peers.network import WebsocketPeerNetwork
from gypsumsail.peers.port import EntryId
from gypsumsail.platform.http import HttpPlatform
from gypsumsail.platform.port import VmRecord, VmRole
from gypsumsail.relay.attempts import RelayPorts
from gypsumsail.routing.policies import POLICIES
from gypsumsail.suspects.coordinator import SuspectsCoordinator
from gypsumsail.targets.http import HttpEngine
from gypsumsail.targets.plain import HttpPlainService
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.recorder import TimelineRecorder
from gypsumsail.timeline.records import ProcessId


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
        self.me = EntryId(name=settings.name, incarnation=new_id(), zone=settings.zone)
        self.recorder = TimelineRecorder(
            ProcessId(name=self.me.name, incarnation=self.me.incarnation), clock
        )
        self.platform = HttpPlatform(settings.platform_url)
        self.engines = AdapterPool(HttpEngine)
        self.plains = AdapterPool(HttpPlainService)
        self.canceller = Canceller(self.engines)
        self._make_shared()
        self._make_serving()
        self.parts: list[Part] = [
            self.network,
            self.membership,
            self.documents,
            self.fleet,
            self.suspects,
            self.once,
            self.server,
        ]

    def _make_shared(self) -> None:
        """Make the parts that work together with other entries."""
        settings = self.settings
        self.network = WebsocketPeerNetwork(
            self.me,
            secret=settings.peer_secret.get_secret_value().encode(),
            host=settings.peer_listen.host,
            port=settings.peer_listen.port,
            clock=self.clock,
        )
        self.membership = MembershipCoordinator(
            MembershipSettings(seeds=settings.seed_peers),
            vm_list=self.platform,
            network=self.network,
            recorder=self.recorder,
            clock=self.clock,
            rng=self.rng,
        )
        self.documents = DocumentsCoordinator(
            self.platform,
            self.network,
            self.membership,
            self.recorder,
            self.clock,
            parse=parse_document,
            rng=self.rng,
        )
        self.suspects = SuspectsCoordinator(
            self.me, self.network, self.recorder, self.clock
        )
        self.once = OnceCoordinator(
            self.platform, self.network, self.recorder, self.clock, self.me
        )

    def _make_serving(self) -> None:
        """Make the parts that serve callers."""
        settings = self.settings
        self.selector = PolicyEngineSelector(
            settings.zone,
            policy=POLICIES[settings.routing_policy],
            targets=self.membership.targets,
            context=NoContextView(),
            clock=self.clock,
            rng=self.rng,
        )
        self.fleet = FleetCoordinator(
            self.me,
            self.network,
            self.clock,
            engines=self.known_engines,
            engine_of=self.engines.get,
            on_sighting=self.selector.on_sighting,
        )
        self.caller_api = CallerApi(self._caller_ports())
        self.status = EntryStatusSource(
            me=self.me,
            started_at=self.clock.monotonic(),
            membership=self.membership,
            documents=self.documents,
            caller_api=self.caller_api,
            recorder=self.recorder,
        )
        app = make_web_app(
            self.caller_api,
            self.status,
            settings.operator_key.get_secret_value(),
            self.clock,
        )
        self.server = HttpServer(app, settings.listen.host, settings.listen.port)

    def _caller_ports(self) -> CallerPorts:
        self.acceptance = Acceptance(self.documents.all_in_force)
        self.documents.subscribe(lambda _: self.acceptance.refresh())
        return CallerPorts(
            acceptance=self.acceptance,
            admission=OpenAdmission(),
            reservations=self.once,
            factory=CallFactory(
                engine_selector=self.selector,
                plain_selector=LeastCallsSelector(
                    self.settings.zone, targets=self.membership.targets, rng=self.rng
                ),
                engine_of=self.engines.get,
                plain_of=self.plains.get,
                cancel=self.canceller.cancel,
                clock=self.clock,
            ),
            relay=RelayPorts(
                suspects=self.suspects,
                once=self.once,
                budget=OpenRetryBudget(),
                prober=TargetProber(self.engines.get),
                recorder=self.recorder,
                clock=self.clock,
            ),
            body_limit=self.settings.body_limit,
            rng=self.rng,
        )

    def known_engines(self) -> tuple[VmRecord, ...]:
        """Return the engines of all services with a document in force."""
        return tuple(
            vm
            for document in self.documents.all_in_force()
            for vm in self.membership.targets(document.document.service)
            if vm.role is VmRole.ENGINE
        )

    def running(self) -> tuple[RunningRequest, ...]:
        """Return the requests that are not answered whole yet."""
        return tuple(
            RunningRequest(request_id=request_id, service=job.placement.service)
            for request_id, job in self.caller_api.active.items()
        )

    async def async_hand_over(self) -> None:
        """Give up the duties that others should take over."""

    async def async_setup(self) -> None:
        """Start all parts, in order."""
        for part in self.parts:
            await part.async_setup()
        self.status.state = EntryState.READY
        self.recorder.record(Event(kind=EventKind.ENTRY_STARTED, detail=self.me.zone))

    async def async_unload(self) -> None:
        """Stop all parts, in reverse order."""
        for part in reversed(self.parts):
            await part.async_unload()
        for pool in (self.engines, self.plains):
            await pool.async_unload()
        await self.platform.async_close()
