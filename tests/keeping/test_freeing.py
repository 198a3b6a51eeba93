"""Tests of freeing parts of old weights in managed stores."""

from __future__ import annotations

from gypsumsail.gateway.targets import TargetTable
from gypsumsail.gateway.weights import WantedWeights, cache_scope, version_of
from gypsumsail.keeping.const import NAMED_MARGIN_SECONDS, UNUSED_SECONDS
from gypsumsail.keeping.coordinator import KeepingCoordinator
from gypsumsail.keeping.freeing import VersionUse, oldest_wanted, parts_to_free
from tests.common import ManualClock
from tests.gateway.common import MODEL, document, engine
from tests.keeping.common import (
    DrivenStores,
    answer,
    change,
    context_store,
    coordinator,
    job_at,
)

ROLLOUT = 12.0


def want(version: int = 2, named_at: float = 1_000.0) -> WantedWeights:
    return WantedWeights(model=MODEL, version=version, first_seen_at=named_at)


def test_a_scope_tells_its_version() -> None:
    assert version_of(cache_scope("", 3)) == 3
    assert version_of(cache_scope("7/a", 3)) == 3
    assert version_of("9c41d07be2a35f68x") is None


def test_a_version_is_over_some_time_after_its_last_engine() -> None:
    targets = TargetTable()
    targets.update(engine("e1", 1), 0.0)
    use = VersionUse()
    use.look(targets.states.values(), 100.0)
    assert not use.is_over(1, 100.0 + UNUSED_SECONDS - 0.1)
    assert use.is_over(1, 100.0 + UNUSED_SECONDS)


def test_a_version_that_was_never_seen_is_watched_first() -> None:
    use = VersionUse()
    assert not use.is_over(1, 100.0)
    assert use.is_over(1, 100.0 + UNUSED_SECONDS)


def test_calls_may_begin_on_older_weights_while_a_rollout_lasts() -> None:
    settled = 1_000.0 + ROLLOUT + NAMED_MARGIN_SECONDS
    assert oldest_wanted({}, ROLLOUT, settled) == 0
    assert oldest_wanted({MODEL: want()}, ROLLOUT, settled - 0.1) == 0
    assert oldest_wanted({MODEL: want()}, ROLLOUT, settled) == 2
    both = {MODEL: want(), "other": want(1)}
    assert oldest_wanted(both, ROLLOUT, settled) == 1


def test_only_parts_of_versions_that_are_over_are_freed() -> None:
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


async def followed_store(
    targets: TargetTable, clock: ManualClock
) -> tuple[DrivenStores, KeepingCoordinator]:
    stores = DrivenStores()
    stores.contents = answer(change("a"), change("b", scope="2"))
    keeping = coordinator(targets, clock, stores)
    keeping.set_document(document(stores=(context_store(),)))
    view = next(iter(keeping.views.values()))
    view.begin(stores.contents, clock.now)
    return stores, keeping


async def test_a_store_is_freed_of_weights_that_no_engine_has() -> None:
    """Stores filled for good; after a new version nothing more could be kept."""
    clock, targets = ManualClock(), TargetTable()
    targets.update(engine("e1", 2), clock.now)
    stores, keeping = await followed_store(targets, clock)
    keeping.wanted = {MODEL: want(named_at=clock.now - 60.0)}
    await keeping.async_free_unused(clock.now)
    assert not stores.freed
    clock.now += UNUSED_SECONDS
    view = next(iter(keeping.views.values()))
    view.begin(stores.contents, clock.now)
    await keeping.async_free_unused(clock.now)
    ((life, parts, until_ms),) = stores.freed
    assert (life, parts) == (7, (("1", "a"),))
    assert until_ms > 50_000
    keeping.stop()


async def test_parts_of_old_weights_are_not_saved() -> None:
    clock, targets = ManualClock(), TargetTable()
    _, keeping = await followed_store(targets, clock)
    job, place = job_at(targets, "e1", clock)
    assert any(keeping.plan(job, place, clock.now).save)
    keeping.views[context_store().address].saving.clear()
    keeping.wanted = {MODEL: want()}
    assert not any(keeping.plan(job, place, clock.now).save)
    keeping.stop()


async def test_nothing_is_freed_while_an_engine_has_the_old_weights() -> None:
    clock, targets = ManualClock(), TargetTable()
    targets.update(engine("e1", 2), clock.now)
    targets.update(engine("e2", 1), clock.now)
    stores, keeping = await followed_store(targets, clock)
    keeping.wanted = {MODEL: want(named_at=clock.now - 60.0)}
    for _ in range(10):
        clock.now += 2.0
        next(iter(keeping.views.values())).begin(stores.contents, clock.now)
        await keeping.async_free_unused(clock.now)
    assert not stores.freed
    keeping.stop()
