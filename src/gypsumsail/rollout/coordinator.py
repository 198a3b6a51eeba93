"""Orders engines to load weights while this VM holds the rollout lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from gypsumsail.core.aligned_sleep import async_sleep_aligned
from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.rendezvous import rank
from gypsumsail.gateway.models import TargetEntry
from gypsumsail.gateway.port import ConnectionUse
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.targets import TargetState
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.orders.errors import OrdersCorruptError
from gypsumsail.orders.lease import may_order
from gypsumsail.orders.lease_manager import LeaseManager
from gypsumsail.rollout.const import (
    ANNOUNCEMENT_DELAY_SECONDS,
    FIRST_REPORT_DELAY_SECONDS,
    IDLE_STEP_SECONDS,
    LEASE_POLL_SECONDS,
    LOAD_TIMEOUT_SECONDS,
    MAX_ROLLOUT_VMS,
    ORDER_RETRY_DELAY_SECONDS,
    ORDER_TIMEOUT_MARGIN_SECONDS,
    ORDER_TIMEOUT_SECONDS,
    REPORT_INTERVAL_SECONDS,
    STEP_SECONDS,
)
from gypsumsail.rollout.planner import EngineStatus, may_take_over, next_engines
from gypsumsail.rollout.port import (
    EngineOrders,
    EngineReport,
    LoadWeights,
    OrderAnswer,
)

RENDEZVOUS_KEY = "rollout"


@dataclass(slots=True, kw_only=True)
class PendingOrder:
    """An order in progress.

    Attributes
    ----------
    unanswered_until
        Time at which the order is given up; ``None`` if it isn't sent yet or was
        answered.
    """

    state: TargetState
    begun_at: float
    task: asyncio.Task[None] | None = None
    unanswered_until: float | None = None


class RolloutCoordinator:
    """Compares wanted and loaded weights, and orders engines to load missing versions.

    Attributes
    ----------
    vms
        Returns the names of the VMs believed to be alive, including this one.
    models_of
        Returns the models served by the engines of a service.
    pending_orders
        Orders in progress by engine.
    retry_at
        Earliest time of the next order by engine.
    last_progress_at
        Time at which the number of outdated engines last changed; ``None`` if no engine
        is outdated.
    on_order_announced
        Called before an order is sent, to tell the other VMs to send the engine no
        calls.
    on_weights_loaded
        Called when an engine reports the wanted version or a later one.
    """

    def __init__(
        self,
        vm: str,
        lease_manager: LeaseManager,
        engines: EngineOrders,
        targets: TargetTable,
        wanted: dict[str, WantedWeights],
        clock: Clock,
        log: DecisionLog,
        vms: Callable[[], list[str]],
        models_of: Callable[[str], tuple[str, ...]],
    ) -> None:
        self.vm = vm
        self.lease_manager = lease_manager
        self.engines = engines
        self.targets = targets
        self.wanted = wanted
        self.clock = clock
        self.log = log
        self.vms = vms
        self.models_of = models_of
        self.pending_orders: dict[tuple[str, int], PendingOrder] = {}
        self.retry_at: dict[tuple[str, int], float] = {}
        self.last_progress_at: float | None = None
        self.outdated_count = 0
        self.had_lease = False
        self.lease_polled_at = 0.0
        self.engines.on_order_written = self._log_written_order
        self.on_order_announced: Callable[[TargetState], None] = lambda state: None
        self.on_weights_loaded: Callable[[TargetState, str, int], None] = (
            lambda state, model, version: None
        )

    async def async_run(self) -> None:
        """Run the rollouts until cancelled."""
        while True:
            try:
                is_busy = await self._async_step()
            except (TransportError, OrdersCorruptError) as err:
                self.log.write("rollout step failed", reason=str(err))
                is_busy = False
            await async_sleep_aligned(STEP_SECONDS if is_busy else IDLE_STEP_SECONDS)

    @callback
    def tick(self, now: float) -> None:
        """Give up orders that are unanswered beyond their time limit.

        Their timers stand still while the VM is suspended, and the kernel would go on
        sending them.
        """
        for key, order in list(self.pending_orders.items()):
            if order.unanswered_until is None or now < order.unanswered_until:
                continue
            if order.task is None or order.task.done():
                continue
            order.task.cancel()
            del self.pending_orders[key]
            self._note_unanswered(
                order.state, sent=True, reason="its time limit passed", now=now
            )

    async def _async_step(self) -> bool:
        """Perform one step; return whether a rollout is in progress."""
        now = self.clock.monotonic()
        outdated = [
            (state, want)
            for want in list(self.wanted.values())
            for state in self._outdated_engines(want)
        ]
        self._track_progress(len(outdated), now)
        self._drop_finished_orders(now)
        if not outdated or self.last_progress_at is None:
            return False
        # A VM that is cut off lets its lease expire, for one that reaches the engines.
        if all(state.is_unreachable(now) for state, _ in outdated):
            return True
        if not self._may_poll_lease(now):
            return True
        if not self._may_take_over(now):
            if self._position() < MAX_ROLLOUT_VMS:
                await self.lease_manager.async_observe()
            return True
        # The argument is the highest fencing token that engines have reported. It is 0,
        # because this coordinator reads no fencing tokens from engines.
        await self.lease_manager.async_step(0)
        self._log_lease_change()
        if not may_order(self.lease_manager.held, self.clock.monotonic()):
            return True
        for want in list(self.wanted.values()):
            self._start_next_orders(want, now)
        return True

    def _outdated_engines(self, want: WantedWeights) -> list[TargetState]:
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

    def _track_progress(self, outdated: int, now: float) -> None:
        if not outdated:
            self.last_progress_at = None
        elif self.last_progress_at is None or outdated != self.outdated_count:
            self.last_progress_at = now
        self.outdated_count = outdated

    def _may_take_over(self, now: float) -> bool:
        if self.lease_manager.held is not None and may_order(
            self.lease_manager.held, now
        ):
            return True
        assert self.last_progress_at is not None
        return may_take_over(self._position(), now - self.last_progress_at)

    def _position(self) -> int:
        """Return the rank of this VM among those that may roll out."""
        return list(rank(RENDEZVOUS_KEY, self.vms())).index(self.vm)

    def _may_poll_lease(self, now: float) -> bool:
        """Return whether to read the lease now; its holder always does.

        Others read it at intervals, and as soon as it expires.
        """
        if self.lease_manager.held is not None:
            return True
        has_expired = self.lease_polled_at < self.lease_manager.expires_at() <= now
        if not has_expired and now - self.lease_polled_at < LEASE_POLL_SECONDS:
            return False
        self.lease_polled_at = now
        return True

    def _log_lease_change(self) -> None:
        is_holder = self.lease_manager.held is not None
        if is_holder != self.had_lease:
            self.had_lease = is_holder
            fence = self.lease_manager.held.fence if self.lease_manager.held else None
            self.log.write("orders lease", held=is_holder, fence=fence)

    def _drop_finished_orders(self, now: float) -> None:
        for key, order in list(self.pending_orders.items()):
            if order.task is not None and order.task.done():
                del self.pending_orders[key]
            elif now - order.begun_at > LOAD_TIMEOUT_SECONDS:
                if order.task is not None:
                    order.task.cancel()
                del self.pending_orders[key]

    def _start_next_orders(self, want: WantedWeights, now: float) -> None:
        engines = [
            EngineStatus(
                target=state.entry.name,
                life=state.entry.life,
                has_version=state.weight_versions.get(want.model, 0) >= want.version,
                is_loading=self._engine_key(state) in self.pending_orders,
                is_available=self._is_available(state, now),
                calls=state.calls(now),
            )
            for state in self._engines(want.model)
        ]
        for status in next_engines(engines):
            state = self.targets.states[status.target]
            task = asyncio.get_running_loop().create_task(
                self._async_update_engine(state, want)
            )
            self.pending_orders[self._engine_key(state)] = PendingOrder(
                state=state, begun_at=now, task=task
            )

    def _is_available(self, state: TargetState, now: float) -> bool:
        retry_at = self.retry_at.get(self._engine_key(state), 0.0)
        if state.is_unreachable(now) or state.pause.is_active(now):
            return False
        return retry_at <= now

    @staticmethod
    def _engine_key(state: TargetState) -> tuple[str, int]:
        return (state.entry.name, state.entry.life)

    async def _async_update_engine(
        self, state: TargetState, want: WantedWeights
    ) -> None:
        """Order one engine to load the weights and wait until it has them."""
        try:
            await self._async_order(state, want)
        except TransportError as err:
            pending = self.pending_orders.get(self._engine_key(state))
            is_ordered = pending is not None and pending.unanswered_until is not None
            self._note_unanswered(
                state,
                sent=is_ordered and err.sent,
                reason=str(err),
                now=self.clock.monotonic(),
            )

    def _note_unanswered(
        self, state: TargetState, *, sent: bool, reason: str, now: float
    ) -> None:
        self.log.write(
            "order unanswered", target=state.entry.name, sent=sent, reason=reason
        )
        self.retry_at[self._engine_key(state)] = now + ORDER_RETRY_DELAY_SECONDS

    async def _async_report(self, state: TargetState) -> EngineReport:
        report = await self.engines.async_report(state.entry)
        if report.life not in (0, state.entry.life):
            raise TransportError(
                "the engine reports another start time than listed", sent=False
            )
        return report

    async def _async_order(self, state: TargetState, want: WantedWeights) -> None:
        report = await self._async_report(state)
        if self._finish_if_loaded(state, want, report.weight_versions):
            return
        if not report.is_busy:
            self.on_order_announced(state)
            state.expect_weight_loading(self.clock.monotonic())
            await asyncio.sleep(ANNOUNCEMENT_DELAY_SECONDS)
            # An order into a link that was cut meanwhile would stay in the kernel. The
            # connection of this report carries the order.
            report = await self._async_report(state)
        if self._finish_if_loaded(state, want, report.weight_versions):
            return
        if not report.is_busy and not await self._async_send_order(state, want, report):
            return
        await self._async_wait_until_loaded(state, want)

    async def _async_send_order(
        self, state: TargetState, want: WantedWeights, report: EngineReport
    ) -> bool:
        """Order an engine to load the weights; return whether it loads them.

        Raises
        ------
        TransportError
            The engine did not answer, or did not accept the order.
        """
        held = self.lease_manager.held
        now = self.clock.monotonic()
        if held is None or not may_order(held, now) or state.pause.is_active(now):
            return False
        order = LoadWeights(
            model=want.model,
            version=want.version,
            holder=self.lease_manager.holder,
            fence=held.fence,
            orders_taken=report.orders_taken,
            not_after=held.order_until,
        )
        self.log.write(
            "order",
            target=state.entry.name,
            life=state.entry.life,
            model=want.model,
            version=want.version,
            fence=held.fence,
            lease_left_ms=round((held.order_until - now) * 1000),
            orders_taken=report.orders_taken,
        )
        pending = self.pending_orders[self._engine_key(state)]
        pending.unanswered_until = (
            now + ORDER_TIMEOUT_SECONDS + ORDER_TIMEOUT_MARGIN_SECONDS
        )
        answer = await self.engines.async_order(state.entry, order)
        pending.unanswered_until = None
        self.log.write("order answered", target=state.entry.name, answer=answer.name)
        if answer is OrderAnswer.ALREADY_SO:
            self._finish_if_loaded(state, want, {want.model: want.version})
            return False
        if answer is not OrderAnswer.TAKEN:
            raise TransportError(
                f"the engine did not accept the order: {answer.name}", sent=True
            )
        return True

    def _log_written_order(self, target: TargetEntry, use: ConnectionUse) -> None:
        held = self.lease_manager.held
        now = self.clock.monotonic()
        self.log.write(
            "order written",
            target=target.name,
            connection=use.port,
            use=use.number,
            lease_left_ms=round((held.order_until - now) * 1000) if held else None,
        )

    async def _async_wait_until_loaded(
        self, state: TargetState, want: WantedWeights
    ) -> None:
        await asyncio.sleep(FIRST_REPORT_DELAY_SECONDS)
        while state.weight_versions.get(want.model, 0) < want.version:
            now = self.clock.monotonic()
            state.expect_weight_loading(now)
            if state.pause.is_active(now):
                await asyncio.sleep(REPORT_INTERVAL_SECONDS)
                continue
            report = await self.engines.async_report(state.entry)
            if self._finish_if_loaded(state, want, report.weight_versions):
                return
            if not report.is_busy:
                raise TransportError(
                    "the engine stopped loading without the ordered weights", sent=True
                )
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    def _finish_if_loaded(
        self, state: TargetState, want: WantedWeights, versions: object
    ) -> bool:
        assert isinstance(versions, dict)
        version = versions.get(want.model, 0)
        if version < want.version:
            return False
        state.learn_version(want.model, version, self.clock.monotonic())
        self.on_weights_loaded(state, want.model, version)
        self.log.write(
            "weights loaded",
            target=state.entry.name,
            life=state.entry.life,
            model=want.model,
            version=version,
        )
        return True
