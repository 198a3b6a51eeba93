"""Builders of context stores and their views."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence

from gypsumsail.context_stores.coordinator import ContextStoreCoordinator
from gypsumsail.context_stores.port import ContextStores
from gypsumsail.context_stores.store_view import (
    StoreAnswer,
    StoreChange,
    StoreView,
)
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.job import Assignment, Job
from gypsumsail.gateway.models import Address, ContextStore, Customer, PromptPart
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.targets import InFlightCall
from gypsumsail.gossip.peers import PeerTable
from tests.common import ManualClock
from tests.gateway.common import call, decision_log, engine, prompt, stream_route

NEAR = Address(host="10.9.0.1", port=1)
FAR = Address(host="10.9.0.2", port=1)
PART = PromptPart(name="own", tokens=5_000)


def context_store(address: Address = NEAR, zone: str = "z1") -> ContextStore:
    """Return a store with capacity for ten documents."""
    return ContextStore(
        name=str(address),
        address=address,
        zone=zone,
        capacity_tokens=50_000,
        bytes_per_second=1e9,
        first_byte_delay=0.001,
        max_waiting_reads=12,
        is_managed=True,
    )


def change(part: str = "own", tokens: int = 5_000, scope: str = "1") -> StoreChange:
    """Return a change."""
    return StoreChange(scope=scope, part=part, tokens=tokens)


def answer(
    *changes: StoreChange, life: int = 7, next_number: int = 1, has_gap: bool = False
) -> StoreAnswer:
    """Return the response of a store."""
    return StoreAnswer(
        life=life,
        next_number=next_number,
        has_gap=has_gap,
        changes=changes,
        clock_ms=50_000,
    )


def view(*changes: StoreChange, now: float = 1_000.0) -> StoreView:
    """Return a view with known contents."""
    found = StoreView(context_store())
    found.load(answer(*changes), now)
    return found


def confirm_all(found: StoreView) -> None:
    """Record that no VM can still save any part of a view."""
    for key in list(found.unconfirmed):
        found.confirm(key)


class ScriptedStores:
    """Stores that return the responses given by a test."""

    def __init__(self) -> None:
        self.contents = answer()
        self.changes: list[StoreAnswer | TransportError] = []
        self.asked = 0
        self.freed: list[tuple[int, tuple[tuple[str, str], ...], int]] = []
        self.forgotten = 0

    async def async_contents(self, store: ContextStore) -> StoreAnswer:
        """Return the contents."""
        self.asked += 1
        return self.contents

    async def async_changes(
        self, store: ContextStore, since: int, wait: float
    ) -> StoreAnswer:
        """Return the next changes."""
        if not self.changes:
            await asyncio.Event().wait()
        found = self.changes.pop(0)
        if isinstance(found, TransportError):
            raise found
        return found

    async def async_free(
        self,
        store: ContextStore,
        life: int,
        parts: Sequence[tuple[str, str]],
        until_ms: int,
    ) -> None:
        """Record the parts to free."""
        self.freed.append((life, tuple(parts), until_ms))

    def forget(self, store: ContextStore) -> None:
        """Count the times that connections were closed."""
        self.forgotten += 1


class NoPeers:
    """Peers without any view."""

    async def async_get(
        self, host: str, path: str, query: Mapping[str, str], timeout: float
    ) -> bytes | None:
        """Return nothing."""
        return None


def coordinator(
    targets: TargetTable, clock: Clock, stores: ContextStores | None = None
) -> ContextStoreCoordinator:
    """Return a coordinator that doesn't poll any store yet."""
    return ContextStoreCoordinator(
        stores or ScriptedStores(),
        targets,
        PeerTable("v1", "10.0.0.1", "z1"),
        NoPeers(),
        {},
        12.0,
        clock,
        decision_log(clock),
    )


def let_stores_run_for_long(context_stores: ContextStoreCoordinator) -> None:
    """Let no fetch remain that was planned for an earlier run of a store."""
    for found in context_stores.views.values():
        found.saves_from = 0.0


def job_at(
    targets: TargetTable, name: str, clock: ManualClock
) -> tuple[Job, Assignment]:
    """Return a job with a long prompt that is placed at an engine."""
    if name not in targets.states:
        targets.update(engine(name), clock.now)
    in_flight_call = InFlightCall(
        tokens=1,
        pending_prefill_tokens=1,
        tokens_ahead=0,
        placed_at=0,
        progress_at=0,
        expected_at=9e9,
    )
    state = targets.states[name]
    assignment = Assignment(state, state.begin(in_flight_call), 0.1, "1", 1)
    job = Job(
        number=1,
        call=call("/s/x", prompt=prompt()),
        route=stream_route(),
        customer=Customer(name="a"),
        service="engines",
        priority=1,
        due_at=clock.now + 1,
        deadline=clock.now + 5,
        fingerprint="f",
        assignment=assignment,
    )
    return job, assignment
