"""Load and health of all stores, as known to one entry."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from gypsumsail.stores.port import Tier, TierLoad
from gypsumsail.tiers.const import (
    DEFAULT_LINK_BYTES_PER_SECOND,
    REPORT_LIFETIME_SECONDS,
)
from gypsumsail.tiers.health import StoreHealth


@dataclass(slots=True)
class StoreState:
    """Load and health of one store.

    Attributes
    ----------
    tiers
        Loads of the tiers by the last report that did not say the store is down.
    reported_at
        Time of the last report.
    down
        Whether the last report said that the store is unreachable.
    call_health
        Health by the calls of this entry to the store.
    import_health
        Health by the imports of engines from the store. Imports may fail while
        calls of the entry succeed, and the reverse.
    unreported_bytes
        Bytes by tier of the transfers that this entry has counted since the last
        report, which the reported loads do not include yet.
    """

    tiers: tuple[TierLoad, ...] = ()
    reported_at: float = float("-inf")
    down: bool = False
    call_health: StoreHealth = field(default_factory=StoreHealth)
    import_health: StoreHealth = field(default_factory=StoreHealth)
    unreported_bytes: dict[str, int] = field(default_factory=dict)


class StoreStates:
    """States of all stores, from reports of managers and results of own calls."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.states: dict[str, StoreState] = {}

    def state(self, store_url: str) -> StoreState:
        """Return the state of a store, creating it if necessary."""
        return self.states.setdefault(store_url, StoreState())

    def on_report(
        self, store_url: str, tiers: tuple[TierLoad, ...], *, now: float
    ) -> None:
        """Apply a report; a report without tiers means that the store is down."""
        state = self.state(store_url)
        state.down = not tiers
        state.reported_at = now
        if tiers:
            state.tiers = tiers
            state.unreported_bytes.clear()

    def on_call(self, store_url: str, *, succeeded: bool, now: float) -> None:
        """Record the result of a call to the store."""
        _record_result(
            self.state(store_url).call_health, self.rng, succeeded=succeeded, now=now
        )

    def on_import(self, store_url: str, *, succeeded: bool, now: float) -> None:
        """Record the result of an import by an engine."""
        _record_result(
            self.state(store_url).import_health, self.rng, succeeded=succeeded, now=now
        )

    def usable(self, store_url: str, *, now: float) -> bool:
        """Return whether the store is not down and not in a backoff."""
        state = self.state(store_url)
        down = state.down and now - state.reported_at <= REPORT_LIFETIME_SECONDS
        return (
            not down
            and state.call_health.usable(now=now)
            and state.import_health.usable(now=now)
        )

    def tiers(self, store_url: str, *, now: float) -> tuple[TierLoad, ...]:
        """Return the tier loads of a store; empty if its last report is outdated."""
        state = self.state(store_url)
        if now - state.reported_at > REPORT_LIFETIME_SECONDS:
            return ()
        return state.tiers

    def queued_bytes(self, store_url: str, tier: str, *, now: float) -> int:
        """Return the bytes queued for the link of a tier, with unreported bytes."""
        reported = self._tier(store_url, tier, now)
        moved = self.state(store_url).unreported_bytes.get(tier, 0)
        return moved + (reported.queued_bytes if reported is not None else 0)

    def bytes_per_second(self, store_url: str, tier: str, *, now: float) -> float:
        """Return the bandwidth of the link of a tier, in bytes per second."""
        reported = self._tier(store_url, tier, now)
        if reported is None or reported.bytes_per_second <= 0:
            return DEFAULT_LINK_BYTES_PER_SECOND
        return reported.bytes_per_second

    def on_transfer(self, store_url: str, tier: str, size: int) -> None:
        """Count bytes of a transfer that this entry is about to cause or has caused."""
        moved = self.state(store_url).unreported_bytes
        moved[tier] = moved.get(tier, 0) + size

    def _tier(self, store_url: str, tier: str, now: float) -> TierLoad | None:
        loads = self.tiers(store_url, now=now)
        return next((load for load in loads if load.tier is Tier(tier)), None)


def _record_result(
    health: StoreHealth, rng: Random, *, succeeded: bool, now: float
) -> None:
    if succeeded:
        health.on_success()
    else:
        health.on_failure(rng, now=now)
