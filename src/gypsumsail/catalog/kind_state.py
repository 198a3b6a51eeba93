"""Local copy of the objects of one kind, with its store revision.

Watches, listings and the updates of peers change a copy by one rule: changes apply in
the order of their positions in the store, whatever they are, and a change that is older
than what the copy has of its key is skipped. The batches in which changes arrive then
make no difference.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from gypsumsail.object_api.eras import era_of
from gypsumsail.object_api.port import Listing, PlatformObject


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """Changes of a copy by one update.

    Attributes
    ----------
    objects
        Written and removed objects in the order of their changes, of which one key may
        have several; a removed object has no value.
    is_restored
        Whether the update is the first one since the store was restored from an older
        copy: objects may be older than before, and removals may be lost writes.
    """

    objects: tuple[PlatformObject, ...] = ()
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
        removed = [
            PlatformObject(key=key, version=listing.revision, value=None)
            for key in self.objects
            if key not in names
        ]
        applied = [obj for obj in removed if self._remove(obj, listing.revision)]
        applied += [obj for obj in listing.objects if self._write(obj)]
        self.removals_since = self.removals_since or listing.revision
        return self._advance(listing.revision, applied)

    def apply(self, listing: Listing) -> Changes:
        """Apply changes in the order in which a watch returned them.

        The version of a removed object is that of its last write or of its removal.
        """
        return self._advance(
            listing.revision,
            [obj for obj in listing.objects if self._apply(obj, listing.revision)],
        )

    def _apply(self, obj: PlatformObject, revision: int) -> bool:
        if obj.value is None:
            return self._remove(obj, revision)
        if obj.version <= self.revision and obj.key not in self.objects:
            # The copy reflects a later removal.
            return False
        return self._write(obj)

    def _advance(self, revision: int, applied: list[PlatformObject]) -> Changes:
        is_restored = self._is_restored(revision)
        self.revision = max(self.revision, revision)
        return Changes(objects=tuple(applied), is_restored=is_restored)

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

    def _remove(self, obj: PlatformObject, latest: int) -> bool:
        """Remove an object; return whether the copy had it.

        Parameters
        ----------
        latest
            Latest revision that the removal can have.
        """
        known = self.objects.get(obj.key)
        if known is None or known.version > obj.version:
            return False
        del self.objects[obj.key]
        revision = max(latest, obj.version)
        self.last_changed_revision = max(self.last_changed_revision, revision)
        self.removals.append((revision, obj.key))
        while len(self.removals) > MAX_REMOVALS:
            self.removals_since = self.removals.popleft()[0]
        return True

    def _write(self, obj: PlatformObject) -> bool:
        """Add an object or a newer version of it; return whether it is newer."""
        known = self.objects.get(obj.key)
        if known is not None and known.version >= obj.version:
            return False
        self.objects[obj.key] = obj
        self.last_changed_revision = max(self.last_changed_revision, obj.version)
        return True
