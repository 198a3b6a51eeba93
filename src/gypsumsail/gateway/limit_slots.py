"""Divides the limit of a target among the VMs without messages between them.

A limit may be below one call per second before hundreds of VMs, so that equal shares of
it would leave each VM less than one call a minute, at a time that it can't choose well,
and shares that start at random times would add up to bursts. Instead, time is divided
into slots at the rate of the limit. A hash ring of the VMs assigns each slot to one VM,
which may send a call in it or shortly after it. VMs whose rings or clocks differ a
little disagree about few slots.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import floor

from gypsumsail.core.hash_ring import HashRing
from gypsumsail.gateway.const import (
    MAX_CLOCK_STEP_SECONDS,
    MAX_LIMIT_SLOTS_PER_VM,
    MAX_SCANNED_SLOTS,
    MIN_LIMIT_CALLS_PER_SECOND,
    SLOT_EXPIRY_CALLS,
    SLOT_EXPIRY_SECONDS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitSharing:
    """What a VM needs to know to share limits with the other VMs.

    Attributes
    ----------
    vm
        This VM's name on the ring.
    ring
        Returns the ring of the VMs; ``None`` while this VM does not know the others.
    wall
        Returns the wall-clock time for a monotonic time.
    """

    vm: str
    ring: Callable[[float], HashRing | None]
    wall: Callable[[float], float]


@dataclass(slots=True)
class _Grant:
    """Calls that a slot allows.

    Attributes
    ----------
    at
        Wall-clock time at which the slot begins.
    """

    at: float
    calls: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRate:
    """Slots of a limit: their rate, and the calls that each of them allows.

    Attributes
    ----------
    expiry
        Seconds after the begin of a slot until which its calls may be sent.
    """

    per_second: float
    calls: float
    expiry: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Upcoming:
    """Begin of the next slot of a VM, with the rate and ring it was found for."""

    at: float
    rate: SlotRate
    ring: HashRing

    def is_valid(self, rate: SlotRate, ring: HashRing, wall: float) -> bool:
        """Return whether the slot is still ahead, and found for the same ring."""
        return self.at > wall and self.rate == rate and self.ring is ring


def slot_rate(calls_per_second: float, vms: int) -> SlotRate:
    """Return the slots of a limit that is shared by a number of VMs.

    A limit of zero counts as a very low one: only an answer can tell that it has ended.
    """
    limit = max(calls_per_second, MIN_LIMIT_CALLS_PER_SECOND)
    per_second = min(limit, MAX_LIMIT_SLOTS_PER_VM * max(vms, 1))
    return SlotRate(
        per_second=per_second,
        calls=limit / per_second,
        expiry=SLOT_EXPIRY_SECONDS + SLOT_EXPIRY_CALLS / limit,
    )


@dataclass(slots=True)
class LimitSlots:
    """Slots of one target that belong to this VM.

    All times are wall-clock times.

    Attributes
    ----------
    key
        Name of the target, which makes the slots of targets differ.
    grants
        Slots of this VM that are not used up.
    examined_until
        Time up to which slots have been assigned; ``None`` before the first use. It
        keeps a VM whose clock is set back from using a slot again.
    upcoming
        Next slot of this VM, if it was looked for.
    carried_calls
        Part of a call that is left of the last slot that was used up.
    """

    key: str
    grants: deque[_Grant] = field(default_factory=deque)
    examined_until: float | None = None
    upcoming: _Upcoming | None = None
    carried_calls: float = 0.0

    def allows(
        self, calls_per_second: float, sharing: LimitSharing, now: float
    ) -> bool:
        """Return whether this VM may send a call now."""
        ring = sharing.ring(now)
        if ring is None:
            return False
        self._examine(calls_per_second, sharing.vm, ring, sharing.wall(now))
        return bool(self.grants) and self.grants[0].calls >= 1.0

    def take(self) -> None:
        """Count a call that is sent; call only if ``allows`` returned true."""
        grant = self.grants[0]
        grant.calls -= 1.0
        if grant.calls >= 1.0:
            return
        self.grants.popleft()
        self.carried_calls = grant.calls

    def seconds_until_allowed(
        self, calls_per_second: float, sharing: LimitSharing, now: float
    ) -> float:
        """Return the seconds until this VM may send a call."""
        if self.allows(calls_per_second, sharing, now):
            return 0.0
        ring = sharing.ring(now)
        rate = slot_rate(calls_per_second, len(ring.members) if ring is not None else 1)
        if ring is None:
            return 1.0 / rate.per_second
        wall = sharing.wall(now)
        found = self.upcoming
        if found is None or not found.is_valid(rate, ring, wall):
            at = self._next_slot(rate, sharing.vm, ring, wall)
            self.upcoming = found = _Upcoming(at=at, rate=rate, ring=ring)
        return found.at - wall

    def _next_slot(self, rate: SlotRate, vm: str, ring: HashRing, wall: float) -> float:
        """Return the begin of the next slot, or its expected begin if it is far."""
        first = floor(wall * rate.per_second) + 1
        for slot in range(first, first + MAX_SCANNED_SLOTS):
            if self._owner(slot, ring) == vm:
                return slot / rate.per_second
        slots = max(len(ring.members), MAX_SCANNED_SLOTS)
        return wall + slots / rate.per_second

    def _examine(
        self, calls_per_second: float, vm: str, ring: HashRing, wall: float
    ) -> None:
        """Add the slots of this VM that have begun, and remove the expired ones."""
        rate = slot_rate(calls_per_second, len(ring.members))
        since = self.examined_until
        if since is None or since - wall > MAX_CLOCK_STEP_SECONDS:
            since = wall
        first = floor(max(since, wall - rate.expiry) * rate.per_second) + 1
        for slot in range(first, floor(wall * rate.per_second) + 1):
            if self._owner(slot, ring) == vm:
                calls = rate.calls + self.carried_calls
                self.grants.append(_Grant(slot / rate.per_second, calls))
                self.carried_calls = 0.0
        self.examined_until = max(since, wall)
        while self.grants and self.grants[0].at < wall - rate.expiry:
            self.grants.popleft()

    def _owner(self, slot: int, ring: HashRing) -> str:
        return ring.owner(f"{self.key}\0{slot}")
