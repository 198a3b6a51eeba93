"""Tests of freeing parts of old weights in managed stores."""

from __future__ import annotations

from gypsumsail.context_stores.const import (
    ROLLOUT_MARGIN_SECONDS,
    UNUSED_VERSION_SECONDS,
)
from gypsumsail.context_stores.coordinator import ContextStoreCoordinator
from gypsumsail.context_stores.freeing import (
    VersionUse,
    oldest_needed_version,
    parts_to_free,
)
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.sharing.scopes import shared_scope, unshared_scope, version_of
from tests.common import ManualClock
from tests.context_stores.common import (
    ScriptedStores,
    answer,
    change,
    context_store,
    coordinator,
    job_at,
    let_stores_run_for_long,
)
from tests.gateway.common import MODEL, document, engine

ROLLOUT = 12.0


def want(version: int = 2, first_seen_at: float = 1_000.0) -> WantedWeights:
    return WantedWeights(model=MODEL, version=version, first_seen_at=first_seen_at)


def test_version_is_parsed_from_a_cache_scope() -> None:
    isolated = frozenset({"7/a"})
    scopes = (
        shared_scope("", 3, frozenset()),
        shared_scope("7/a", 3, isolated),
        shared_scope("", 3, isolated),
    )
    assert [version_of(scope or "") for scope in scopes] == [3, 3, 3]
    assert version_of(unshared_scope()) is None
    assert version_of("9c41d07be2a35f68x") is None


def test_version_is_unused_after_the_retention_time() -> None:
    targets = TargetTable()
    targets.update(engine("e1", 1), 0.0)
    use = VersionUse()
    use.observe(targets.states.values(), 100.0)
    assert not use.is_unused(1, 100.0 + UNUSED_VERSION_SECONDS - 0.1)
    assert use.is_unused(1, 100.0 + UNUSED_VERSION_SECONDS)


def test_unobserved_version_is_retained_at_first() -> None:
    use = VersionUse()
    assert not use.is_unused(1, 100.0)
    assert use.is_unused(1, 100.0 + UNUSED_VERSION_SECONDS)


def test_older_weights_are_needed_until_the_rollout_has_ended() -> None:
    settled = 1_000.0 + ROLLOUT + ROLLOUT_MARGIN_SECONDS
    assert oldest_needed_version({}, ROLLOUT, settled) == 0
    assert oldest_needed_version({MODEL: want()}, ROLLOUT, settled - 0.1) == 0
    assert oldest_needed_version({MODEL: want()}, ROLLOUT, settled) == 2
    both = {MODEL: want(), "other": want(1)}
    assert oldest_needed_version(both, ROLLOUT, settled) == 1


def test_only_parts_of_unused_versions_are_freed() -> None:
    held = [("1", "a"), ("2", "a"), ("1/c", "b"), ("odd", "d"), ("1", "e")]
    use = VersionUse({1: 0.0})
    assert parts_to_free(held, 2, use, 50.0, 10) == [
        ("1", "a"),
        ("1/c", "b"),
        ("1", "e"),
    ]
    assert parts_to_free(held, 2, use, 50.0, 1) == [("1", "a")]
    assert parts_to_free(held, 1, use, 50.0, 10) == []
    assert parts_to_free(held, 2, VersionUse({1: 45.0}), 50.0, 10) == []


async def polled_store(
    targets: TargetTable, clock: ManualClock
) -> tuple[ScriptedStores, ContextStoreCoordinator]:
    stores = ScriptedStores()
    stores.contents = answer(change("a"), change("b", scope="2"))
    context_stores = coordinator(targets, clock, stores)
    context_stores.set_document(document(stores=(context_store(),)))
    view = next(iter(context_stores.views.values()))
    view.load(stores.contents, clock.now)
    return stores, context_stores


async def test_parts_of_weights_that_no_engine_has_are_freed() -> None:
    """Parts of old weights must not fill a managed store permanently.

    Without freeing, no part could be saved any more after a new version.
    """
    clock, targets = ManualClock(), TargetTable()
    targets.update(engine("e1", 2), clock.now)
    stores, context_stores = await polled_store(targets, clock)
    context_stores.wanted = {MODEL: want(first_seen_at=clock.now - 60.0)}
    await context_stores.async_free_unused(clock.now)
    assert not stores.freed
    clock.now += UNUSED_VERSION_SECONDS
    view = next(iter(context_stores.views.values()))
    view.load(stores.contents, clock.now)
    await context_stores.async_free_unused(clock.now)
    ((life, parts, until_ms),) = stores.freed
    assert (life, parts) == (7, (("1", "a"),))
    assert until_ms > 50_000
    context_stores.stop()


async def test_parts_of_old_weights_are_not_saved() -> None:
    clock, targets = ManualClock(), TargetTable()
    _, context_stores = await polled_store(targets, clock)
    let_stores_run_for_long(context_stores)
    job, assignment = job_at(targets, "e1", clock)
    assert any(context_stores.plan(job, assignment, clock.now).save)
    context_stores.views[context_store().address].saving.clear()
    context_stores.wanted = {MODEL: want()}
    assert not any(context_stores.plan(job, assignment, clock.now).save)
    context_stores.stop()


async def test_nothing_is_freed_while_an_engine_has_the_old_weights() -> None:
    clock, targets = ManualClock(), TargetTable()
    targets.update(engine("e1", 2), clock.now)
    targets.update(engine("e2", 1), clock.now)
    stores, context_stores = await polled_store(targets, clock)
    context_stores.wanted = {MODEL: want(first_seen_at=clock.now - 60.0)}
    for _ in range(10):
        clock.now += 2.0
        next(iter(context_stores.views.values())).load(stores.contents, clock.now)
        await context_stores.async_free_unused(clock.now)
    assert not stores.freed
    context_stores.stop()
