"""Runs one VM of the gateway from start to shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from math import inf
import signal
from typing import Any

from gypsumsail.catalog.coordinator import CatalogCoordinator
from gypsumsail.catalog.watchers import watchers_per_zone
from gypsumsail.cold_targets.models import ColdStatement
from gypsumsail.cold_targets.senders import ColdSharing
from gypsumsail.context_stores.coordinator import ContextStoreCoordinator
from gypsumsail.context_stores.kept_parts import KeptPartsCoordinator
from gypsumsail.core.aligned_sleep import async_sleep_aligned
from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import (
    InvalidRequestError,
)
from gypsumsail.core.findings import SettingsInvalidError
from gypsumsail.core.hash_ring import HashRing
from gypsumsail.core.signals import handle_signal
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.evacuations.homes import Regions
from gypsumsail.forwarding.client import HelperClient
from gypsumsail.forwarding.const import MESSAGE_OVERHEAD_BYTES
from gypsumsail.forwarding.endpoint import ForwardEndpoint
from gypsumsail.forwarding.helpers import Helpers
from gypsumsail.gateway.coordinator import Gateway, GatewaySettings
from gypsumsail.gateway.fleet_view import FleetView
from gypsumsail.gateway.job import Assignment, Job
from gypsumsail.gateway.limit_slots import LimitSharing
from gypsumsail.gateway.models import Address, RoutingDocument, TargetEntry
from gypsumsail.gateway.notices import AnswerNotices
from gypsumsail.gateway.placer import JobPlacer
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.telemetry import GatewayTelemetry
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.gossip.coordinator import GossipCoordinator
from gypsumsail.gossip.demand_rows import demand_rows
from gypsumsail.gossip.messages import ServiceLoad
from gypsumsail.gossip.peers import PeerTable
from gypsumsail.gossip.target_notices import NamedWeights
from gypsumsail.hedging.coordinator import Hedging
from gypsumsail.hedging.gateway_sends import GatewaySends
from gypsumsail.hedging.telemetry import HedgeTelemetry
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.logs.line_writer import LineWriter
from gypsumsail.metrics.registry import MetricsRegistry
from gypsumsail.orders.lease_manager import LeaseManager
from gypsumsail.rollout.coordinator import RolloutCoordinator
from gypsumsail.rollout.lease_timing import rollout_lease_timing
from gypsumsail.transport.buffer_budget import (
    CutOffAnswer,
    buffer_limit,
    process_buffers,
)
from gypsumsail.transport.http_reply import Reply
from gypsumsail.transport.http_request import HttpRequest, ServerLimits
from gypsumsail.transport.http_server import HttpServer
from gypsumsail.vm.build_history import BuildHistory
from gypsumsail.vm.catch_up import CatchUp
from gypsumsail.vm.const import (
    LEASE_NAME,
    LIMIT_RING_DELAY_SECONDS,
    MAX_NAMINGS_TOLD,
    RETRY_AFTER_SECONDS,
    SETTINGS_POLL_SECONDS,
    TICK_SECONDS,
)
from gypsumsail.vm.control import ControlApi
from gypsumsail.vm.kept_state import KeptStateCoordinator
from gypsumsail.vm.loop_delay import LoopDelay
from gypsumsail.vm.metrics import VmMetrics
from gypsumsail.vm.peer_clients import PeerClients
from gypsumsail.vm.ports import VmPorts
from gypsumsail.vm.readiness import Readiness
from gypsumsail.vm.settings import VmSettings
from gypsumsail.vm.shutdown import accepts_requests, latest_exit, may_exit
from gypsumsail.vm.silence_log import SilenceLog
from gypsumsail.vm.supervision import Supervisor
from gypsumsail.vm.vm_list import VmRegistration


class VmRuntime:
    """Components of one VM and the wiring between them.

    Attributes
    ----------
    signalled_at
        Time of the stop signal; ``None`` before the signal.
    exits_at
        Time at which the process exits at the latest; infinite before the signal.
    """

    def __init__(
        self,
        settings: VmSettings,
        ports: VmPorts,
        clock: Clock,
        writer: LineWriter,
        metrics_port: int | None,
        hedge_share: float = 0.0,
        *,
        divides_engines: bool = False,
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.clock = clock
        self.writer = writer
        self.metrics_port = metrics_port
        self.signalled_at: float | None = None
        self.exits_at = inf
        self.started_at = clock.monotonic()
        self.log = DecisionLog(clock)
        self.registry = MetricsRegistry()
        self.supervisor = Supervisor(self.registry)
        self.telemetry = GatewayTelemetry(self.log, self.registry)
        self.targets = TargetTable()
        self.wanted_weights: dict[str, WantedWeights] = {}
        self.peers = PeerTable(settings.vm, settings.host, settings.zone)
        control = settings.control_address
        self.clients = PeerClients(control.port if control is not None else None)
        self.context_stores = ContextStoreCoordinator(
            ports.stores,
            self.targets,
            self.peers,
            self.clients,
            self.wanted_weights,
            settings.rollout_seconds,
            clock,
            self.log,
        )
        self.gateway = self._make_gateway()
        self.gateway.view.divides_engines = divides_engines
        if hedge_share:
            self.gateway.second_sends = Hedging(
                GatewaySends(self.gateway),
                hedge_share,
                HedgeTelemetry(self.log, self.registry),
            )
        self.helper_client = HelperClient(
            settings.vm, control.port if control is not None else None
        )
        self.helpers = Helpers(self.peers)
        self.gateway.forward_client = self.helper_client
        self.gateway.helpers = self.helpers
        self.gateway.view.choose_helper = self.helpers.choose
        self.forward_endpoint = ForwardEndpoint(
            self.gateway,
            clock,
            ports.read_call,
            ports.make_reply,
            lambda: self.signalled_at is not None,
        )
        self.catalog = self._make_catalog()
        self.gateway.knows_targets = lambda: self.catalog.knows_targets
        self.catalog.on_target_read = self._on_target_read
        self._connect_evacuations()
        self._apply_regions()
        self.gossip = self._make_gossip()
        self.rollout = self._make_rollout()
        self.catch_up = CatchUp(
            self.clients, self.catalog, self.gossip, clock, self.log
        )
        self.vm_registration = VmRegistration(
            settings, ports, self.peers, clock, self.log
        )
        self._connect_store_reports()
        self.kept_parts = KeptPartsCoordinator(
            ports.kept_parts_kind,
            ports.object_api,
            self.context_stores.exchange,
            self.context_stores.views,
            clock,
            self.log,
        )
        self.context_stores.on_listed = self.kept_parts.confirm_kept
        self.build_history = BuildHistory(
            self.catalog,
            ports.object_api,
            ports.decoder,
            self.gateway.stream_builds,
            self.peers,
            clock,
            self.log,
        )
        self.build_history.is_view_current = self._is_view_current
        self.kept_state = KeptStateCoordinator(
            settings.vm,
            ports.kept_state_kind,
            ports.object_api,
            ports.eras,
            self.peers,
            self.gateway.part_suspects,
            self.build_history,
            clock,
            self.log,
        )
        self.silence_log = SilenceLog(self.peers, self.log)
        self.loop_delay = LoopDelay(self.log)
        self.metrics = VmMetrics(
            self.registry, has_evacuations=bool(ports.kinds.evacuations)
        )
        process_buffers.limit_bytes = buffer_limit(settings.memory_bytes)
        process_buffers.on_cut_off = self._record_cut_off
        self.control_api = ControlApi(self)
        self.caller_server = HttpServer(
            self._async_handle_request, ServerLimits(), clock, self.metrics.refused
        )
        self.control_servers: list[HttpServer] = []
        self.tasks: list[asyncio.Task[None]] = []

    def _record_cut_off(self, answer: CutOffAnswer) -> None:
        self.metrics.cut_off.labels(answer.reason).increment()
        self.log.write(
            "answer cut off", peer=answer.peer, limit=answer.reason, bytes=answer.size
        )

    def _make_gateway(self) -> Gateway:
        view = FleetView(
            zone=self.settings.zone,
            fetchable_parts=self.context_stores.fetchable_prefix_parts,
            targets=self.targets,
            wanted_weights=self.wanted_weights,
            rollout_seconds=self.settings.rollout_seconds,
            vms=lambda: self.peers.count(self.clock.monotonic()),
            limit_sharing=LimitSharing(
                vm=self.peers.host,
                ring=self._limit_ring,
                wall=lambda now: now + self.clock.wall() - self.clock.monotonic(),
            ),
            load_report_interval=self.peers.load_report_interval,
            cold_sharing=ColdSharing(
                host=self.peers.host,
                zone=self.settings.zone,
                members=self._cold_senders,
                bound=self.settings.cold_bound,
            ),
        )
        gateway = Gateway(
            view,
            self.ports.calls,
            self.clock,
            GatewaySettings(retry_limit=self.settings.retry_limit),
            self.telemetry,
        )
        gateway.transfer_planner = self.context_stores.plan
        self.ports.calls.on_cold_stated = self._on_cold_stated
        return gateway

    def _make_catalog(self) -> CatalogCoordinator:
        catalog = CatalogCoordinator(
            self.ports.object_api,
            self.ports.kinds,
            self.ports.decoder,
            self.targets,
            self.wanted_weights,
            self.clock,
            self.telemetry,
            self._on_document,
            self._on_target_removed,
            self._is_watcher,
            self.settings.change_bounds,
        )
        view = self.gateway.view
        view.is_isolation_known = catalog.is_document_confirmed
        catalog.on_document_rejected = view.isolation.apply_rejected
        return catalog

    def _connect_evacuations(self) -> None:
        self.catalog.evacuations.on_ended = self.targets.expect_cold_zone
        zones = self.catalog.evacuations.zones
        self.gateway.view.evacuated_zones = zones
        self.gateway.view.allows_calls = self.catalog.allows_calls
        self.context_stores.evacuated_zones = zones
        self.catalog.evacuation_updates.is_known_zone = self._is_known_zone

    def _apply_regions(self) -> None:
        settings = self.settings
        regions = Regions(own_zone=settings.zone, by_zone=settings.regions)
        self.gateway.view.regions = regions
        self.helpers.regions = regions
        self.context_stores.regions = regions
        if settings.invalid_regions:
            self.log.write("regions unreadable", fields=list(settings.invalid_regions))

    def _is_known_zone(self, zone: str) -> bool:
        """Return whether any target or VM is in a zone."""
        states = self.targets.states.values()
        return (
            zone == self.settings.zone
            or zone in self.peers.other_zones()
            or any(state.entry.zone == zone for state in states)
        )

    def _make_gossip(self) -> GossipCoordinator:
        gossip = GossipCoordinator(
            self.settings.gossip_port,
            self.peers,
            self.targets,
            self.gateway.crash_suspects,
            self.gateway.part_suspects,
            self.gateway.stream_builds,
            self.clock,
            self.catalog.last_changed_revisions,
            self.catalog.reads_store,
            self.context_stores.apply_store_update,
        )
        self.gateway.part_suspects.may_try = self._may_try_part
        resumption = self.gateway.resumption
        resumption.on_began = gossip.streams.tell
        resumption.ask_build = gossip.streams.async_ask
        resumption.confirm_targets = self.catalog.async_confirm_targets
        gossip.streams.confirm_targets = self.catalog.async_confirm_targets
        self.gateway.on_first_token = self._on_first_token
        self.context_stores.on_store_update = gossip.publish_context_store_update
        self.gateway.view.peer_service_load = gossip.peer_service_load
        gossip.own_service_loads = self._own_service_loads
        self.gateway.on_target_news = gossip.notices.announce
        self.gateway.view.knows_notices = gossip.notices.is_informed
        gossip.notices.named_weights = self._named_weights
        gossip.notices.on_weights_named = self.catalog.handle_naming_told
        gossip.notices.on_leaving = self.telemetry.target_leaving
        gossip.notices.on_limit = self.telemetry.target_limited
        gossip.copies.own_readings = self.catalog.own_readings
        self.catalog.set_relied_on(self._is_relied_on)
        gossip.on_copy_confirmed = self.catalog.confirm
        gossip.on_behind = self.catalog.note_behind
        gossip.on_removal_confirmed = self.catalog.confirm_removal
        self.catalog.on_removal_seen = gossip.announce_removal
        return gossip

    def _connect_store_reports(self) -> None:
        exchange = self.context_stores.exchange
        exchange.started_at = self.started_at
        exchange.started_at_ms = self.gossip.started_at_ms
        exchange.had_former_life = True
        exchange.send = self.gossip.send_store_reports
        self.gossip.on_store_reports = exchange.handle
        self.vm_registration.on_first_registered = self._record_first_life

    def _record_first_life(self) -> None:
        self.context_stores.exchange.had_former_life = False

    def _make_rollout(self) -> RolloutCoordinator:
        holder = f"{self.settings.vm}@{self.settings.host}"
        lease_manager = LeaseManager(
            self.ports.object_api,
            self.clock,
            LEASE_NAME,
            holder,
            rollout_lease_timing(self.settings.min_holder_gap_seconds),
            self.ports.eras,
        )
        rollout = RolloutCoordinator(
            self.settings.vm,
            lease_manager,
            self.ports.orders,
            self.targets,
            self.wanted_weights,
            self.clock,
            self.log,
            lambda: self.peers.names(self.clock.monotonic()),
            self._models_of,
        )
        self.ports.orders.on_notices = self._on_engine_notices
        rollout.on_order_announced = self.gossip.announce_loading
        rollout.on_weights_loaded = self.gossip.announce_weights
        return rollout

    def _on_first_token(self, job: Job, assignment: Assignment, now: float) -> None:
        self.gossip.announce_cached_prompt(job, assignment, now)
        self.context_stores.on_first_token(assignment, now - job.placed_at, now)

    def _named_weights(self, now: float) -> tuple[NamedWeights, ...]:
        return tuple(
            NamedWeights(
                model=item.model,
                version=version,
                age_ms=max(round((now - named_at) * MILLISECONDS_PER_SECOND), 0),
            )
            for item in self.wanted_weights.values()
            for version, named_at in list(item.namings().items())[-MAX_NAMINGS_TOLD:]
        )

    @callback
    def _on_engine_notices(
        self, target: TargetEntry, notices: AnswerNotices, sent_at: float
    ) -> None:
        state = self.targets.states.get(target.name)
        if state is not None and state.entry.life == target.life:
            self.gateway.record_notices(state, notices, sent_at)

    @callback
    def _on_cold_stated(
        self, target: TargetEntry, cold: ColdStatement, sent_at: float
    ) -> None:
        state = self.targets.states.get(target.name)
        if state is not None and state.entry.life == target.life:
            self.gateway.record_cold(state, cold, sent_at)

    def _own_service_loads(self) -> tuple[ServiceLoad, ...]:
        now = self.clock.monotonic()
        found = (
            ServiceLoad(
                service=service,
                calls=len(queue.entries),
                work_ms=round(queue.queued_work_seconds() * MILLISECONDS_PER_SECOND),
                arriving_ms_per_second=round(
                    queue.offered_load(now) * MILLISECONDS_PER_SECOND
                ),
            )
            for service, queue in self.gateway.queues.items()
        )
        demand = (
            row
            for queue in self.gateway.queues.values()
            if isinstance(queue.placer, JobPlacer)
            for row in demand_rows(
                queue.placer.service.name, queue.placer.pools.own_demand(now)
            )
        )
        return tuple(
            item
            for item in (*found, *demand)
            if item.calls or item.arriving_ms_per_second
        )

    def _limit_ring(self, now: float) -> HashRing | None:
        """Return the ring of the VMs that share the targets' limits.

        After its start, a VM first has to hear of the others.
        """
        if now - self.started_at < LIMIT_RING_DELAY_SECONDS:
            return None
        return self.peers.ring(now)

    def _cold_senders(self, now: float) -> frozenset[str] | None:
        """Return the VMs among which the senders to a cold target are chosen.

        After its start, a VM first has to hear of the others.
        """
        if now - self.started_at < LIMIT_RING_DELAY_SECONDS:
            return None
        return self.peers.zone_members.hosts(now)

    def _is_view_current(self, now: float) -> bool:
        """Return whether this VM would have heard of a target of another build.

        A cut is noticed later than the silence of the other VMs.
        """
        return self.catalog.is_target_list_current(now) and self.peers.hears_zone(now)

    def _may_try_part(self, part: str, now: float) -> bool:
        """Return whether this VM, and no other, tries a blocked part again."""
        ring = self._limit_ring(now)
        return ring is not None and ring.owner(part) == self.peers.host

    def _is_watcher(self, kind: str) -> bool:
        now = self.clock.monotonic()
        return self.peers.is_assigned(kind, self._watcher_count(now), now)

    def _is_relied_on(self, kind: str) -> bool:
        """Return whether VMs of this zone rely on others that read a kind."""
        now = self.clock.monotonic()
        return len(self.peers.names_in_zone(now)) > self._watcher_count(now)

    def _watcher_count(self, now: float) -> int:
        return watchers_per_zone(
            len(self.peers.other_zones()) + 1, is_large=self.peers.is_large(now)
        )

    def _models_of(self, service: str) -> tuple[str, ...]:
        document = self.catalog.document
        found = document.services.get(service) if document is not None else None
        if found is None or found.engine is None:
            return ()
        return found.engine.models

    async def async_run(self) -> None:
        """Start the VM, serve requests and shut down."""
        self.log.write(
            "start", zone=self.settings.zone, host=self.settings.host, settings="read"
        )
        await self._async_start()
        try:
            await self._async_serve()
        finally:
            await self._async_stop()

    async def _async_start(self) -> None:
        now = self.clock.monotonic()
        for host in self.settings.seed_hosts:
            self.peers.add(host, now)
        self._install_signal_handlers()
        await self.gossip.async_start()
        settings = self.settings
        await self.caller_server.async_start(
            settings.caller_address.host, settings.caller_address.port
        )
        await self._async_listen_for_control()
        work: list[Callable[[], Coroutine[Any, Any, None]]] = [
            *self.catalog.tasks(),
            self.rollout.async_run,
            self.catch_up.async_run,
            self.context_stores.async_run,
            self.vm_registration.async_run,
            self.kept_state.async_run,
            self.kept_parts.async_run,
            self._async_watch_settings,
        ]
        self.tasks = [
            asyncio.create_task(
                self.supervisor.async_run(item.__qualname__, item),
                name=item.__qualname__,
            )
            for item in work
        ]

    async def _async_listen_for_control(self) -> None:
        """Listen on each configured address except that of the callers."""
        settings = self.settings
        listening = {settings.caller_address}
        addresses = [settings.readiness_address, settings.control_address]
        if self.metrics_port is not None:
            addresses.append(Address(host=settings.host, port=self.metrics_port))
        for address in addresses:
            if address is None or address in listening:
                continue
            listening.add(address)
            server = HttpServer(
                self.control_api.async_handle, ServerLimits(), self.clock
            )
            self.control_servers.append(server)
            await server.async_start(address.host, address.port)

    def _install_signal_handlers(self) -> None:
        handle_signal(signal.SIGTERM, self.stop)
        handle_signal(signal.SIGINT, self.stop)
        handle_signal(signal.SIGHUP, self.reload)

    async def _async_serve(self) -> None:
        while True:
            await async_sleep_aligned(TICK_SECONDS)
            now = self.clock.monotonic()
            self.supervisor.tick("catalog", self.catalog.tick, now)
            self.supervisor.tick("gateway", self.gateway.tick, now)
            self.supervisor.tick("gossip", self.gossip.tick, now)
            exchange = self.context_stores.exchange
            self.supervisor.tick("store reports", exchange.tick, now)
            self.supervisor.tick("rollout", self.rollout.tick, now)
            self.supervisor.tick("silence log", self.silence_log.tick, now)
            self.supervisor.tick("loop delay", self.loop_delay.tick, now)
            self.writer.flush()
            if not accepts_requests(self.signalled_at, now):
                self.caller_server.stop_accepting()
            if self.signalled_at is not None and may_exit(
                self.signalled_at, self._busy_connections(), self.exits_at, now
            ):
                return

    def _busy_connections(self) -> int:
        """Return the number of connections that still have to get an answer."""
        unsent = sum(server.unsent_connections for server in self.control_servers)
        in_progress = self.forward_endpoint.in_progress
        return self.caller_server.busy_connections + in_progress + unsent

    async def _async_stop(self) -> None:
        self.log.write("stop", busy_connections=self.caller_server.busy_connections)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for server in (self.caller_server, *self.control_servers):
            await server.async_stop()
        self.gateway.liveness.stop()
        self.context_stores.stop()
        self.clients.close()
        self.helper_client.close()
        self.gossip.stop()
        self.writer.flush()

    @callback
    def stop(self) -> None:
        """Start the shutdown: become unready.

        Requests are still accepted for ``BALANCER_NOTICE_SECONDS``, if they are
        expected to be answered before the exit. A later reload doesn't move the exit.
        """
        if self.signalled_at is not None:
            return
        self.signalled_at = self.clock.monotonic()
        self.exits_at = latest_exit(self.signalled_at, self.settings.grace_seconds)
        self.gateway.view.exits_at = self.exits_at
        self.gateway.dispatch()
        self.log.write(
            "stop signal", busy_connections=self.caller_server.busy_connections
        )
        self.caller_server.drain()

    @callback
    def reload(self) -> None:
        """Reload the settings; invalid settings change nothing.

        Only the retry limit, the bounds on changes and on requests to cold targets, the
        rollout time, the regions, added seed hosts and the grace period take effect
        without a restart. Whether evacuations are followed is decided at the start.
        """
        try:
            settings = self.ports.load_settings()
        except SettingsInvalidError as err:
            self.log.write("reload failed", reason=str(err))
            return
        if settings == self.settings:
            return
        self.settings = settings
        self.gateway.settings = GatewaySettings(retry_limit=settings.retry_limit)
        self.catalog.set_bounds(settings.change_bounds)
        self.gateway.view.rollout_seconds = settings.rollout_seconds
        self.gateway.view.cold_sharing.bound = settings.cold_bound
        self.context_stores.rollout_seconds = settings.rollout_seconds
        self._apply_regions()
        now = self.clock.monotonic()
        for host in settings.seed_hosts:
            self.peers.add(host, now)
        self.log.write("reload", seeds=len(settings.seed_hosts))

    async def _async_watch_settings(self) -> None:
        while True:
            await async_sleep_aligned(SETTINGS_POLL_SECONDS)
            self.reload()

    @callback
    def _on_document(self, document: RoutingDocument) -> None:
        self.gateway.set_document(document)
        self.context_stores.set_document(document)
        limits = document.limits
        self.caller_server.limits = ServerLimits(
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            request_seconds=limits.request_seconds,
            idle_seconds=limits.idle_seconds,
        )
        # Other VMs forward whole requests of their callers to the control port.
        control_limits = ServerLimits(
            body_bytes=limits.head_bytes + limits.body_bytes + MESSAGE_OVERHEAD_BYTES
        )
        for server in self.control_servers:
            server.limits = control_limits
        self.gateway.dispatch()

    @callback
    def _on_target_read(self, entry: TargetEntry) -> None:
        self.gateway.stream_builds.note_entry(entry, self.clock.monotonic())

    @callback
    def _on_target_removed(self, entry: TargetEntry) -> None:
        self.ports.on_target_removed(entry)

    def readiness(self) -> Readiness:
        """Return the conditions of readiness."""
        return Readiness(
            has_document=self.gateway.document is not None,
            knows_targets=self.catalog.knows_targets,
            knows_evacuations=self.catalog.knows_evacuations,
            is_stopping=self.signalled_at is not None,
        )

    async def _async_handle_request(self, request: HttpRequest, reply: Reply) -> None:
        if not accepts_requests(self.signalled_at, self.clock.monotonic()):
            self.log.write("refused while stopping")
            reply.send(503, [(b"retry-after", b"%.1f" % RETRY_AFTER_SECONDS)], b"")
            return
        try:
            call = self.ports.read_call(request)
        except InvalidRequestError as err:
            self.log.write("malformed request", reason=str(err), status=err.status)
            reply.send(err.status, [], b"")
            return
        await self.gateway.async_handle(
            call, self.ports.make_reply(reply, call.request_id)
        )
