"""Keeps in the platform's store what VMs must know that start after all others ended.

Each VM with the duty to write has an object of its own, and a VM that starts reads the
objects of all. They are written only when their content changes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Final

import cbor2

from gypsumsail.core import cbor
from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gateway.part_suspects import PartCrash, PartSuspects
from gypsumsail.gateway.stream_builds import ObservedBuilds
from gypsumsail.gossip.peers import PeerTable
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.object_api.eras import EraTracker
from gypsumsail.object_api.port import MUST_NOT_EXIST, ConflictError, ObjectApi
from gypsumsail.vm.build_history import BuildHistory, KeptBuilds

KEPT_STATE_DUTY: Final = "kept state"
"""Name of the duty to write."""
KEPT_STATE_WRITERS_PER_ZONE: Final = 2
"""Number of VMs per zone with that duty; one may be cut off from the store."""
CHECK_SECONDS: Final = 0.5
"""Mean pause between comparisons of the state with what was written."""
MIN_WRITE_INTERVAL_SECONDS: Final = 10.0
"""Pause between two writes of a VM, and after a failed one."""
READ_RETRY_SECONDS: Final = 1.0
"""Pause after an attempt to read that failed."""
MAX_STATE_AGE_SECONDS: Final = 43_200.0
"""Age from which the state of a VM is ignored, as that VM has probably ended."""

_CRASH = cbor.RowReader(str, str, int, int)
_BUILD = cbor.RowReader(str, str)


@dataclass(frozen=True, slots=True, kw_only=True)
class KeptState:
    """State of one VM.

    Attributes
    ----------
    blocked
        Crashes of the parts of prompts that are blocked.
    builds
        Builds of targets; ``None`` where this VM doesn't know all.
    """

    blocked: tuple[PartCrash, ...] = ()
    builds: KeptBuilds | None = None


def encode_state(state: KeptState, wall: float) -> bytes:
    """Encode the state of a VM that is written at a wall-clock time, in seconds."""
    rows = [[item.part, item.target, item.life, item.order] for item in state.blocked]
    fields = {"at": int(wall * MILLISECONDS_PER_SECOND), "blocked": rows}
    if (builds := state.builds) is not None:
        observed = builds.observed
        services = [list(pair) for pair in observed.services]
        fields["builds"] = [builds.position, float(observed.seconds), services]
    return cbor2.dumps(fields)


def decode_state(value: bytes) -> tuple[KeptState, float]:
    """Decode the state of a VM and the wall-clock time of its writing, in seconds.

    Fields of later builds are ignored.

    Raises
    ------
    ValueInvalidError
        The value is malformed.
    """
    fields = cbor.load(value)
    if not isinstance(fields, dict):
        raise cbor.ValueInvalidError("not a map")
    written_at = cbor.read_unsigned(fields.get("at")) / MILLISECONDS_PER_SECOND
    blocked = tuple(
        PartCrash(part=part, target=target, life=life, order=order)
        for part, target, life, order in _CRASH.read_all(fields.get("blocked", []))
    )
    builds = _decode_builds(fields["builds"]) if "builds" in fields else None
    return KeptState(blocked=blocked, builds=builds), written_at


def _decode_builds(value: object) -> KeptBuilds:
    position, seconds, services = cbor.read_list(value, 3)
    return KeptBuilds(
        observed=ObservedBuilds(
            services=tuple((row[0], row[1]) for row in _BUILD.read_all(services)),
            seconds=cbor.read_seconds(seconds),
        ),
        position=cbor.read_unsigned(position),
    )


class KeptStateCoordinator:
    """Reads the kept state of all VMs once, and writes that of this VM.

    Attributes
    ----------
    written
        State in the object of this VM; ``None`` if it is not known.
    version
        Version of that object; ``MUST_NOT_EXIST`` without one.
    written_era
        Era of the store in which it was read or written. A store that is restored from
        an older copy may have lost it.
    kept_builds
        Builds that all VMs had kept, each with the version of its object.
    next_write_at
        Time before which nothing is written.
    """

    def __init__(
        self,
        vm: str,
        kind: str,
        api: ObjectApi,
        eras: EraTracker,
        peers: PeerTable,
        part_suspects: PartSuspects,
        build_history: BuildHistory,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.kind = kind
        self.key = f"{kind}/{vm}"
        self.api = api
        self.eras = eras
        self.peers = peers
        self.part_suspects = part_suspects
        self.build_history = build_history
        self.clock = clock
        self.log = log
        self.has_read = False
        self.kept_builds: list[tuple[KeptBuilds, int]] = []
        self.written: KeptState | None = KeptState()
        self.version = MUST_NOT_EXIST
        self.written_era: int | None = None
        self.next_write_at = clock.monotonic()
        self.random = Random()

    async def async_run(self) -> None:
        """Read the state of all VMs, then write that of this VM when it changes."""
        while not self.has_read:
            try:
                await self.async_read()
            except TransportError as err:
                self.log.write("kept state not read", reason=str(err))
                await asyncio.sleep(READ_RETRY_SECONDS)
        await self.build_history.async_inherit(self.kept_builds, self.eras.current)
        while True:
            # The jitter spreads the writes of VMs that learn of the same crash.
            await asyncio.sleep(CHECK_SECONDS * self.random.uniform(0.5, 1.5))
            await self.async_write_if_due()

    async def async_read(self) -> None:
        """Apply the state of all VMs.

        Raises
        ------
        TransportError
            The store did not answer.
        """
        listing = await self.api.async_list(self.kind)
        blocked: list[PartCrash] = []
        self.kept_builds.clear()
        for found in listing.objects:
            try:
                state, written_at = decode_state(found.value or b"")
            except cbor.ValueInvalidError as err:
                self.log.write("kept state left out", key=found.key, reason=str(err))
                continue
            if found.key == self.key:
                self.written, self.version = state, found.version
            if self.clock.wall() - written_at < MAX_STATE_AGE_SECONDS:
                blocked += state.blocked
            if state.builds is not None:
                self.kept_builds.append((state.builds, found.version))
        self.written_era = self.eras.current
        self.has_read = True
        self._apply(blocked)

    @callback
    def _apply(self, blocked: Iterable[PartCrash]) -> None:
        now = self.clock.monotonic()
        for crash in blocked:
            self.part_suspects.apply(crash, now)

    async def async_write_if_due(self) -> None:
        """Write the state of this VM if it has changed and this VM has the duty."""
        now = self.clock.monotonic()
        state = KeptState(
            blocked=tuple(self.part_suspects.updates_to_keep()),
            # Older builds stay right, as the history since then is read as well.
            builds=self.build_history.to_keep(now)
            or (self.written.builds if self.written is not None else None),
        )
        if now < self.next_write_at or not self._must_write(state, now):
            return
        self.next_write_at = now + MIN_WRITE_INTERVAL_SECONDS
        value = encode_state(state, self.clock.wall())
        try:
            self.version = await self.api.async_put(
                self.key, value, if_version=self.version
            )
        except ConflictError as err:
            self.version, self.written = err.current, None
            self.log.write("kept state not written", reason=str(err))
        except TransportError as err:
            self.written = None
            self.log.write("kept state not written", reason=str(err))
        else:
            self.written = state
            self.written_era = self.eras.current

    def _must_write(self, state: KeptState, now: float) -> bool:
        is_lost = self.written_era != self.eras.current and state != KeptState()
        if not is_lost and self._is_written(state):
            return False
        if state.builds is not None:
            return True
        # What a VM wrote before it lost the duty must not outlive a change either.
        return self.version != MUST_NOT_EXIST or self.peers.is_assigned(
            KEPT_STATE_DUTY, KEPT_STATE_WRITERS_PER_ZONE, now
        )

    def _is_written(self, state: KeptState) -> bool:
        """Return whether the object of this VM holds all of a state.

        Changes of the store since are left to its history, but not for longer than
        that is kept. Those by the write itself are none.
        """
        written = self.written
        if written is None or written.blocked != state.blocked:
            return False
        if state.builds is None:
            return True
        return (
            written.builds is not None
            and written.builds.observed == state.builds.observed
            and state.builds.position <= self.version
        )
