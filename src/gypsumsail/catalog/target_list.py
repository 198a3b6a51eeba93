"""Decides which listed targets are believed to live.

An entry lapses when the store was away for long, though its target lives; it is
back soon after the store, or the target is gone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.catalog.const import RETURN_SECONDS
from gypsumsail.catalog.store_link import StoreLink, StoreTrouble


@dataclass(slots=True)
class TargetList:
    """Targets whose entries were removed in trouble.

    Attributes
    ----------
    lapsed
        Time at which each is gone unless it is listed again; ``None`` while the
        store has not returned.
    """

    lapsed: dict[str, float | None] = field(default_factory=dict)

    def listed(self, name: str) -> None:
        """Note that a target is listed."""
        self.lapsed.pop(name, None)

    def removed(
        self, name: str, trouble: StoreTrouble, back_at: float, now: float
    ) -> bool:
        """Note a removal; return whether the target is gone at once.

        Parameters
        ----------
        trouble
            How the store has been for the VM that saw the removal there.
        back_at
            Time of the store's return for that VM, as far as it is known.
        """
        if trouble is StoreTrouble.NONE:
            self.lapsed.pop(name, None)
            return True
        if name not in self.lapsed:
            is_back = trouble is StoreTrouble.LATELY
            self.lapsed[name] = max(back_at + RETURN_SECONDS, now) if is_back else None
        return False

    def gone(self, link: StoreLink, now: float) -> list[str]:
        """Return lapsed targets that were not listed again in time."""
        for name, until in self.lapsed.items():
            if until is None and not link.is_failing:
                self.lapsed[name] = (link.back_at or now) + RETURN_SECONDS
        names = [
            name
            for name, until in self.lapsed.items()
            if until is not None and until <= now
        ]
        for name in names:
            del self.lapsed[name]
        return names
