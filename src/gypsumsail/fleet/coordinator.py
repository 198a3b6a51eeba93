"""Reads engines' load and state, and shares them among the entries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import logging

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import GypsumsailError, TransportError
from gypsumsail.fleet.const import (
    CALL_TIMEOUT_SECONDS,
    SHORTEST_PAUSE_SECONDS,
    STATE_ROUNDS,
)
from gypsumsail.fleet.models import EngineSighting, EngineSightings, make_sighting
from gypsumsail.fleet.watch_plan import (
    far_round_seconds,
    is_overdue,
    near_round_seconds,
    watcher,
)
from gypsumsail.object_api.port import VmRecord
from gypsumsail.peers.port import EntryId, PeerNetwork
from gypsumsail.targets.port import Engine, EngineState

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class Seen:
    """The last sighting of an engine and when it came."""

    sighting: EngineSighting
    seen_at: float


class FleetCoordinator:
    """The engines as this entry sees them.

    Parameters
    ----------
    engines
        Returns the engines that membership knows.
    on_sighting
        Called with each new sighting and the present time.
    """

    def __init__(
        self,
        me: EntryId,
        network: PeerNetwork,
        clock: Clock,
        *,
        engines: Callable[[], tuple[VmRecord, ...]],
        engine_of: Callable[[VmRecord], Engine],
        on_sighting: Callable[[EngineSighting, float], None],
    ) -> None:
        self.me = me
        self.network = network
        self.clock = clock
        self.engines = engines
        self.engine_of = engine_of
        self.on_sighting = on_sighting
        self.seen: dict[str, Seen] = {}
        self.states: dict[str, EngineState] = {}
        self.rounds = 0
        self.far_due_at = 0.0
        self.started_at = clock.monotonic()
        self.task: asyncio.Task[None] | None = None
        self.unsubscribe: Callable[[], None] | None = None

    async def async_setup(self) -> None:
        """Start to read engines and to take what others read."""
        self.started_at = self.clock.monotonic()
        self.unsubscribe = self.network.subscribe(
            EngineSightings, self._async_on_sightings
        )
        self.task = asyncio.create_task(self._async_watch())

    async def async_unload(self) -> None:
        """Stop to read engines."""
        if self.unsubscribe is not None:
            self.unsubscribe()
        if self.task is not None:
            self.task.cancel()

    async def _async_watch(self) -> None:
        while True:
            started_at = self.clock.monotonic()
            engines = self.engines()
            try:
                await self._async_round(engines)
            except GypsumsailError:
                _LOGGER.exception("Reading the engines failed")
            spent = self.clock.monotonic() - started_at
            near = [vm for vm in engines if vm.zone == self.me.zone]
            pause = near_round_seconds(len(near)) - spent
            await asyncio.sleep(max(pause, SHORTEST_PAUSE_SECONDS))

    async def _async_round(self, engines: tuple[VmRecord, ...]) -> None:
        self.rounds += 1
        now = self.clock.monotonic()
        peers = self.network.peers()
        far_seconds = far_round_seconds(_count_far(engines, self.me.zone))
        mine = [vm for vm in engines if self._is_mine(vm, peers, now, far_seconds)]
        found = await asyncio.gather(*(self._async_read(vm) for vm in mine))
        sightings = tuple(sighting for sighting in found if sighting is not None)
        self._forget(engines)
        if not sightings:
            return
        await self._async_share(sightings, _near(peers, self.me.zone))
        if now >= self.far_due_at:
            self.far_due_at = now + far_seconds
            await self._async_share(sightings, _far(peers, self.me.zone))

    def _is_mine(
        self,
        vm: VmRecord,
        peers: tuple[EntryId, ...],
        now: float,
        far_seconds: float,
    ) -> bool:
        if watcher(vm, self.me, peers) == self.me.name:
            return True
        seen = self.seen.get(vm.vm_id)
        return is_overdue(
            seen.seen_at if seen else None,
            self.started_at,
            now,
            round_seconds=far_seconds,
        )

    async def _async_read(self, vm: VmRecord) -> EngineSighting | None:
        engine = self.engine_of(vm)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                load = await engine.async_load()
                state = self.states.get(vm.vm_id)
                known = state is not None and state.incarnation == load.incarnation
                if state is None or not known or self.rounds % STATE_ROUNDS == 0:
                    state = await engine.async_state()
                    self.states[vm.vm_id] = state
        except (TransportError, TimeoutError) as error:
            _LOGGER.debug("Engine %s was not read: %s", vm.vm_id, error)
            return None
        sighting = make_sighting(vm.vm_id, load, state, 0.0)
        self._take(sighting)
        return sighting

    async def _async_share(
        self, sightings: tuple[EngineSighting, ...], peers: list[EntryId]
    ) -> None:
        message = EngineSightings(sightings=sightings)
        for peer in peers:
            try:
                await self.network.async_send(peer, message)
            except TransportError as error:
                _LOGGER.debug("Peer %s was not told: %s", peer.name, error)

    async def _async_on_sightings(
        self, _peer: EntryId, message: EngineSightings
    ) -> None:
        for sighting in message.sightings:
            self._take(sighting)

    @callback
    def _take(self, sighting: EngineSighting) -> None:
        now = self.clock.monotonic()
        self.seen[sighting.target] = Seen(sighting=sighting, seen_at=now)
        self.on_sighting(sighting, now)

    def _forget(self, engines: tuple[VmRecord, ...]) -> None:
        known = {vm.vm_id for vm in engines}
        for target in [target for target in self.seen if target not in known]:
            del self.seen[target]
            self.states.pop(target, None)


def _near(peers: tuple[EntryId, ...], zone: str) -> list[EntryId]:
    return [peer for peer in peers if peer.zone == zone]


def _far(peers: tuple[EntryId, ...], zone: str) -> list[EntryId]:
    return [peer for peer in peers if peer.zone != zone]


def _count_far(engines: tuple[VmRecord, ...], zone: str) -> int:
    return sum(vm.zone != zone for vm in engines)
