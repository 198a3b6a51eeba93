"""Selects the updates that a reporting VM passes on between zones."""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.gossip.const import MAX_RELAYED_UPDATES, RELAY_REPEAT_SECONDS
from gypsumsail.gossip.messages import (
    CrashUpdate,
    LoadingTarget,
    ObservedWeights,
    RemovedTarget,
)
from gypsumsail.gossip.zone_reports import FleetUpdate


@dataclass(frozen=True, slots=True, kw_only=True)
class UpdateBatch:
    """Updates of one report, by type."""

    crash_reports: tuple[CrashUpdate, ...] = ()
    loading: tuple[LoadingTarget, ...] = ()
    weights: tuple[ObservedWeights, ...] = ()
    removed: tuple[RemovedTarget, ...] = ()


@dataclass(slots=True)
class UpdateRelay:
    """Updates to pass on in one direction.

    A source repeats each update, because datagrams may be lost. A repetition is passed
    on as well, but not the copies that arrive by several ways at about the same time.

    Attributes
    ----------
    pending
        Updates for the next report, in the order of their arrival.
    passed_on_at
        Time at which each recent update was last added to ``pending``.
    """

    pending: list[FleetUpdate] = field(default_factory=list)
    passed_on_at: dict[FleetUpdate, float] = field(default_factory=dict)

    def add(self, update: FleetUpdate, now: float) -> None:
        """Add an update unless it was added a moment ago."""
        last = self.passed_on_at.get(update)
        if last is not None and now - last < RELAY_REPEAT_SECONDS:
            return
        self.passed_on_at[update] = now
        self.pending.append(update)

    def take(self, now: float) -> UpdateBatch:
        """Remove and return the updates for one report."""
        taken = self.pending[:MAX_RELAYED_UPDATES]
        del self.pending[:MAX_RELAYED_UPDATES]
        self._forget_old(now)
        return UpdateBatch(
            crash_reports=tuple(x for x in taken if isinstance(x, CrashUpdate)),
            loading=tuple(x for x in taken if isinstance(x, LoadingTarget)),
            weights=tuple(x for x in taken if isinstance(x, ObservedWeights)),
            removed=tuple(x for x in taken if isinstance(x, RemovedTarget)),
        )

    def _forget_old(self, now: float) -> None:
        self.passed_on_at = {
            update: at
            for update, at in self.passed_on_at.items()
            if now - at < RELAY_REPEAT_SECONDS
        }
