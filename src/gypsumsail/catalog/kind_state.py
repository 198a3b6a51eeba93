"""Copy of the objects of one kind, and the revision as of which it holds."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from gypsumsail.object_api.port import Listing, PlatformObject


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """What an update changed."""

    written: tuple[PlatformObject, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(slots=True)
class KindState:
    """Objects by key; an older source never replaces a newer one.

    Attributes
    ----------
    revision
        Revision of the store as of which the copy is complete; 0 at the start.
    changed_at
        Revision of the last change that the copy holds; peers compare it.
    """

    revision: int = 0
    changed_at: int = 0
    objects: dict[str, PlatformObject] = field(default_factory=dict)

    def replace(self, listing: Listing) -> Changes:
        """Take a complete listing unless the copy is newer."""
        if listing.revision < self.revision or not listing.revision:
            return Changes()
        names = {found.key for found in listing.objects}
        removed = tuple(key for key in self.objects if key not in names)
        written = tuple(self._newer(listing.objects))
        for key in removed:
            del self.objects[key]
        if removed:
            self.changed_at = max(self.changed_at, listing.revision)
        self.revision = listing.revision
        return Changes(written=written, removed=removed)

    def apply(self, listing: Listing) -> Changes:
        """Take the changes of a watch."""
        written, removed = [], []
        for found in listing.objects:
            if found.value is not None:
                written += self._newer((found,))
                continue
            known = self.objects.get(found.key)
            if known is None or known.version > max(found.version, listing.revision):
                continue
            del self.objects[found.key]
            removed.append(found.key)
            self.changed_at = max(self.changed_at, found.version)
        if removed:
            self.changed_at = max(self.changed_at, listing.revision)
        self.revision = max(self.revision, listing.revision)
        return Changes(written=tuple(written), removed=tuple(removed))

    def listing(self) -> Listing:
        """Return the copy for a peer."""
        return Listing(objects=tuple(self.objects.values()), revision=self.revision)

    def _newer(self, found: Iterable[PlatformObject]) -> Iterable[PlatformObject]:
        for item in found:
            known = self.objects.get(item.key)
            if known is not None and known.version >= item.version:
                continue
            self.objects[item.key] = item
            self.changed_at = max(self.changed_at, item.version)
            yield item
