"""Finds the parts of prompts on which engines crash, and refuses calls with them.

A part may crash each engine that begins to write an answer on it, whatever else the
prompt holds. The calls with it are new ones each time, come at any VM, and fail
together with the other calls of the engine's batch, so that neither whole requests nor
callers can be told apart by counting. An answer that begins can: it speaks for each
part of its prompt, wherever in the fleet it begins. Only a part that was in several
crashes after each other, without an answer in between, is blocked.

The VMs share crashes and answers, in any order: a crash is identified by the target's
life, and an answer names the crashes that it refutes.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

MIN_CRASHES: Final = 3
"""Crashes after each other that a part must have been in to be blocked."""
MIN_UNEXPLAINED_CRASHES: Final = 2
"""Crashes that no other blocked part, absent from the prompt, was in as well."""
MIN_CRASHES_TO_STOP_RETRIES: Final = 2
"""Crashes after which calls with the part are sent to no second target."""
TRIAL_DELAYS_SECONDS: Final = (20.0, 120.0, 1_800.0, 43_200.0)
"""Time after the latest crash until one call may try whether the part still crashes.

The first delay applies to ``MIN_CRASHES`` crashes, the next one to one more, and so on.
"""
SUSPICION_SECONDS: Final = 600.0
"""Time after which the crashes of a part that is not blocked are forgotten."""
MAX_PARTS: Final = 4_000
"""Parts with crashes that are kept; parts that are not blocked are evicted first."""
MAX_CRASHES_PER_PART: Final = 16
MAX_REFUTED_PER_PART: Final = 32
REPLY_SECONDS: Final = 2.0
"""Time from which a VM that still reports a refuted crash is told so."""
MAX_KEPT_PARTS: Final = 16
"""Blocked parts that outlive all VMs, those with the most crashes."""
MAX_KEPT_CRASHES_PER_PART: Final = 6
"""Crashes of each of these parts, the latest ones."""
MAX_UNSENT: Final = 400
"""Updates that wait to be sent; those of parts with the fewest crashes are dropped."""

TargetLife = tuple[str, int]
"""Name of a target and its life: the time at which that incarnation started."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PartCrash:
    """A target failed before an answer on the part had begun there.

    Attributes
    ----------
    order
        One more than the order of the part's latest crash that was known when the call
        was sent. Targets that fail at the same time have the same order.
    """

    part: str
    target: str
    life: int
    order: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PartAnswered:
    """An answer on the part began after this crash, which no longer counts."""

    part: str
    target: str
    life: int


PartUpdate = PartCrash | PartAnswered


@dataclass(slots=True)
class _PartRecord:
    """Crashes of one part.

    Attributes
    ----------
    orders
        Order of each crash that no answer has refuted.
    refuted
        Crashes that answers have refuted, oldest first, with the time at which this VM
        heard or last told of it.
    changed_at
        Time at which this VM heard of the latest crash, or let a call try the part.
    """

    orders: dict[TargetLife, int] = field(default_factory=dict)
    refuted: dict[TargetLife, float] = field(default_factory=dict)
    changed_at: float = 0.0

    def order(self) -> int:
        """Return the order of the latest crash; 0 without crashes."""
        return max(self.orders.values(), default=0)

    def crashes(self) -> int:
        """Return the number of crashes after each other."""
        return min(self.order(), len(self.orders))


class PartSuspects:
    """Parts that were in crashes, as far as this VM knows.

    Attributes
    ----------
    blocked
        Names of the parts with at least ``MIN_CRASHES`` crashes after each other.
    may_try
        Returns whether this VM is the one that tries a blocked part again.
    on_blocked, on_released
        Called with the name of a part; ``on_blocked`` also with the target lives of
        its crashes.
    """

    def __init__(self) -> None:
        self.records: OrderedDict[str, _PartRecord] = OrderedDict()
        self.blocked: set[str] = set()
        self.unsent: dict[PartUpdate, None] = {}
        self.may_try: Callable[[str, float], bool] = lambda part, now: True
        self.on_blocked: Callable[[str, Iterable[TargetLife]], None] = (
            lambda part, crashes: None
        )
        self.on_released: Callable[[str], None] = lambda part: None

    def orders(self, parts: Iterable[str], now: float) -> dict[str, int]:
        """Return the order of the latest known crash of each part."""
        return {part: self._order(part, now) for part in parts}

    def _order(self, part: str, now: float) -> int:
        record = self.records.get(part)
        if record is None:
            return 0
        if part not in self.blocked and now - record.changed_at > SUSPICION_SECONDS:
            del self.records[part]
            return 0
        return record.order()

    def stops_retries(self, parts: Iterable[str]) -> bool:
        """Return whether a part was in too many crashes for a second send."""
        return any(
            self.records[part].crashes() >= MIN_CRASHES_TO_STOP_RETRIES
            for part in parts
            if part in self.records
        )

    def blocked_part(self, parts: Sequence[str], now: float) -> str | None:
        """Return the part for which a call is to be refused, if any.

        Of several parts it is the one with the most crashes.
        """
        if not self.blocked:
            return None
        refused_for = [
            part
            for part in self.blocked.intersection(parts)
            if self._unexplained(part, parts) >= MIN_UNEXPLAINED_CRASHES
            and not self._is_trial_due(part, now)
        ]
        return min(
            refused_for,
            key=lambda part: (-self.records[part].crashes(), part),
            default=None,
        )

    def admit(self, parts: Sequence[str], now: float) -> str | None:
        """Return the part for which a call is not sent; ``None`` if it may be.

        A call that tries a blocked part postpones the next trial.
        """
        refused_for = self.blocked_part(parts, now)
        if refused_for is None:
            # Parts that are blocked all the same are tried with this call.
            for part in self.blocked.intersection(parts):
                if self._unexplained(part, parts) >= MIN_UNEXPLAINED_CRASHES:
                    self.records[part].changed_at = now
        return refused_for

    def _unexplained(self, part: str, parts: Sequence[str]) -> int:
        """Return how many crashes of a part no part outside the prompt explains.

        A sound part that was always next to a bad one has crashes of the bad one only.
        """
        crashes = set(self.records[part].orders)
        for other in self.blocked.difference(parts):
            crashes -= self.records[other].orders.keys()
        return len(crashes)

    def _is_trial_due(self, part: str, now: float) -> bool:
        record = self.records[part]
        index = min(record.crashes() - MIN_CRASHES, len(TRIAL_DELAYS_SECONDS) - 1)
        if now - record.changed_at < TRIAL_DELAYS_SECONDS[index]:
            return False
        return self.may_try(part, now)

    def record_crash(
        self, orders: Mapping[str, int], target: str, life: int, now: float
    ) -> None:
        """Record that a target failed before an answer had begun, and tell the VMs.

        Parameters
        ----------
        orders
            Order of the latest crash of each part, known when the call was sent.
        """
        for part, order in orders.items():
            self._apply_news(
                PartCrash(part=part, target=target, life=life, order=order + 1), now
            )

    def record_answer(self, parts: Iterable[str], now: float) -> None:
        """Refute the known crashes of all parts on which an answer has begun."""
        for part in parts:
            record = self.records.get(part)
            for target, life in list(record.orders) if record is not None else ():
                self._apply_news(PartAnswered(part=part, target=target, life=life), now)

    def _apply_news(self, update: PartUpdate, now: float) -> None:
        if self.apply(update, now):
            self.unsent[update] = None

    def apply(self, update: PartUpdate, now: float) -> bool:
        """Apply an update of this VM or another one; return whether it was news."""
        record = self.records.setdefault(update.part, _PartRecord(changed_at=now))
        crash = (update.target, update.life)
        match update:
            case PartCrash(order=order):
                is_news = self._add(record, crash, order, now)
                self._reply_if_refuted(update, record, now)
            case PartAnswered():
                is_news = crash not in record.refuted
                record.orders.pop(crash, None)
                record.refuted.setdefault(crash, now)
                if len(record.refuted) > MAX_REFUTED_PER_PART:
                    del record.refuted[next(iter(record.refuted))]
        self._update_blocked(update.part, record)
        self._evict()
        return is_news

    @staticmethod
    def _add(record: _PartRecord, crash: TargetLife, order: int, now: float) -> bool:
        if crash in record.refuted:
            return False
        known = record.orders.get(crash)
        if known is not None and known <= order:
            return False
        if known is None and len(record.orders) >= MAX_CRASHES_PER_PART:
            return False
        record.orders[crash] = order
        if known is None:
            record.changed_at = now
        return True

    def _reply_if_refuted(
        self, update: PartCrash, record: _PartRecord, now: float
    ) -> None:
        """Tell again of an answer that a VM has missed, which was cut off then."""
        crash = (update.target, update.life)
        told_at = record.refuted.get(crash)
        if told_at is None or now - told_at < REPLY_SECONDS:
            return
        record.refuted[crash] = now
        reply = PartAnswered(part=update.part, target=update.target, life=update.life)
        self.unsent[reply] = None

    def _update_blocked(self, part: str, record: _PartRecord) -> None:
        if record.crashes() >= MIN_CRASHES:
            if part not in self.blocked:
                self.blocked.add(part)
                self.on_blocked(part, list(record.orders))
        elif part in self.blocked:
            self.blocked.discard(part)
            self.on_released(part)

    def _evict(self) -> None:
        if len(self.records) <= MAX_PARTS:
            return
        evicted = next(
            (part for part in self.records if part not in self.blocked),
            next(iter(self.records)),
        )
        del self.records[evicted]
        self.blocked.discard(evicted)

    def take_unsent(self, limit: int) -> list[PartUpdate]:
        """Remove and return up to ``limit`` updates, the gravest parts first."""
        ranked = sorted(self.unsent, key=self._gravity, reverse=True)
        self.unsent = dict.fromkeys(ranked[limit : limit + MAX_UNSENT])
        return ranked[:limit]

    def _gravity(self, update: PartUpdate) -> int:
        record = self.records.get(update.part)
        return record.crashes() if record is not None else 0

    def updates_to_repeat(self) -> list[PartUpdate]:
        """Return what a VM needs that has just started or was cut off."""
        return [
            PartCrash(part=part, target=target, life=life, order=order)
            for part, record in self.records.items()
            if record.crashes() >= MIN_CRASHES_TO_STOP_RETRIES
            for (target, life), order in record.orders.items()
        ]

    def updates_to_keep(self) -> list[PartCrash]:
        """Return what VMs need that start after all others have ended, in fixed order.

        These are the latest crashes of the gravest blocked parts.
        """
        gravest = sorted(
            self.blocked, key=lambda part: (-self.records[part].crashes(), part)
        )
        return [
            PartCrash(part=part, target=target, life=life, order=order)
            for part in sorted(gravest[:MAX_KEPT_PARTS])
            for (target, life), order in sorted(
                self.records[part].orders.items(), key=lambda item: (-item[1], item[0])
            )[:MAX_KEPT_CRASHES_PER_PART]
        ]
