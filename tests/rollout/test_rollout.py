"""Tests of rolling out weights to engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

import pytest

from gypsumsail.core.clock import SystemClock
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.models import TargetEntry
from gypsumsail.gateway.notices import AnswerNotices
from gypsumsail.gateway.port import ConnectionUse
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.object_api.port import ConflictError, PlatformObject
from gypsumsail.orders.lease import LeaseTiming
from gypsumsail.orders.lease_manager import LeaseManager
from gypsumsail.rollout.const import ANNOUNCEMENT_DELAY_SECONDS, LEASE_POLL_SECONDS
from gypsumsail.rollout.coordinator import RolloutCoordinator
from gypsumsail.rollout.planner import (
    EngineStatus,
    max_concurrent_loads,
    may_take_over,
    next_engines,
)
from gypsumsail.rollout.port import EngineReport, LoadWeights, OrderAnswer
from tests.gateway.common import MODEL, RecordedLines, decision_log, engine

SLACK_SECONDS = 0.4
"""Time for steps of the rollout, on a busy machine."""
LEASE_TIMING = LeaseTiming(seconds=1.0, order_margin=0.6, renew_after=0.1)


class SharedObjects:
    """Objects that several VMs write conditionally.

    Attributes
    ----------
    unreachable_vms
        VMs whose calls get no response.
    """

    def __init__(self) -> None:
        self.objects: dict[str, PlatformObject] = {}
        self.revision = 0
        self.unreachable_vms: set[str] = set()

    def of(self, vm: str) -> VmObjects:
        """Return the objects as accessed by one VM."""
        return VmObjects(self, vm)


class VmObjects:
    """Access of one VM to the shared objects."""

    def __init__(self, shared: SharedObjects, vm: str) -> None:
        self.shared = shared
        self.vm = vm

    def _raise_if_unreachable(self) -> None:
        if self.vm in self.shared.unreachable_vms:
            raise TransportError("no answer", sent=True)

    async def async_get(self, key: str) -> PlatformObject | None:
        """Return an object."""
        self._raise_if_unreachable()
        return self.shared.objects.get(key)

    async def async_put(self, key: str, value: bytes, *, if_version: int) -> int:
        """Write an object if its version matches."""
        self._raise_if_unreachable()
        found = self.shared.objects.get(key)
        version = found.version if found is not None else 0
        if version != if_version:
            raise ConflictError("version does not match", current=version)
        self.shared.revision += 1
        self.shared.objects[key] = PlatformObject(
            key=key, version=self.shared.revision, value=value
        )
        return self.shared.revision

    async def async_list(self, prefix: str) -> object:
        """Not used."""
        raise NotImplementedError

    async def async_delete(self, key: str, *, if_version: int) -> None:
        """Not used."""
        raise NotImplementedError

    async def async_watch(
        self, prefix: str, *, after_revision: int, wait: float
    ) -> object:
        """Not used."""
        raise NotImplementedError


class LoadingEngines:
    """Engines that load weights and record their orders.

    Attributes
    ----------
    lost_answers
        Number of orders that are executed although their response is lost.
    """

    def __init__(self, names: list[str], load_seconds: float = 0.05) -> None:
        self.versions = dict.fromkeys(names, 1)
        self.accepted = dict.fromkeys(names, 0)
        self.loading: dict[str, asyncio.Task[None]] = {}
        self.orders: list[tuple[str, LoadWeights, float]] = []
        self.max_loading = 0
        self.load_seconds = load_seconds
        self.lost_answers = 0
        self.all_loaded = asyncio.Event()
        self.on_notices: Callable[[TargetEntry, AnswerNotices, float], None] = (
            lambda target, notices, sent_at: None
        )
        self.on_order_written: Callable[[TargetEntry, ConnectionUse], None] = (
            lambda target, use: None
        )

    def is_busy(self, name: str) -> bool:
        """Return whether an engine is loading."""
        task = self.loading.get(name)
        return task is not None and not task.done()

    async def async_order(self, target: TargetEntry, order: LoadWeights) -> OrderAnswer:
        """Start to load."""
        name = target.name
        self.orders.append((name, order, asyncio.get_running_loop().time()))
        if order.orders_taken != self.accepted[name] or self.is_busy(name):
            return OrderAnswer.BUSY
        self.accepted[name] += 1
        self.loading[name] = asyncio.create_task(self._load(name, order.version))
        busy = sum(self.is_busy(other) for other in self.versions)
        self.max_loading = max(self.max_loading, busy)
        if self.lost_answers:
            self.lost_answers -= 1
            raise TransportError("no answer", sent=True)
        return OrderAnswer.TAKEN

    async def _load(self, name: str, version: int) -> None:
        await asyncio.sleep(self.load_seconds)
        self.versions[name] = version
        if set(self.versions.values()) == {version}:
            self.all_loaded.set()

    async def async_report(self, target: TargetEntry) -> EngineReport:
        """Return the state of the engine."""
        return EngineReport(
            life=target.life,
            is_busy=self.is_busy(target.name),
            orders_taken=self.accepted[target.name],
            weight_versions={MODEL: self.versions[target.name]},
        )


class SilentEngines(LoadingEngines):
    """Engines that never answer an order.

    Attributes
    ----------
    is_ordered, is_given_up
        Set once an order came, and once it was given up.
    """

    def __init__(self, names: list[str]) -> None:
        super().__init__(names)
        self.is_ordered = asyncio.Event()
        self.is_given_up = asyncio.Event()

    async def async_order(self, target: TargetEntry, order: LoadWeights) -> OrderAnswer:
        """Record an order and never answer it."""
        self.orders.append((target.name, order, asyncio.get_running_loop().time()))
        self.is_ordered.set()
        try:
            await asyncio.Event().wait()
        finally:
            self.is_given_up.set()
        raise AssertionError


def rollout(
    vm: str,
    shared: SharedObjects,
    engines: LoadingEngines,
    names: Callable[[], list[str]],
) -> RolloutCoordinator:
    """Return the rollout coordinator of one VM that knows all engines."""
    clock = SystemClock()
    targets = TargetTable()
    for name in engines.versions:
        targets.update(engine(name), clock.monotonic())
    lease_manager = LeaseManager(shared.of(vm), clock, "weights", vm, LEASE_TIMING)  # type: ignore[arg-type]
    wanted = {
        MODEL: WantedWeights(model=MODEL, version=2, first_seen_at=clock.monotonic())
    }
    return RolloutCoordinator(
        vm,
        lease_manager,
        engines,
        targets,
        wanted,
        clock,
        decision_log(clock),
        names,
        lambda service: (MODEL,),
    )


def status(name: str, **changes: object) -> EngineStatus:
    values: dict[str, object] = {
        "target": name,
        "life": 1,
        "has_version": False,
        "is_loading": False,
        "is_available": True,
        "calls": 0,
    }
    return EngineStatus(**(values | changes))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("engines", "most"), [(1, 1), (2, 1), (5, 2), (9, 3), (30, 12)]
)
def test_number_of_concurrent_loads_is_limited(engines: int, most: int) -> None:
    assert max_concurrent_loads(engines) == most


def test_engines_with_the_fewest_calls_load_first() -> None:
    engines = [
        status("a", calls=5),
        status("b", calls=1),
        status("c", has_version=True),
        status("d", calls=0, is_available=False),
        status("e", calls=2),
    ]
    assert [item.target for item in next_engines(engines)] == ["b", "e"]


def test_loading_engines_count_towards_the_limit() -> None:
    engines = [status(name, is_loading=name == "a") for name in "abcde"]
    assert len(next_engines(engines)) == 1


def test_vms_of_higher_rank_wait_before_taking_over() -> None:
    assert may_take_over(0, 0.0)
    assert not may_take_over(1, 0.0)
    assert may_take_over(1, 2.0)
    assert not may_take_over(99, 99.0)


async def until_loaded(engines: LoadingEngines, seconds: float) -> None:
    """Wait until all engines have the wanted weights."""
    async with asyncio.timeout(seconds):
        await engines.all_loaded.wait()


async def test_all_engines_load_a_few_at_a_time() -> None:
    engines = LoadingEngines([f"e{number}" for number in range(5)])
    coordinator = rollout("v1", SharedObjects(), engines, lambda: ["v1"])
    task = asyncio.create_task(coordinator.async_run())
    await until_loaded(engines, 15.0)
    task.cancel()
    assert engines.max_loading <= 2
    assert len(engines.orders) == 5


async def test_order_with_a_lost_response_is_not_executed_twice() -> None:
    engines = LoadingEngines(["e1"])
    engines.lost_answers = 1
    coordinator = rollout("v1", SharedObjects(), engines, lambda: ["v1"])
    task = asyncio.create_task(coordinator.async_run())
    await until_loaded(engines, 10.0)
    await asyncio.sleep(0.3)
    task.cancel()
    assert engines.accepted == {"e1": 1}


async def test_another_vm_takes_over_only_after_the_lease_expires() -> None:
    shared = SharedObjects()
    engines = LoadingEngines([f"e{number}" for number in range(5)], load_seconds=1.0)
    names = ["v1", "v2"]
    vms = [rollout(vm, shared, engines, lambda: names) for vm in names]
    tasks = [asyncio.create_task(vm.async_run()) for vm in vms]
    await asyncio.sleep(0.6)
    first = engines.orders[0][1].holder
    shared.unreachable_vms.add(first)
    await until_loaded(engines, 20.0)
    for task in tasks:
        task.cancel()
    by_holder = {
        holder: [at for _, order, at in engines.orders if order.holder == holder]
        for holder in names
    }
    other = next(name for name in names if name != first)
    assert min(by_holder[other]) - max(by_holder[first]) >= LEASE_TIMING.order_margin
    fences = {order.holder: order.fence for _, order, _ in engines.orders}
    assert fences[other] > fences[first]


async def test_next_holder_orders_soon_after_the_lease_has_expired() -> None:
    """It used to read the lease only once the rollout had stood still for a while."""
    shared = SharedObjects()
    engines = SilentEngines([f"e{number}" for number in range(5)])
    names = ["v1", "v2"]
    vms = [rollout(vm, shared, engines, lambda: names) for vm in names]
    tasks = [asyncio.create_task(vm.async_run()) for vm in vms]
    async with asyncio.timeout(10.0):
        await engines.is_ordered.wait()
        first = engines.orders[0][1].holder
        cut_at = engines.orders[0][2]
        shared.unreachable_vms.add(first)
        engines.is_ordered.clear()
        while engines.orders[-1][1].holder == first:
            await engines.is_ordered.wait()
            engines.is_ordered.clear()
    for task in tasks:
        task.cancel()
    allowed = LEASE_TIMING.seconds + LEASE_POLL_SECONDS + ANNOUNCEMENT_DELAY_SECONDS
    assert engines.orders[-1][2] - cut_at <= allowed + SLACK_SECONDS


async def test_vm_that_reaches_no_engine_leaves_the_lease_to_another() -> None:
    """Its orders reach nobody, and it used to renew the lease all the while."""
    shared = SharedObjects()
    engines = LoadingEngines([f"e{number}" for number in range(5)], load_seconds=1.0)
    names = ["v1", "v2"]
    vms = {vm: rollout(vm, shared, engines, lambda: names) for vm in names}
    tasks = [asyncio.create_task(vm.async_run()) for vm in vms.values()]
    await asyncio.sleep(0.6)
    first = engines.orders[0][1].holder
    for state in vms[first].targets.states.values():
        state.needs_check = True
        state.blocked_until = float("inf")
    try:
        await until_loaded(engines, 15.0)
    finally:
        for task in tasks:
            task.cancel()
    assert {order.holder for _, order, _ in engines.orders} == set(names)


class SuspendedClock(SystemClock):
    """Clock that counts the time of a suspension, in which timers stand still."""

    suspended_seconds = 0.0

    def monotonic(self) -> float:
        """Return the seconds since boot."""
        return super().monotonic() + self.suspended_seconds


async def test_order_is_given_up_when_its_time_passed_in_a_suspension() -> None:
    """Its timer stood still, and the kernel would go on sending it (ONE)."""
    engines = SilentEngines(["e1"])
    coordinator = rollout("v1", SharedObjects(), engines, lambda: ["v1"])
    clock = coordinator.clock = SuspendedClock()
    task = asyncio.create_task(coordinator.async_run())
    async with asyncio.timeout(5.0):
        await engines.is_ordered.wait()
    coordinator.tick(clock.monotonic())
    await asyncio.sleep(0.01)
    assert not engines.is_given_up.is_set()
    clock.suspended_seconds = 5.0
    coordinator.tick(clock.monotonic())
    async with asyncio.timeout(0.1):
        await engines.is_given_up.wait()
    task.cancel()


async def test_renewed_lease_is_not_taken_over() -> None:
    shared = SharedObjects()
    clock = SystemClock()
    holder = LeaseManager(shared.of("v1"), clock, "weights", "v1", LEASE_TIMING)  # type: ignore[arg-type]
    waiter = LeaseManager(shared.of("v2"), clock, "weights", "v2", LEASE_TIMING)  # type: ignore[arg-type]
    for _ in range(12):
        await holder.async_step(0)
        await waiter.async_step(0)
        await asyncio.sleep(0.12)
    assert holder.held is not None
    assert waiter.held is None


class CutEngines(LoadingEngines):
    """Engines whose link is cut after their first report."""

    def __init__(self, names: list[str]) -> None:
        super().__init__(names)
        self.reports = 0
        self.is_cut = asyncio.Event()

    async def async_report(self, target: TargetEntry) -> EngineReport:
        """Return the state of the engine once."""
        self.reports += 1
        if self.reports > 1:
            self.is_cut.set()
            raise TransportError("report: no response within 0.5 s", sent=True)
        return await super().async_report(target)


async def test_no_order_is_sent_into_a_cut_that_began_since_its_announcement() -> None:
    """Its bytes would stay in the kernel, and arrive after the cut (ONE)."""
    engines = CutEngines(["e1"])
    coordinator = rollout("v1", SharedObjects(), engines, lambda: ["v1"])
    lines = RecordedLines()
    coordinator.log.logger.addHandler(lines)
    coordinator.log.logger.setLevel(logging.INFO)
    task = asyncio.create_task(coordinator.async_run())
    async with asyncio.timeout(5.0):
        await engines.is_cut.wait()
    await asyncio.sleep(0.1)
    task.cancel()
    coordinator.log.logger.removeHandler(lines)
    assert engines.orders == []
    assert [line["sent"] for line in lines.of("order unanswered")] == [False]
