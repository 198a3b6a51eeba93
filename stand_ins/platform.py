"""Stand-in of the platform: object API, VM list and weight store."""

from __future__ import annotations

import asyncio
from typing import Any, Final

import click

from stand_ins.asgi import App, HttpError, Request, Response, json_response
from stand_ins.faults import Faults
from stand_ins.object_store import (
    CompactedRevisionError,
    ObjectStore,
    StoredObject,
    VersionConflictError,
)
from stand_ins.rates import Link, TokenBucket
from stand_ins.serving import serve

MAX_VALUE_BYTES: Final = 1024 * 1024
RETRY_AFTER_SECONDS: Final = 1


class Platform:
    """State of the platform and the handlers of its HTTP API.

    Attributes
    ----------
    vm_lists
        Each version of the VM list with the event loop time since which it is valid.
    stale_objects, stale_revision
        Snapshot that reads return while the fault ``stale_reads`` is active.
    waiting_watches
        Number of waiting watches.
    """

    def __init__(
        self,
        *,
        writes_per_second: float,
        reads_per_second: float,
        weight_bytes_per_second: float,
    ) -> None:
        self.faults = Faults()
        self.store = ObjectStore()
        self.write_bucket = TokenBucket(
            per_second=writes_per_second, tokens=writes_per_second
        )
        self.read_bucket = TokenBucket(
            per_second=reads_per_second, tokens=reads_per_second
        )
        self.weight_link = Link(bytes_per_second=weight_bytes_per_second)
        self.vm_lists: list[tuple[float, list[Any]]] = [(0.0, [])]
        self.stale_objects: dict[str, StoredObject] | None = None
        self.stale_revision = 0
        self.waiting_watches = 0
        self.counts = {"reads": 0, "writes": 0, "watches": 0, "vm_lists": 0}
        self.counts |= {"refused": 0, "weight_loads": 0, "waiting_peak": 0}

    def counters(self) -> dict[str, Any]:
        """Return the counters that ``GET /control`` lists."""
        return {
            **self.counts,
            "waiting": self.waiting_watches,
            "revision": self.store.revision,
        }

    def app(self) -> App:
        """Return the ASGI application with all routes."""
        app = App(self.faults, self.counters)
        app.add("POST", "/control", self.change_control)
        # The first matching route wins, and App has already added POST /control.
        app.routes.insert(0, app.routes.pop())
        app.add("PUT", "/control/vms", self.set_vms)
        app.add("GET", "/objects", self.list_objects)
        app.add("GET", "/objects/{key*}", self.get_object)
        app.add("PUT", "/objects/{key*}", self.put_object)
        app.add("DELETE", "/objects/{key*}", self.delete_object)
        app.add("GET", "/watch", self.watch)
        app.add("GET", "/vms", self.list_vms)
        app.add("POST", "/weights/{model}/{version}", self.load_weights)
        return app

    async def change_control(self, request: Request) -> Response:
        """Activate or deactivate a fault.

        ``stale_reads`` takes a snapshot of the objects, and ``forget_revisions``
        discards the history of changes once.
        """
        self.faults.change(request.json())
        if self.faults.on("stale_reads") and self.stale_objects is None:
            self.stale_objects = dict(self.store.objects)
            self.stale_revision = self.store.revision
        if not self.faults.on("stale_reads"):
            self.stale_objects = None
        if self.faults.active.pop("forget_revisions", None) is not None:
            self.store.compact()
        return json_response(
            {"faults": self.faults.active, "counters": self.counters()}
        )

    def admit_read(self, kind: str = "reads") -> None:
        """Count a read and apply the rate limit, which waiting watches reduce."""
        self.counts[kind] += 1
        self.enforce_rate(self.read_bucket, reserved_rate=self.waiting_watches)

    def enforce_rate(self, bucket: TokenBucket, *, reserved_rate: int = 0) -> None:
        """Apply a rate limit.

        Raises
        ------
        HttpError
            The limit is exceeded (status 429).
        """
        now = asyncio.get_running_loop().time()
        if bucket.take(now, reserved_rate=reserved_rate):
            return
        self.counts["refused"] += 1
        headers = {"retry-after": str(RETRY_AFTER_SECONDS)}
        raise HttpError(429, {"error": "rate"}, headers=headers)

    async def get_object(self, request: Request) -> Response:
        """Return the value and version of one object."""
        self.admit_read()
        objects = self.store.objects
        if self.stale_objects is not None:
            objects = self.stale_objects
        found = objects.get(request.path_values["key"])
        if found is None or found.value is None:
            raise HttpError(404, {"error": "key"})
        return Response(
            body=found.value,
            content_type="application/octet-stream",
            headers={"x-version": str(found.version)},
        )

    async def list_objects(self, request: Request) -> Response:
        """Return the objects under a prefix."""
        self.admit_read()
        prefix = request.query.get("prefix", "")
        objects = self.store.list_objects(prefix)
        revision = self.store.revision
        if self.stale_objects is not None:
            stale = self.stale_objects
            objects = [stale[k] for k in sorted(stale) if k.startswith(prefix)]
            revision = self.stale_revision
        return listing_response(objects, revision)

    async def put_object(self, request: Request) -> Response:
        """Write an object if its version is that of the ``If-Version`` header."""
        self.counts["writes"] += 1
        self.enforce_rate(self.write_bucket)
        if len(request.body) > MAX_VALUE_BYTES:
            raise HttpError(413, {"error": "size"})
        key, if_version = request.path_values["key"], required_version(request)
        try:
            version = await self.store.put(key, request.body, if_version)
        except VersionConflictError as error:
            raise HttpError(409, {"current": error.current}) from None
        return json_response({"version": version})

    async def delete_object(self, request: Request) -> Response:
        """Delete an object if its version is that of the ``If-Version`` header."""
        self.counts["writes"] += 1
        self.enforce_rate(self.write_bucket)
        key, if_version = request.path_values["key"], required_version(request)
        if not self.store.version(key):
            raise HttpError(404, {"error": "key"})
        try:
            await self.store.delete(key, if_version)
        except VersionConflictError as error:
            raise HttpError(409, {"current": error.current}) from None
        return json_response({})

    async def watch(self, request: Request) -> Response:
        """Return changes under a prefix; wait for the first one if there are none."""
        self.admit_read("watches")
        prefix = request.query.get("prefix", "")
        after = int(request.query.get("after", "0"))
        wait = float(request.query.get("wait", "0"))
        self.waiting_watches += 1
        self.counts["waiting_peak"] = max(
            self.counts["waiting_peak"], self.waiting_watches
        )
        try:
            if self.faults.on("silent_watch"):
                await asyncio.sleep(wait)
                return listing_response([], after)
            changes = await self.store.watch(prefix, after, wait)
        except CompactedRevisionError:
            raise HttpError(410, {"error": "revision"}) from None
        finally:
            self.waiting_watches -= 1
        revision = changes[-1].revision if changes else after
        return listing_response(changes, revision)

    async def list_vms(self, request: Request) -> Response:
        """Return the VM list as of ``list_lag`` seconds ago."""
        self.admit_read("vm_lists")
        lag = self.faults.value("list_lag", "seconds", 0.0)
        until = asyncio.get_running_loop().time() - lag
        known = [vms for since, vms in self.vm_lists if since <= until]
        return json_response({"vms": known[-1] if known else []})

    async def set_vms(self, request: Request) -> Response:
        """Replace the VM list."""
        now = asyncio.get_running_loop().time()
        self.vm_lists.append((now, request.json()["vms"]))
        return json_response({})

    async def load_weights(self, request: Request) -> Response:
        """Simulate a transfer of weights at the rate that all engines share."""
        self.counts["weight_loads"] += 1
        await self.weight_link.transfer(int(request.query.get("bytes", "0")))
        return json_response({})


def required_version(request: Request) -> int:
    """Return the version that a conditional update requires.

    Raises
    ------
    HttpError
        The ``If-Version`` header is missing or no number (status 400).
    """
    try:
        return int(request.headers["if-version"])
    except (KeyError, ValueError):
        raise HttpError(400, {"error": "If-Version"}) from None


def listing_response(objects: list[StoredObject], revision: int) -> Response:
    """Return a response that lists objects in the format of the object API."""
    values = [found.as_json() for found in objects]
    return json_response({"objects": values, "revision": revision})


@click.command()
@click.option("--port", default=0)
@click.option("--writes-per-second", default=400.0)
@click.option("--reads-per-second", default=2000.0)
@click.option("--weight-bytes-per-second", default=1e9)
def main(
    port: int,
    writes_per_second: float,
    reads_per_second: float,
    weight_bytes_per_second: float,
) -> None:
    """Run the stand-in of the platform."""
    platform = Platform(
        writes_per_second=writes_per_second,
        reads_per_second=reads_per_second,
        weight_bytes_per_second=weight_bytes_per_second,
    )
    serve(platform.app(), port)


if __name__ == "__main__":
    main()
