"""Tests of bringing engines to named weights."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from gypsumsail.core.clock import SystemClock
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.models import TargetEntry
from gypsumsail.gateway.targets import TargetTable
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.object_api.port import ConflictError, PlatformObject
from gypsumsail.orders.lease import LeaseTiming
from gypsumsail.orders.lease_manager import LeaseManager
from gypsumsail.rollout.coordinator import RolloutCoordinator
from gypsumsail.rollout.planner import EngineTurn, may_try, most_at_once, next_turns
from gypsumsail.rollout.port import EngineReport, LoadWeights, OrderAnswer
from tests.gateway.common import MODEL, decision_log, engine

TERMS = LeaseTiming(seconds=1.0, margin=0.6, renew=0.1)


class SharedObjects:
    """Objects that several VMs write under conditions.

    Attributes
    ----------
    is_down
        Whether no call is answered.
    """

    def __init__(self) -> None:
        self.objects: dict[str, PlatformObject] = {}
        self.revision = 0
        self.is_down: set[str] = set()

    def of(self, vm: str) -> VmObjects:
        """Return the objects as one VM reaches them."""
        return VmObjects(self, vm)


class VmObjects:
    """The shared objects for one VM."""

    def __init__(self, shared: SharedObjects, vm: str) -> None:
        self.shared = shared
        self.vm = vm

    def _check(self) -> None:
        if self.vm in self.shared.is_down:
            raise TransportError("no answer", sent=True)

    async def async_get(self, key: str) -> PlatformObject | None:
        """Return an object."""
        self._check()
        return self.shared.objects.get(key)

    async def async_put(self, key: str, value: bytes, *, if_version: int) -> int:
        """Write under a condition."""
        self._check()
        found = self.shared.objects.get(key)
        version = found.version if found is not None else 0
        if version != if_version:
            raise ConflictError("moved on", current=version)
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
    """Engines that load weights, and keep who ordered it.

    Attributes
    ----------
    loses
        Number of orders that are carried out though their answer is lost.
    """

    def __init__(self, names: list[str], load_seconds: float = 0.05) -> None:
        self.versions = dict.fromkeys(names, 1)
        self.accepted = dict.fromkeys(names, 0)
        self.loading: dict[str, asyncio.Task[None]] = {}
        self.orders: list[tuple[str, LoadWeights, float]] = []
        self.max_loading = 0
        self.load_seconds = load_seconds
        self.loses = 0
        self.all_loaded = asyncio.Event()

    def is_busy(self, name: str) -> bool:
        """Return whether an engine loads."""
        task = self.loading.get(name)
        return task is not None and not task.done()

    async def async_order(self, target: TargetEntry, order: LoadWeights) -> OrderAnswer:
        """Begin to load."""
        name = target.name
        self.orders.append((name, order, asyncio.get_running_loop().time()))
        if order.orders_taken != self.accepted[name] or self.is_busy(name):
            return OrderAnswer.BUSY
        self.accepted[name] += 1
        self.loading[name] = asyncio.create_task(self._load(name, order.version))
        busy = sum(self.is_busy(other) for other in self.versions)
        self.max_loading = max(self.max_loading, busy)
        if self.loses:
            self.loses -= 1
            raise TransportError("no answer", sent=True)
        return OrderAnswer.TAKEN

    async def _load(self, name: str, version: int) -> None:
        await asyncio.sleep(self.load_seconds)
        self.versions[name] = version
        if set(self.versions.values()) == {version}:
            self.all_loaded.set()

    async def async_report(self, target: TargetEntry) -> EngineReport:
        """Tell what the engine has."""
        return EngineReport(
            life=target.life,
            is_busy=self.is_busy(target.name),
            orders_taken=self.accepted[target.name],
            weight_versions={MODEL: self.versions[target.name]},
        )


def rollout(
    vm: str,
    shared: SharedObjects,
    engines: LoadingEngines,
    names: Callable[[], list[str]],
) -> RolloutCoordinator:
    """Return the rollout of one VM that knows all engines."""
    clock = SystemClock()
    targets = TargetTable()
    for name in engines.versions:
        targets.update(engine(name), clock.monotonic())
    keeper = LeaseManager(shared.of(vm), clock, "weights", vm, TERMS)  # type: ignore[arg-type]
    wanted = {MODEL: WantedWeights(model=MODEL, version=2, named_at=clock.monotonic())}
    return RolloutCoordinator(
        vm,
        keeper,
        engines,
        targets,
        wanted,
        clock,
        decision_log(clock),
        names,
        lambda service: (MODEL,),
    )


def turn(name: str, **changes: object) -> EngineTurn:
    values: dict[str, object] = {
        "target": name,
        "life": 1,
        "has_version": False,
        "is_loading": False,
        "may_be_asked": True,
        "calls": 0,
    }
    return EngineTurn(**(values | changes))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("engines", "most"), [(1, 1), (2, 1), (5, 2), (9, 3), (30, 12)]
)
def test_most_engines_serve_meanwhile(engines: int, most: int) -> None:
    assert most_at_once(engines) == most


def test_the_least_busy_engines_go_first() -> None:
    engines = [
        turn("a", calls=5),
        turn("b", calls=1),
        turn("c", has_version=True),
        turn("d", calls=0, may_be_asked=False),
        turn("e", calls=2),
    ]
    assert [item.target for item in next_turns(engines)] == ["b", "e"]


def test_engines_that_load_count() -> None:
    engines = [turn(name, is_loading=name == "a") for name in "abcde"]
    assert len(next_turns(engines)) == 1


def test_further_vms_wait_their_turn() -> None:
    assert may_try(0, 0.0)
    assert not may_try(1, 0.0)
    assert may_try(1, 2.0)
    assert not may_try(99, 99.0)


async def until_loaded(engines: LoadingEngines, seconds: float) -> None:
    """Wait until all engines have the wanted weights."""
    async with asyncio.timeout(seconds):
        await engines.all_loaded.wait()


async def test_all_engines_get_their_weights_a_few_at_a_time() -> None:
    engines = LoadingEngines([f"e{number}" for number in range(5)])
    made = rollout("v1", SharedObjects(), engines, lambda: ["v1"])
    task = asyncio.create_task(made.async_run())
    await until_loaded(engines, 15.0)
    task.cancel()
    assert engines.max_loading <= 2
    assert len(engines.orders) == 5


async def test_an_order_whose_answer_is_lost_is_not_given_twice() -> None:
    engines = LoadingEngines(["e1"])
    engines.loses = 1
    made = rollout("v1", SharedObjects(), engines, lambda: ["v1"])
    task = asyncio.create_task(made.async_run())
    await until_loaded(engines, 10.0)
    await asyncio.sleep(0.3)
    task.cancel()
    assert engines.accepted == {"e1": 1}


async def test_another_vm_takes_over_after_the_lease_and_never_before() -> None:
    shared = SharedObjects()
    engines = LoadingEngines([f"e{number}" for number in range(5)], load_seconds=1.0)
    names = ["v1", "v2"]
    vms = [rollout(vm, shared, engines, lambda: names) for vm in names]
    tasks = [asyncio.create_task(vm.async_run()) for vm in vms]
    await asyncio.sleep(0.6)
    first = engines.orders[0][1].holder
    shared.is_down.add(first)
    await until_loaded(engines, 20.0)
    for task in tasks:
        task.cancel()
    by_holder = {
        holder: [at for _, order, at in engines.orders if order.holder == holder]
        for holder in names
    }
    other = next(name for name in names if name != first)
    assert min(by_holder[other]) - max(by_holder[first]) >= TERMS.margin
    fences = {order.holder: order.fence for _, order, _ in engines.orders}
    assert fences[other] > fences[first]


async def test_a_lease_that_is_renewed_is_not_taken_over() -> None:
    shared = SharedObjects()
    clock = SystemClock()
    holder = LeaseManager(shared.of("v1"), clock, "weights", "v1", TERMS)  # type: ignore[arg-type]
    waiter = LeaseManager(shared.of("v2"), clock, "weights", "v2", TERMS)  # type: ignore[arg-type]
    for _ in range(12):
        await holder.async_step(0)
        await waiter.async_step(0)
        await asyncio.sleep(0.12)
    assert holder.held is not None
    assert waiter.held is None
