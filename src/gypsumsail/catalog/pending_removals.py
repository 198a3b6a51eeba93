"""Delays the removal of targets whose records disappeared around a store outage.

During a long outage of the store, the record of a live target can expire. Such a
target lists itself again soon after the store recovers; otherwise it is gone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.catalog.const import RELISTING_GRACE_SECONDS
from gypsumsail.catalog.store_health import StoreHealth, StoreOutage


@dataclass(slots=True)
class PendingRemovals:
    """Targets whose records were removed during or shortly after an outage.

    Attributes
    ----------
    deadlines
        Time at which each target is removed unless it is listed again; ``None``
        until the store recovers.
    """

    deadlines: dict[str, float | None] = field(default_factory=dict)

    def cancel(self, name: str) -> None:
        """Cancel the pending removal of a target that is listed again."""
        self.deadlines.pop(name, None)

    def record_removal(
        self, name: str, outage: StoreOutage, recovered_at: float, now: float
    ) -> bool:
        """Record a removal; return whether it takes effect immediately.

        Parameters
        ----------
        outage
            Outage state of the store at the VM that saw the removal.
        recovered_at
            Time at which the store recovered for that VM, as far as it is known.
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

    def pop_expired(self, health: StoreHealth, now: float) -> list[str]:
        """Remove and return the targets whose deadline has passed.

        Deadlines that wait for the recovery of the store are set first.
        """
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
