"""Decides which listed targets are believed to live.

An entry lapses when the store was away for long, though its target lives; it is
back soon after the store, or the target is gone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.catalog.store_link import StoreLink


@dataclass(slots=True)
class TargetList:
    """Targets whose entries were removed in trouble, with the time of removal."""

    lapsed: dict[str, float] = field(default_factory=dict)

    def listed(self, name: str) -> None:
        """Note that a target is listed."""
        self.lapsed.pop(name, None)

    def removed(self, name: str, link: StoreLink, now: float) -> bool:
        """Note a removal; return whether the target is gone at once."""
        if not link.had_trouble(now):
            self.lapsed.pop(name, None)
            return True
        self.lapsed.setdefault(name, now)
        return False

    def gone(self, link: StoreLink, now: float) -> list[str]:
        """Return lapsed targets that were not listed again in time."""
        if not link.returned_for(now):
            return []
        names = list(self.lapsed)
        self.lapsed.clear()
        return names
