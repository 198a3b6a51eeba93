"""Tests of streams while engines of two software versions serve side by side."""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from time import monotonic

import pytest

from soak.callers import CallResult, Resumption, call
from soak.const import API_KEY
from soak.run import Soak

BUILDS = ["v1", "v1", "v1.1", "v1.1"]
CALLERS = 16
SECONDS = 14.0
STREAM_SECONDS = 3.0
ENGINE_RESTART_SECONDS = 0.7
VM_KILL_SECONDS = 2.5
OLD_BUILD_LINGER_SECONDS = 0.3
OUTAGE_SECONDS = 1.0
ONE_BUILD_SECONDS = 16.0
OBSERVED_SECONDS = 10.0
# Time after all VMs are ready until which streams of the VMs before go on.
SOON_SECONDS = 1.0
MIN_SOON_STREAMS = 8
MIN_SOON_SHARE = 0.95
MAX_MIXED_STREAMS = 2
MIN_RESUMED_STREAMS = 12
MIN_RESUMED_SHARE = 0.5


class MixedBuildsRun(Soak):
    """Callers that take up broken streams at other VMs, as engines and VMs fail.

    Attributes
    ----------
    first_tries, next_tries
        Results of the calls that begin a stream, and of those that take one up.
    tries_by_stream
        The latter by the request that began the stream.
    stream_seconds
        Time after which a caller gives a stream up.
    """

    stream_seconds = STREAM_SECONDS

    def __init__(self, seed: int, vms: int, seconds: float) -> None:
        super().__init__(seed, vms, seconds)
        self.first_tries: list[CallResult] = []
        self.next_tries: list[CallResult] = []
        self.tries_by_stream: dict[str, list[CallResult]] = {}
        engines = (target for target in self.targets if target.is_engine)
        for engine, build in zip(engines, BUILDS, strict=True):
            engine.build = build
            engine.fault = "slow"

    async def async_run_with_failures(self) -> None:
        """Send streams while engines restart and VMs are killed in turn."""
        try:
            await self._start()
            end = asyncio.get_running_loop().time() + self.seconds
            await asyncio.gather(
                self._async_restart_engines(end),
                self._async_kill_vms(end),
                *(self._async_send_streams(end) for _ in range(CALLERS)),
            )
        finally:
            await self._stop()

    async def _async_restart_engines(self, end: float) -> None:
        engines = [target for target in self.targets if target.is_engine]
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(ENGINE_RESTART_SECONDS)
            engine = self.random.choice(engines)
            engine.restart()
            await engine.register(engine.registered_address)

    async def _async_kill_vms(self, end: float) -> None:
        while asyncio.get_running_loop().time() < end - VM_KILL_SECONDS:
            await asyncio.sleep(VM_KILL_SECONDS)
            vm = self.random.choice(self.vms)
            await vm.async_kill()
            await asyncio.sleep(0.2)
            await vm.async_start()

    async def _async_send_streams(self, end: float) -> None:
        while asyncio.get_running_loop().time() < end:
            await self._async_send_stream()

    async def _async_send_stream(self) -> None:
        """Send one stream; take it up at other VMs until its time is over."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + self.stream_seconds
        resumption: Resumption | None = None
        while (left := give_up_at - loop.time()) > 0.2:
            vm = self.pick_running_vm(self.random)
            result = await call(
                vm.host,
                vm.front_port,
                "stream",
                self.next_number(vm),
                API_KEY,
                left,
                resumption=resumption,
            )
            tries = self.first_tries if resumption is None else self.next_tries
            tries.append(result)
            if resumption is not None:
                self.tries_by_stream.setdefault(resumption.began_as, []).append(result)
            if result.status == 200:
                return
            events = result.body.count(b"\n\n")
            if resumption is not None:
                resumption = Resumption(
                    began_as=resumption.began_as,
                    last_event=resumption.last_event + events,
                )
            elif events:
                resumption = Resumption(began_as=result.request_id, last_event=events)
            await asyncio.sleep(0.05)

    def mixed_streams(self) -> list[str]:
        """Return the streams that hold events of two builds."""
        builds = self.execution_log.builds
        return [began_as for began_as, found in builds.items() if len(found) > 1]


class Outage(Enum):
    """What happens while all VMs are down."""

    NONE = auto()
    OLD_BUILD_LEAVES = auto()
    STORE_IS_AWAY = auto()
    STORE_IS_RESTORED = auto()


class AllKilledRun(MixedBuildsRun):
    """Callers that take up streams after all VMs were killed at once.

    Attributes
    ----------
    tries_after_kill
        Number of calls since the first kill that take up a stream.
    """

    def __init__(self, seed: int, outage: Outage, seconds: float = SECONDS) -> None:
        super().__init__(seed, vms=5, seconds=seconds)
        self.outage = outage
        self.tries_after_kill = 0
        engines = [target for target in self.targets if target.is_engine]
        self.old_engines, self.new_engines = engines[:2], engines[2:]

    async def async_run_with_kills(self) -> None:
        """Kill all VMs twice while callers send streams and take them up."""
        try:
            await self._start()
            end = asyncio.get_running_loop().time() + self.seconds
            senders = [
                asyncio.create_task(self._async_send_streams(end))
                for _ in range(CALLERS)
            ]
            await asyncio.sleep(STREAM_SECONDS)
            tries_before = len(self.next_tries)
            await self._async_kill_all()
            await asyncio.sleep(STREAM_SECONDS)
            await self._async_kill_all()
            await asyncio.gather(*senders)
            self.tries_after_kill = len(self.next_tries) - tries_before
        finally:
            await self._stop()

    async def _async_kill_all(self) -> None:
        """Kill all VMs at once and start them again during an outage."""
        copy = self.store.copy()
        if self.outage is not Outage.NONE:
            for engine in self.old_engines:
                await self.store.delete("servers", engine.name)
            await asyncio.sleep(OLD_BUILD_LINGER_SECONDS)
        await asyncio.gather(*(vm.async_kill() for vm in self.vms))
        match self.outage:
            case Outage.STORE_IS_AWAY:
                self.store.fault = "busy"
            case Outage.STORE_IS_RESTORED:
                for engine in self.new_engines:
                    copy.objects["servers"].pop(engine.name)
                await self.store.restore(copy)
        await asyncio.gather(*(vm.async_start() for vm in self.vms))
        await asyncio.sleep(OUTAGE_SECONDS)
        self.store.fault = ""
        if self.outage is Outage.STORE_IS_RESTORED:
            for engine in self.new_engines:
                await engine.register(engine.registered_address)
        await asyncio.sleep(STREAM_SECONDS)
        for engine in self.old_engines:
            await engine.register(engine.registered_address)


def _has_begun(result: CallResult) -> bool:
    """Return whether an event came, or the end of a stream without further events."""
    return result.status == 200 or b"\n\n" in result.body


async def test_streams_stay_with_the_build_that_began_them() -> None:
    """Within one answer, and over the tries of callers at other VMs."""
    run = MixedBuildsRun(21, vms=5, seconds=SECONDS)
    await run.async_run_with_failures()
    assert len(run.next_tries) >= MIN_RESUMED_STREAMS
    assert len(run.mixed_streams()) <= MAX_MIXED_STREAMS
    new_share = sum(map(_has_begun, run.first_tries)) / len(run.first_tries)
    resumed_share = sum(map(_has_begun, run.next_tries)) / len(run.next_tries)
    assert resumed_share >= MIN_RESUMED_SHARE * new_share


@pytest.mark.parametrize("outage", Outage)
async def test_no_stream_is_joined_after_all_vms_were_killed_at_once(
    outage: Outage,
) -> None:
    """Two builds serve, or the old one's engines leave just before."""
    run = AllKilledRun(35, outage)
    await run.async_run_with_kills()
    assert run.tries_after_kill >= MIN_RESUMED_STREAMS
    assert run.mixed_streams() == []


class OneBuildRun(AllKilledRun):
    """One build serves, and all VMs are killed once they could know that.

    Attributes
    ----------
    killed_at, ready_at
        Times at which all VMs were killed and were ready again.
    """

    # VMs start in less time than callers have left.
    stream_seconds = 5.0
    killed_at = 0.0
    ready_at = 0.0

    def __init__(self, seed: int) -> None:
        super().__init__(seed, Outage.NONE, seconds=ONE_BUILD_SECONDS)
        for engine in (*self.old_engines, *self.new_engines):
            engine.build = "v1"

    async def async_run_with_kill(self) -> None:
        """Kill all VMs, and let callers take up their streams soon after."""
        try:
            await self._start()
            end = asyncio.get_running_loop().time() + self.seconds
            senders = [
                asyncio.create_task(self._async_send_streams(end))
                for _ in range(CALLERS)
            ]
            await asyncio.sleep(OBSERVED_SECONDS)
            self.killed_at = monotonic()
            await asyncio.gather(*(vm.async_kill() for vm in self.vms))
            await asyncio.gather(*(vm.async_start() for vm in self.vms))
            await asyncio.gather(*(self._wait_until_ready(vm) for vm in self.vms))
            self.ready_at = monotonic()
            await asyncio.gather(*senders)
        finally:
            await self._stop()

    def streams_of_killed_vms(self) -> list[list[CallResult]]:
        """Return the tries since the kill, by stream, until soon after it.

        Streams whose callers gave up before all VMs were ready are left out.
        """
        end = self.ready_at + SOON_SECONDS
        found = [
            [item for item in tries if self.killed_at < item.began_at <= end]
            for tries in self.tries_by_stream.values()
        ]
        return [
            tries
            for tries in found
            if tries
            and (any(map(_has_begun, tries)) or tries[-1].began_at > self.ready_at)
        ]


async def test_streams_go_on_soon_after_all_vms_were_killed_at_once() -> None:
    """No running VM has seen that only one build served; the store tells it."""
    run = OneBuildRun(36)
    await run.async_run_with_kill()
    streams = run.streams_of_killed_vms()
    assert len(streams) >= MIN_SOON_STREAMS
    served = sum(any(map(_has_begun, tries)) for tries in streams)
    assert served >= MIN_SOON_SHARE * len(streams)
