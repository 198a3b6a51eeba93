"""Local copy of the objects of one kind, with its store revision."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from gypsumsail.object_api.eras import era_of
from gypsumsail.object_api.port import Listing, PlatformObject


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """Objects that an update wrote, and keys that it removed.

    Attributes
    ----------
    is_restored
        Whether the update is the first one since the store was restored from an older
        copy: objects may be older than before, and removals may be lost writes.
    """

    written: tuple[PlatformObject, ...] = ()
    removed: tuple[str, ...] = ()
    is_restored: bool = False


MAX_REMOVALS = 2_000
"""Maximum number of removals that are remembered for peers with an older copy."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Update:
    """Changes of a copy since a revision.

    Attributes
    ----------
    is_complete
        Whether the listing holds all objects, because the revision is too old.
    """

    listing: Listing
    is_complete: bool


@dataclass(slots=True)
class KindState:
    """Objects by key; an older version never replaces a newer one.

    Versions of objects are compared with store revisions, so the store must count both
    on one scale: the version of an object is the revision of its last write. Both are
    positions (see ``object_api.eras``), so all objects of a restored store are newer.

    Attributes
    ----------
    revision
        Store revision that the copy reflects; 0 before the first listing.
    last_changed_revision
        Revision of the last change in the copy; peers compare this value.
    removals
        Removed keys, each with the revision of its removal. A peer receives this
        revision as the version of the removed object.
    removals_since
        Revision after which every removal is remembered; 0 before the first listing.
    """

    revision: int = 0
    last_changed_revision: int = 0
    objects: dict[str, PlatformObject] = field(default_factory=dict)
    removals: deque[tuple[int, str]] = field(default_factory=deque)
    removals_since: int = 0

    def replace(self, listing: Listing) -> Changes:
        """Apply a complete listing unless the copy is newer."""
        if listing.revision < self.revision or not listing.revision:
            return Changes()
        names = {obj.key for obj in listing.objects}
        removed = tuple(key for key in self.objects if key not in names)
        written = tuple(self._newer(listing.objects))
        for key in removed:
            self._remove(key, listing.revision)
        self.removals_since = self.removals_since or listing.revision
        is_restored = self._is_restored(listing.revision)
        self.revision = listing.revision
        return Changes(written=written, removed=removed, is_restored=is_restored)

    def apply(self, listing: Listing) -> Changes:
        """Apply the changes that a watch returned."""
        written: list[PlatformObject] = []
        removed: list[str] = []
        for obj in listing.objects:
            if obj.value is not None:
                written += self._newer((obj,))
                continue
            known = self.objects.get(obj.key)
            if known is None or known.version > max(obj.version, listing.revision):
                continue
            self._remove(obj.key, listing.revision)
            removed.append(obj.key)
        is_restored = self._is_restored(listing.revision)
        self.revision = max(self.revision, listing.revision)
        return Changes(
            written=tuple(written), removed=tuple(removed), is_restored=is_restored
        )

    def _is_restored(self, revision: int) -> bool:
        """Return whether a newer revision is from a later era than this copy."""
        return bool(self.revision) and era_of(revision) > era_of(self.revision)

    def update_since(self, revision: int) -> Update:
        """Return the changes that a peer with a copy of that revision lacks."""
        if not self.removals_since or revision < self.removals_since:
            whole = tuple(self.objects.values())
            listing = Listing(objects=whole, revision=self.revision)
            return Update(listing=listing, is_complete=True)
        newer = [item for item in self.objects.values() if item.version > revision]
        removed = [
            PlatformObject(key=key, version=at, value=None)
            for at, key in self.removals
            if at > revision and key not in self.objects
        ]
        listing = Listing(objects=(*newer, *removed), revision=self.revision)
        return Update(listing=listing, is_complete=False)

    def _remove(self, key: str, revision: int) -> None:
        del self.objects[key]
        self.last_changed_revision = max(self.last_changed_revision, revision)
        self.removals.append((revision, key))
        while len(self.removals) > MAX_REMOVALS:
            self.removals_since = self.removals.popleft()[0]

    def _newer(self, objects: Iterable[PlatformObject]) -> Iterable[PlatformObject]:
        for item in objects:
            known = self.objects.get(item.key)
            if known is not None and known.version >= item.version:
                continue
            self.objects[item.key] = item
            self.last_changed_revision = max(self.last_changed_revision, item.version)
            yield item
