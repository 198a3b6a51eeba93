"""Gives orders to engines while this VM holds the lease for them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.rendezvous import rank
from gypsumsail.gateway.targets import TargetState, TargetTable
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.orders.errors import OrdersCorruptError
from gypsumsail.orders.lease import may_order
from gypsumsail.orders.lease_manager import LeaseManager
from gypsumsail.rollout.const import (
    ANNOUNCE_SECONDS,
    FIRST_REPORT_SECONDS,
    IDLE_STEP_SECONDS,
    LONGEST_LOAD_SECONDS,
    LOOK_SECONDS,
    REPORT_SECONDS,
    STEP_SECONDS,
    UNREACHABLE_SECONDS,
)
from gypsumsail.rollout.planner import EngineTurn, may_try, next_turns
from gypsumsail.rollout.port import EngineOrders, LoadWeights, OrderAnswer

DUTY = "rollout"


@dataclass(slots=True, kw_only=True)
class Turn:
    """An order that is under way."""

    state: TargetState
    begun_at: float
    task: asyncio.Task[None] | None = None


class RolloutCoordinator:
    """Compares wanted with loaded weights, and orders what differs.

    Attributes
    ----------
    vms
        Names of the VMs that are believed alive, this one included.
    models_of
        Models of a service's engines.
    on_loading, on_weights
        Called before an order, and when an engine has shown its version.
    """

    def __init__(
        self,
        vm: str,
        keeper: LeaseManager,
        engines: EngineOrders,
        targets: TargetTable,
        wanted: dict[str, WantedWeights],
        clock: Clock,
        log: DecisionLog,
        vms: Callable[[], list[str]],
        models_of: Callable[[str], tuple[str, ...]],
    ) -> None:
        self.vm = vm
        self.keeper = keeper
        self.engines = engines
        self.targets = targets
        self.wanted = wanted
        self.clock = clock
        self.log = log
        self.vms = vms
        self.models_of = models_of
        self.turns: dict[tuple[str, int], Turn] = {}
        self.not_before: dict[tuple[str, int], float] = {}
        self.orders_taken: dict[tuple[str, int], int] = {}
        self.behind_since: float | None = None
        self.behind_count = 0
        self.was_holder = False
        self.looked_at = 0.0
        self.on_loading: Callable[[TargetState], None] = lambda state: None
        self.on_weights: Callable[[TargetState, str, int], None] = (
            lambda state, model, version: None
        )

    async def async_run(self) -> None:
        """Look at the rollouts until cancelled."""
        while True:
            try:
                is_busy = await self._async_step()
            except (TransportError, OrdersCorruptError) as err:
                self.log.write("rollout step failed", reason=str(err))
                is_busy = False
            await asyncio.sleep(STEP_SECONDS if is_busy else IDLE_STEP_SECONDS)

    async def _async_step(self) -> bool:
        """Do what is due; return whether a rollout is under way."""
        now = self.clock.monotonic()
        behind = [
            (state, want)
            for want in list(self.wanted.values())
            for state in self._behind(want)
        ]
        self._note_progress(len(behind), now)
        self._end_turns(now)
        if not behind or self.behind_since is None:
            return False
        if not self._may_try(now) or not self._may_look(now):
            return True
        await self.keeper.async_step(0)
        self._note_holder()
        if not may_order(self.keeper.held, self.clock.monotonic()):
            return True
        for want in list(self.wanted.values()):
            self._order_next(want, now)
        return True

    def _behind(self, want: WantedWeights) -> list[TargetState]:
        return [
            state
            for state in self._engines(want.model)
            if state.weight_versions.get(want.model, 0) < want.version
        ]

    def _engines(self, model: str) -> list[TargetState]:
        return [
            state
            for state in self.targets.states.values()
            if not state.is_leaving and model in self.models_of(state.entry.service)
        ]

    def _note_progress(self, behind: int, now: float) -> None:
        if not behind:
            self.behind_since = None
        elif self.behind_since is None or behind != self.behind_count:
            self.behind_since = now
        self.behind_count = behind

    def _may_try(self, now: float) -> bool:
        if self.keeper.held is not None and may_order(self.keeper.held, now):
            return True
        place = list(rank(DUTY, self.vms())).index(self.vm)
        assert self.behind_since is not None
        return may_try(place, now - self.behind_since)

    def _may_look(self, now: float) -> bool:
        """Return whether the lease is asked for now; its holder always does."""
        if self.keeper.held is not None:
            return True
        if now - self.looked_at < LOOK_SECONDS:
            return False
        self.looked_at = now
        return True

    def _note_holder(self) -> None:
        is_holder = self.keeper.held is not None
        if is_holder != self.was_holder:
            self.was_holder = is_holder
            fence = self.keeper.held.fence if self.keeper.held else None
            self.log.write("orders lease", held=is_holder, fence=fence)

    def _end_turns(self, now: float) -> None:
        for key, turn in list(self.turns.items()):
            if turn.task is not None and turn.task.done():
                del self.turns[key]
            elif now - turn.begun_at > LONGEST_LOAD_SECONDS:
                if turn.task is not None:
                    turn.task.cancel()
                del self.turns[key]

    def _order_next(self, want: WantedWeights, now: float) -> None:
        engines = [
            EngineTurn(
                target=state.entry.name,
                life=state.entry.life,
                has_version=state.weight_versions.get(want.model, 0) >= want.version,
                is_loading=self._key(state) in self.turns,
                may_be_asked=self._may_be_asked(state, now),
                calls=state.calls(now),
            )
            for state in self._engines(want.model)
        ]
        for turn in next_turns(engines):
            state = self.targets.states[turn.target]
            task = asyncio.get_running_loop().create_task(self._async_turn(state, want))
            self.turns[self._key(state)] = Turn(state=state, begun_at=now, task=task)

    def _may_be_asked(self, state: TargetState, now: float) -> bool:
        not_before = self.not_before.get(self._key(state), 0.0)
        return not state.is_unreachable(now) and not_before <= now

    @staticmethod
    def _key(state: TargetState) -> tuple[str, int]:
        return (state.entry.name, state.entry.life)

    async def _async_turn(self, state: TargetState, want: WantedWeights) -> None:
        """Order one engine and wait until it has the weights."""
        try:
            await self._async_order(state, want)
        except TransportError as err:
            self.log.write("order unanswered", target=state.entry.name, reason=str(err))
            later = self.clock.monotonic() + UNREACHABLE_SECONDS
            self.not_before[self._key(state)] = later

    async def _async_order(self, state: TargetState, want: WantedWeights) -> None:
        report = await self.engines.async_report(state.entry)
        if report.life not in (0, state.entry.life):
            raise TransportError("another life of the engine answers", sent=False)
        if self._is_done(state, want, report.weight_versions):
            return
        if not report.is_busy:
            self.on_loading(state)
            state.expect_load(self.clock.monotonic())
            await asyncio.sleep(ANNOUNCE_SECONDS)
            held = self.keeper.held
            now = self.clock.monotonic()
            if held is None or not may_order(held, now):
                return
            order = LoadWeights(
                model=want.model,
                version=want.version,
                holder=self.keeper.holder,
                fence=held.fence,
                orders_taken=report.orders_taken,
            )
            self.log.write(
                "order",
                target=state.entry.name,
                life=state.entry.life,
                model=want.model,
                version=want.version,
                fence=held.fence,
                lease_left_ms=round((held.valid_until - now) * 1000),
                orders_taken=report.orders_taken,
            )
            answer = await self.engines.async_order(state.entry, order)
            self.log.write(
                "order answered", target=state.entry.name, answer=answer.name
            )
            if answer is OrderAnswer.ALREADY_SO:
                self._is_done(state, want, {want.model: want.version})
                return
            if answer is not OrderAnswer.TAKEN:
                raise TransportError(
                    f"the order was not taken: {answer.name}", sent=True
                )
        await self._async_wait(state, want)

    async def _async_wait(self, state: TargetState, want: WantedWeights) -> None:
        await asyncio.sleep(FIRST_REPORT_SECONDS)
        while state.weight_versions.get(want.model, 0) < want.version:
            state.expect_load(self.clock.monotonic())
            report = await self.engines.async_report(state.entry)
            if self._is_done(state, want, report.weight_versions):
                return
            if not report.is_busy:
                raise TransportError(
                    "the engine stopped without the weights", sent=True
                )
            await asyncio.sleep(REPORT_SECONDS)

    def _is_done(
        self, state: TargetState, want: WantedWeights, versions: object
    ) -> bool:
        assert isinstance(versions, dict)
        version = versions.get(want.model, 0)
        if version < want.version:
            return False
        state.learn_version(want.model, version, self.clock.monotonic())
        self.on_weights(state, want.model, version)
        self.log.write(
            "weights loaded",
            target=state.entry.name,
            life=state.entry.life,
            model=want.model,
            version=version,
        )
        return True
