"""Builders of stored objects, and a scripted object API."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import json
from typing import Any

from gypsumsail.catalog.coordinator import CatalogCoordinator, Kinds
from gypsumsail.catalog.freshness import ChangeBounds
from gypsumsail.catalog.kind_watch import KindWatch
from gypsumsail.catalog.store_health import StoreHealth
from gypsumsail.core.clock import SystemClock
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.models import RoutingDocument, TargetEntry
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.telemetry import GatewayTelemetry
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.metrics.registry import MetricsRegistry
from gypsumsail.object_api.port import Listing, ObjectApi, PlatformObject
from gypsumsail.platform.app import PlatformDecoder
from tests.common import ManualClock
from tests.gateway.common import decision_log

KINDS = Kinds(
    documents="config",
    document_key="config/main",
    targets="servers",
    weights="versions",
)


def stored(key: str, version: int, spec: Any = None) -> PlatformObject:
    """Return a stored object, or a removed one when ``spec`` is ``None``."""
    value = None if spec is None else json.dumps(spec).encode()
    return PlatformObject(key=key, version=version, value=value)


def listing(revision: int, *objects: PlatformObject) -> Listing:
    """Return a listing."""
    return Listing(objects=objects, revision=revision)


def target_spec(**changes: Any) -> dict[str, Any]:
    """Return the record that a target writes."""
    spec: dict[str, Any] = {
        "service": "engines",
        "addr": "10.0.0.1:80",
        "zone": "z1",
        "slots": 64,
        "state": "ready",
        "born": 1,
        "call_seq": 0,
        "models": [{"name": "m0", "version": 1}],
    }
    return spec | changes


def document_spec(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a routing document in the format of the operator."""
    route = {
        "name": "r",
        "host": "h.example",
        "path_prefix": "/a/",
        "kind": "safe",
        "timeout_ms": 2000,
        "goal_ms": 400,
        "priority": 2,
        "service": "portal",
        "attempts": 2,
        "public": False,
    }
    spec: dict[str, Any] = {
        "version": version,
        "routes": [route],
        "services": [{"name": "portal", "health_path": "/healthz", "max_conns": 100}],
        "limits": {},
        "tenants": [{"name": "a", "api_keys": ["k"], "priority": 1}],
    }
    return spec | changes


class ScriptedApi:
    """Object API that returns scripted answers.

    Attributes
    ----------
    answers
        Listings or errors to return in order; further calls never return.
    """

    def __init__(self, *answers: Listing | Exception) -> None:
        self.answers = list(answers)
        self.calls: list[str] = []
        self.is_exhausted = asyncio.Event()

    async def _next(self, name: str) -> Listing:
        self.calls.append(name)
        if not self.answers:
            self.is_exhausted.set()
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def async_get(self, key: str) -> PlatformObject | None:
        """Not used."""
        raise NotImplementedError

    async def async_list(self, prefix: str) -> Listing:
        """Return the next answer."""
        return await self._next("list")

    async def async_put(self, key: str, value: bytes, *, if_version: int) -> int:
        """Not used."""
        raise NotImplementedError

    async def async_delete(self, key: str, *, if_version: int) -> None:
        """Not used."""
        raise NotImplementedError

    async def async_watch(
        self, prefix: str, *, after_revision: int, wait: float
    ) -> Listing:
        """Return the next answer."""
        return await self._next(f"watch {after_revision}")


BOUNDS = ChangeBounds(document=2.0, leaving=2.0, weights=12.0, evacuation=5.0)
LOST = TransportError("no answer", sent=True)


def kind_watch(
    api: ScriptedApi, *, is_watcher: bool = True, bound: float = float("inf")
) -> KindWatch:
    """Return a watch of the kind ``k`` whose callbacks do nothing."""
    clock = SystemClock()
    return KindWatch(
        api,
        "k",
        StoreHealth(clock.monotonic()),
        clock,
        lambda kind, found: None,
        lambda is_up, reason: None,
        lambda kind: is_watcher,
        bound,
    )


class Catalog:
    """Catalog that records its callbacks."""

    def __init__(
        self,
        is_watcher: Callable[[str], bool] = lambda kind: True,
        *,
        api: ObjectApi | None = None,
        kinds: Kinds = KINDS,
    ) -> None:
        self.clock = ManualClock()
        self.targets = TargetTable()
        self.wanted_weights: dict[str, WantedWeights] = {}
        self.documents: list[RoutingDocument] = []
        self.removed_targets: list[TargetEntry] = []
        telemetry = GatewayTelemetry(decision_log(self.clock), MetricsRegistry())
        self.coordinator = CatalogCoordinator(
            api or ScriptedApi(),
            kinds,
            PlatformDecoder(),
            self.targets,
            self.wanted_weights,
            self.clock,
            telemetry,
            self.documents.append,
            self.removed_targets.append,
            is_watcher,
            BOUNDS,
        )

    def replace(self, kind: str, found: Listing) -> None:
        """Apply a complete listing of the store."""
        watch = self.coordinator.watches[kind]
        watch.on_changes(kind, watch.state.replace(found))

    def apply(self, kind: str, found: Listing) -> None:
        """Apply changes from the store."""
        watch = self.coordinator.watches[kind]
        watch.on_changes(kind, watch.state.apply(found))
