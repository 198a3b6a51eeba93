"""Stand-in of the platform's object store with the ``/v1/`` API.

Only the soak uses it, in its own process; faults are set as attributes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import json
import time
from typing import Any
from urllib.parse import unquote

from stand_ins.raw_http import RawRequest, RawServer, encode_response, reset_connection


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCopy:
    """Copy of all objects of the store at a revision."""

    objects: dict[str, dict[str, dict[str, Any]]]
    revision: int


class V1ObjectStore:
    """Versioned objects by kind and name, with watches.

    Attributes
    ----------
    history
        Revision, kind, object and deletion flag of each change.
    compacted_revision
        Newest revision whose changes are no longer in the history.
    fault
        Empty, ``busy`` (status 503), ``reset`` (the connection is reset), ``silent``
        (no response for 30 s) or ``lost`` (a write is applied, but its response is
        not sent).
    era
        Number of restores from an older copy, plus one; in all answers.
    """

    def __init__(self) -> None:
        self.era = 1
        self.server = RawServer(self.handle)
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.compacted_revision = 0
        self.revision = 10
        self.changed = asyncio.Condition()
        self.fault = ""

    async def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object if its content differs, and return it."""
        found = self.objects.setdefault(kind, {}).get(name)
        if found is not None and found["spec"] == spec:
            return found
        self.revision += 1
        stored = {"metadata": {"name": name, "rev": self.revision}, "spec": spec}
        self.objects[kind][name] = stored
        await self._record_change(kind, stored, deleted=False)
        return stored

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        found = self.objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            await self._record_change(kind, found, deleted=True)

    def compact(self) -> None:
        """Discard the history, so that older watches get status 410 and list again."""
        self.history.clear()
        self.compacted_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(
            objects={kind: dict(found) for kind, found in self.objects.items()},
            revision=self.revision,
        )

    async def restore(self, copy: StoreCopy) -> None:
        """Lose all changes since a copy and give out their revisions again."""
        self.era += 1
        self.objects = {kind: dict(found) for kind, found in copy.objects.items()}
        self.revision = copy.revision
        self.history.clear()
        self.compacted_revision = 0
        async with self.changed:
            self.changed.notify_all()

    async def _record_change(
        self, kind: str, found: dict[str, Any], *, deleted: bool
    ) -> None:
        self.history.append((self.revision, kind, found, deleted))
        async with self.changed:
            self.changed.notify_all()

    async def handle(
        self,
        request: RawRequest,
        writer: asyncio.StreamWriter,
        translate: Callable[[bytes], bytes] = lambda body: body,
    ) -> bool:
        """Respond to one call; return whether the connection stays open.

        Parameters
        ----------
        translate
            Changes the body of each answer.
        """
        match self.fault:
            case "busy":
                writer.write(encode_response(503, b"", self._headers()))
                return True
            case "reset":
                reset_connection(writer)
                return False
            case "silent":
                await asyncio.sleep(30)
                return False
        kind, _, name = unquote(request.path.removeprefix("/v1/objects/")).partition(
            "/"
        )
        if request.method == "GET":
            status, body = await self._read(kind, name, request.query)
        else:
            status, body = await self._write(kind, name, request)
            if self.fault == "lost":
                reset_connection(writer)
                return False
        data = translate(json.dumps(body).encode())
        writer.write(encode_response(status, data, self._headers()))
        return True

    def _headers(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}

    async def _read(
        self, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        found = self.objects.get(kind, {})
        if name:
            return (200, found[name]) if name in found else (404, {})
        if "watch" in query:
            return await self._watch(
                kind, int(query["watch"]), int(query["wait_ms"]) / 1000
            )
        items = [item for key, item in sorted(found.items())]
        return 200, {
            "items": items,
            "has_more": False,
            "store_revision": self.revision,
        }

    async def _watch(
        self, kind: str, after_revision: int, wait: float
    ) -> tuple[int, Any]:
        if not self.compacted_revision <= after_revision <= self.revision:
            return 410, {}
        era = self.era
        end = time.monotonic() + wait
        while True:
            if self.era != era:
                return 410, {}
            events = [
                {"object": found, "deleted": deleted}
                for revision, changed_kind, found, deleted in self.history
                if changed_kind == kind and revision > after_revision
            ]
            remaining = end - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with asyncio.timeout(remaining), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def _write(
        self, kind: str, name: str, request: RawRequest
    ) -> tuple[int, Any]:
        body = json.loads(request.body or b"{}")
        metadata = body.get("metadata", {})
        name = name or metadata.get("name", "")
        found = self.objects.get(kind, {}).get(name)
        if request.method == "POST" and found is not None:
            return 409, found
        if request.method == "PUT":
            if found is None:
                return 404, {}
            if (
                metadata.get("rev", found["metadata"]["rev"])
                != found["metadata"]["rev"]
            ):
                return 409, found
        return 200, await self.put(kind, name, body.get("spec"))
