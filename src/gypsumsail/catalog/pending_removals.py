"""Decides which listed targets are believed to live.

An entry lapses when the store was away for long, though its target lives; it is
back soon after the store, or the target is gone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.catalog.const import RELISTING_GRACE_SECONDS
from gypsumsail.catalog.store_health import StoreHealth, StoreOutage


@dataclass(slots=True)
class PendingRemovals:
    """Targets whose entries were removed in trouble.

    Attributes
    ----------
    lapsed
        Time at which each is gone unless it is listed again; ``None`` while the
        store has not returned.
    """

    deadlines: dict[str, float | None] = field(default_factory=dict)

    def cancel(self, name: str) -> None:
        """Note that a target is listed."""
        self.deadlines.pop(name, None)

    def record_removal(
        self, name: str, outage: StoreOutage, recovered_at: float, now: float
    ) -> bool:
        """Note a removal; return whether the target is gone at once.

        Parameters
        ----------
        trouble
            How the store has been for the VM that saw the removal there.
        back_at
            Time of the store's return for that VM, as far as it is known.
        """
        if outage is StoreOutage.NONE:
            self.deadlines.pop(name, None)
            return True
        if name not in self.deadlines:
            has_recovered = outage is StoreOutage.LATELY
            self.deadlines[name] = (
                max(recovered_at + RELISTING_GRACE_SECONDS, now)
                if has_recovered
                else None
            )
        return False

    def expired(self, health: StoreHealth, now: float) -> list[str]:
        """Return lapsed targets that were not listed again in time."""
        for name, until in self.deadlines.items():
            if until is None and not health.is_failing:
                self.deadlines[name] = (
                    health.recovered_at or now
                ) + RELISTING_GRACE_SECONDS
        names = [
            name
            for name, until in self.deadlines.items()
            if until is not None and until <= now
        ]
        for name in names:
            del self.deadlines[name]
        return names
