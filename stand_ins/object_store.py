"""Objects with versions, a global revision and long-polling watches."""

from __future__ import annotations

import asyncio
import base64
from collections import deque
from dataclasses import dataclass
from typing import Any, Final

MAX_CHANGES: Final = 5000


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """One object, or its deletion if ``value`` is ``None``.

    Attributes
    ----------
    version
        Number of writes since the object was created.
    revision
        Revision of the store after the change.
    """

    key: str
    version: int
    revision: int
    value: bytes | None

    def as_json(self) -> dict[str, Any]:
        """Return the object in the format of the object API."""
        value = self.value
        encoded = None if value is None else base64.b64encode(value).decode()
        return {"key": self.key, "version": self.version, "value_base64": encoded}


class VersionConflictError(Exception):
    """The object has another version than a conditional update requires."""

    def __init__(self, current: int) -> None:
        super().__init__(current)
        self.current = current


class CompactedRevisionError(Exception):
    """A revision is older than the history of changes or newer than the store."""


class ObjectStore:
    """Objects that share one revision counter.

    Attributes
    ----------
    changes
        The last changes, at most ``MAX_CHANGES``.
    compacted_revision
        Newest revision that is no longer in ``changes``.
    """

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.compacted_revision = 0
        self.changes: deque[StoredObject] = deque()
        self.changed = asyncio.Condition()

    def version(self, key: str) -> int:
        """Return the version of an object, or 0 if it doesn't exist."""
        found = self.objects.get(key)
        return 0 if found is None else found.version

    async def put(self, key: str, value: bytes, if_version: int) -> int:
        """Write an object if its version matches; return the new version.

        Raises
        ------
        VersionConflictError
            The object has another version.
        """
        current = self.version(key)
        if current != if_version:
            raise VersionConflictError(current)
        await self.apply_change(key, current + 1, value)
        return current + 1

    async def delete(self, key: str, if_version: int) -> None:
        """Delete an object if its version matches.

        Raises
        ------
        VersionConflictError
            The object has another version.
        """
        current = self.version(key)
        if current != if_version:
            raise VersionConflictError(current)
        await self.apply_change(key, current, None)

    async def apply_change(self, key: str, version: int, value: bytes | None) -> None:
        """Apply a change and notify the watches."""
        self.revision += 1
        change = StoredObject(
            key=key, version=version, revision=self.revision, value=value
        )
        if value is None:
            self.objects.pop(key)
        else:
            self.objects[key] = change
        self.changes.append(change)
        while len(self.changes) > MAX_CHANGES:
            self.compacted_revision = self.changes.popleft().revision
        async with self.changed:
            self.changed.notify_all()

    def compact(self) -> None:
        """Discard the history of changes."""
        self.changes.clear()
        self.compacted_revision = self.revision

    def list_objects(self, prefix: str) -> list[StoredObject]:
        """Return the objects under a prefix, sorted by key."""
        return [self.objects[k] for k in sorted(self.objects) if k.startswith(prefix)]

    def changes_after(self, prefix: str, revision: int) -> list[StoredObject]:
        """Return the last change of each object under a prefix since a revision.

        Raises
        ------
        CompactedRevisionError
            The revision is older than the history or newer than the store.
        """
        if revision < self.compacted_revision or revision > self.revision:
            raise CompactedRevisionError
        latest = {
            change.key: change
            for change in self.changes
            if change.revision > revision and change.key.startswith(prefix)
        }
        return sorted(latest.values(), key=lambda change: change.revision)

    async def watch(
        self, prefix: str, revision: int, wait: float
    ) -> list[StoredObject]:
        """Return changes after a revision; wait up to ``wait`` seconds for one."""
        found: list[StoredObject] = []

        def has_changes() -> bool:
            found[:] = self.changes_after(prefix, revision)
            return bool(found)

        try:
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(has_changes)
        except TimeoutError:
            return []
        return found
