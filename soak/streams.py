"""Streams that callers take up at other VMs, and engines that change their build."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
import random
import re
from typing import TYPE_CHECKING, Any, Final

from soak.callers import CallResult, Resumption, call, split_writers
from soak.const import API_KEY, MAX_RELEASE_SECONDS
from stand_ins.v1_platform import LAST_EVENT, Target, event_content

if TYPE_CHECKING:
    from soak.run import Soak

FIRST_BUILD: Final = "v1"
STREAM_SECONDS: Final = 3.0
"""Time after which a caller gives a stream up."""
MIN_TRY_SECONDS: Final = 0.2
"""Time that a further try needs at least."""
TRY_PAUSE_SECONDS: Final = 0.05
MAX_ENTRY_DELAY_SECONDS: Final = 0.4
"""Longest time from the restart of an engine until its entry is written."""
DRAIN_SECONDS: Final = 2.0
_EVENT: Final = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


@dataclass(slots=True)
class TakenStream:
    """A stream and the tries in which its caller took it up.

    Attributes
    ----------
    is_named
        Whether the caller names the request that began the stream.
    """

    is_named: bool
    tries: list[CallResult] = field(default_factory=list)

    def events(self) -> list[tuple[CallResult, int, bytes]]:
        """Return all events: the try in which they came, the number and the content."""
        return [
            (result, int(number), content)
            for result in self.tries
            for number, content in _EVENT.findall(split_writers(result.body)[0])
        ]

    def resumption(self) -> Resumption | None:
        """Return where the stream is taken up; ``None`` if no event has come."""
        events = self.events()
        if not events:
            return None
        began = events[0][0].request_id if self.is_named else ""
        return Resumption(began_as=began, last_event=events[-1][1])

    def writers(self) -> set[str]:
        """Return name, life and build of the engines that wrote the events."""
        return {found for item in self.tries for found in split_writers(item.body)[1]}

    def builds(self) -> set[str]:
        """Return the builds of the engines that wrote the events."""
        return {found.split(" ", 2)[2] for found in self.writers()}

    def findings(self) -> list[str]:
        """Return how the stream breaks the rule ORDER."""
        events = self.events()
        if not events:
            return []
        numbers = [number for _, number, _ in events]
        name = f"ORDER: stream {events[0][0].request_id}"
        findings = []
        if numbers != list(range(1, len(numbers) + 1)):
            findings.append(f"{name} has the events {numbers}")
        if self.tries[-1].status == 200 and numbers[-1] != LAST_EVENT:
            findings.append(f"{name} is complete after event {numbers[-1]}")
        if len(self.builds()) > 1:
            findings.append(f"{name} is of the builds {sorted(self.builds())}")
        for result, number, content in events:
            began = events[0][0].request_id if self.is_named else result.request_id
            if content.decode() != event_content(began, number):
                findings.append(f"{name} has an event {number} of another one")
        return findings


async def async_take_stream(soak: Soak, rng: random.Random) -> TakenStream:
    """Send one stream, and take it up at other VMs until its time is over."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + STREAM_SECONDS
    stream = TakenStream(is_named=rng.random() < 0.5)
    while (left := give_up_at - loop.time()) > MIN_TRY_SECONDS:
        vm = soak.pick_running_vm(rng)
        number = soak.next_number(vm)
        soak.record_kind(number, "stream")
        result = await call(
            vm.host,
            vm.front_port,
            "stream",
            number,
            API_KEY,
            left,
            resumption=stream.resumption(),
        )
        stream.tries.append(result)
        if result.status == 200:
            break
        await asyncio.sleep(TRY_PAUSE_SECONDS)
    return stream


def _next_build(soak: Soak) -> str:
    numbers = [int(target.build[1:]) for target in soak.targets if target.is_engine]
    return f"v{max(numbers) + 1}"


async def _restart_with_next_build(soak: Soak, rng: random.Random) -> None:
    """Restart all engines under their names with the next build, one by one."""
    build = _next_build(soak)
    for engine in [target for target in soak.targets if target.is_engine]:
        engine.build = build
        engine.restart(closes=rng.random() < 0.5)
        await asyncio.sleep(rng.choice([0.0, rng.uniform(0, MAX_ENTRY_DELAY_SECONDS)]))
        await engine.register(engine.registered_address)
        await asyncio.sleep(rng.uniform(0.1, 0.5))


async def _replace_by_next_build(soak: Soak, rng: random.Random) -> None:
    """Replace an engine by one of another name and the next build."""
    old = rng.choice([target for target in soak.targets if target.is_engine])
    successor = Target(soak.new_name("e"), soak.store, soak.execution_log, "llm")
    successor.version = soak.weight_version
    successor.build = _next_build(soak)
    await soak.async_add_target(successor)
    await old.register(old.registered_address, "draining")
    await asyncio.sleep(DRAIN_SECONDS)
    if old not in soak.targets:
        return
    soak.targets.remove(old)
    old.has_ended = True
    soak.ended_names.append(old.name)
    await soak.store.delete("servers", old.name)
    await old.async_stop()


async def _answer_without_length(soak: Soak, rng: random.Random) -> None:
    """Let an engine send streams without a length for a while, and restart in it."""
    engine = rng.choice([target for target in soak.targets if target.is_engine])
    engine.is_unframed = True
    for _ in range(3):
        await asyncio.sleep(rng.uniform(0.2, 0.7))
        engine.restart(closes=True)
        await engine.register(engine.registered_address)
    engine.is_unframed = False


RELEASES: Final[list[Callable[[Soak, random.Random], Coroutine[Any, Any, None]]]] = [
    _restart_with_next_build,
    _replace_by_next_build,
    _answer_without_length,
]


async def async_take_up_streams(soak: Soak, number: int) -> None:
    """Send streams one after the other, and take up those that break."""
    rng = random.Random(f"streams {number} {soak.report.seed}")
    end = asyncio.get_running_loop().time() + soak.seconds
    while asyncio.get_running_loop().time() < end:
        soak.streams.append(await async_take_stream(soak, rng))
        await asyncio.sleep(rng.uniform(0.0, 0.1))


async def async_release_engines(soak: Soak) -> None:
    """Let engines change their build, or the form of their answers."""
    if not soak.takes_up_streams:
        return
    rng = random.Random(f"releases {soak.report.seed}")
    end = asyncio.get_running_loop().time() + soak.seconds - MAX_RELEASE_SECONDS
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        release = rng.choice(RELEASES)
        soak.report.faults.append(release.__name__.removeprefix("_"))
        await release(soak, rng)
