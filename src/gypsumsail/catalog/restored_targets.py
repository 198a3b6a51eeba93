"""Removed targets that a restored store lists again.

The copy from which a store is restored may be older than the removal of a target. Such
a target must get no calls, unless it is alive after all: then its record stays, because
the platform removes the records of silent targets.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from gypsumsail.catalog.const import MAX_REMEMBERED_REMOVALS, RESTORED_CONFIRM_SECONDS
from gypsumsail.gateway.models import TargetEntry


@dataclass(frozen=True, slots=True, kw_only=True)
class _HeldBack:
    entry: TargetEntry
    confirmed_at: float


@dataclass(slots=True)
class RestoredTargets:
    """Targets that are held back until their records are confirmed.

    Attributes
    ----------
    removed
        Names and incarnations of the latest removed targets.
    held_back
        Listed targets that were removed before, by name.
    """

    removed: deque[tuple[str, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_REMEMBERED_REMOVALS)
    )
    held_back: dict[str, _HeldBack] = field(default_factory=dict)

    def record_removal(self, entry: TargetEntry) -> None:
        """Remember that a target was removed."""
        self.removed.append((entry.name, entry.life))

    def hold_back(self, entry: TargetEntry, now: float) -> bool:
        """Return whether a target in the listing of a restored store is held back."""
        if (entry.name, entry.life) not in self.removed:
            return False
        confirmed_at = now + RESTORED_CONFIRM_SECONDS
        self.held_back[entry.name] = _HeldBack(entry=entry, confirmed_at=confirmed_at)
        return True

    def cancel(self, name: str) -> None:
        """Forget a target that has been written or removed since."""
        self.held_back.pop(name, None)

    def pop_confirmed(self, now: float) -> list[TargetEntry]:
        """Remove and return the targets whose records have stayed long enough."""
        found = [
            item.entry for item in self.held_back.values() if item.confirmed_at <= now
        ]
        for entry in found:
            del self.held_back[entry.name]
        return found
