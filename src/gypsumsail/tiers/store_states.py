"""State of all stores as one entry sees them."""

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
    """One store.

    Attributes
    ----------
    down
        Whether the keeper's last report was that the store can't be reached.
    call_health, import_health
        Results of this entry's calls to the store, and of engines' imports from
        it; either may fail while the other works.
    unreported_bytes
        Bytes that this entry had moved since the last report, by tier; the
        report doesn't show them yet.
    """

    tiers: tuple[TierLoad, ...] = ()
    reported_at: float = float("-inf")
    down: bool = False
    call_health: StoreHealth = field(default_factory=StoreHealth)
    import_health: StoreHealth = field(default_factory=StoreHealth)
    unreported_bytes: dict[str, int] = field(default_factory=dict)


class StoreStates:
    """Loads from the keepers' reports, and results of this entry's own calls."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.states: dict[str, StoreState] = {}

    def state(self, store_url: str) -> StoreState:
        """Return the state of a store."""
        return self.states.setdefault(store_url, StoreState())

    def on_report(
        self, store_url: str, tiers: tuple[TierLoad, ...], *, now: float
    ) -> None:
        """Take a report; one without tiers says that the store is down."""
        state = self.state(store_url)
        state.down = not tiers
        state.reported_at = now
        if tiers:
            state.tiers = tiers
            state.unreported_bytes.clear()

    def on_call(self, store_url: str, *, succeeded: bool, now: float) -> None:
        """Take the result of a call to the store."""
        _record_result(
            self.state(store_url).call_health, self.rng, succeeded=succeeded, now=now
        )

    def on_import(self, store_url: str, *, succeeded: bool, now: float) -> None:
        """Take the result of an engine's import."""
        _record_result(
            self.state(store_url).import_health, self.rng, succeeded=succeeded, now=now
        )

    def usable(self, store_url: str, *, now: float) -> bool:
        """Return whether a store may be used."""
        state = self.state(store_url)
        down = state.down and now - state.reported_at <= REPORT_LIFETIME_SECONDS
        return (
            not down
            and state.call_health.usable(now=now)
            and state.import_health.usable(now=now)
        )

    def tiers(self, store_url: str, *, now: float) -> tuple[TierLoad, ...]:
        """Return the loads of a store; none when its reports have ended."""
        state = self.state(store_url)
        if now - state.reported_at > REPORT_LIFETIME_SECONDS:
            return ()
        return state.tiers

    def queued_bytes(self, store_url: str, tier: str, *, now: float) -> int:
        """Return the bytes that wait for a tier's link, own recent ones included."""
        reported = self._tier(store_url, tier, now)
        moved = self.state(store_url).unreported_bytes.get(tier, 0)
        return moved + (reported.queued_bytes if reported is not None else 0)

    def bytes_per_second(self, store_url: str, tier: str, *, now: float) -> float:
        """Return the speed of a tier's link."""
        reported = self._tier(store_url, tier, now)
        if reported is None or reported.bytes_per_second <= 0:
            return DEFAULT_LINK_BYTES_PER_SECOND
        return reported.bytes_per_second

    def on_transfer(self, store_url: str, tier: str, size: int) -> None:
        """Count bytes that this entry has just had moved."""
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
