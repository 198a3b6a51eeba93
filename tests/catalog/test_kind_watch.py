"""Tests of watching a kind during outages of the store."""

from __future__ import annotations

import asyncio

from gypsumsail.catalog.kind_state import Changes
from gypsumsail.catalog.store_health import StoreHealth, StoreOutage
from gypsumsail.object_api.port import Listing, WatchExpiredError
from tests.catalog.common import LOST, ScriptedApi, kind_watch, listing, stored


async def follow(
    *answers: Listing | Exception,
    is_watcher: bool = True,
) -> tuple[ScriptedApi, list[Changes], list[bool]]:
    """Watch a kind until the scripted answers are used up."""
    api = ScriptedApi(*answers)
    changes: list[Changes] = []
    availability_reports: list[bool] = []
    watch = kind_watch(api, is_watcher=is_watcher)
    watch.on_changes = lambda kind, found: changes.append(found)
    watch.on_availability = lambda is_up, reason: availability_reports.append(is_up)
    task = asyncio.create_task(watch.async_run())
    async with asyncio.timeout(5.0):
        if is_watcher:
            await api.is_exhausted.wait()
        else:
            await asyncio.sleep(0.3)
    task.cancel()
    return api, changes, availability_reports


async def test_watch_continues_from_the_last_revision() -> None:
    api, changes, _ = await follow(
        listing(5, stored("k/a", 3, 1)), listing(9, stored("k/b", 8, 1)), listing(12)
    )
    assert api.calls == ["list", "watch 5", "watch 9", "watch 12"]
    assert [len(found.objects) for found in changes] == [1, 1]


async def test_expired_watch_causes_a_new_listing() -> None:
    api, changes, availability_reports = await follow(
        listing(5, stored("k/a", 3, 1)),
        WatchExpiredError("forgotten"),
        listing(9, stored("k/b", 8, 1)),
    )
    assert api.calls[:3] == ["list", "watch 5", "list"]
    assert [(obj.key, obj.value is None) for obj in changes[1].objects] == [
        ("k/a", True),
        ("k/b", False),
    ]
    assert not availability_reports


async def test_store_loss_and_recovery_are_reported_once() -> None:
    _, _, availability_reports = await follow(listing(5), LOST, LOST, listing(6))
    assert availability_reports == [False, True]


async def test_vm_that_is_no_watcher_lists_once() -> None:
    api, _, _ = await follow(listing(5), is_watcher=False)
    assert api.calls == ["list"]


def test_store_health_tells_ongoing_recent_and_no_outage_apart() -> None:
    health = StoreHealth(answered_at=0.0)
    assert health.outage(100.0) is StoreOutage.NONE
    assert health.record_failure()
    assert not health.record_failure()
    assert health.outage(101.0) is StoreOutage.NOW
    assert health.record_answer(103.0)
    assert health.outage(104.0) is StoreOutage.LATELY
    assert health.outage(110.0) is StoreOutage.NONE


async def test_copy_is_confirmed_by_listings_and_watches() -> None:
    api = ScriptedApi(listing(5), listing(9, stored("k/b", 8, 1)), listing(12))
    reading: list[bool] = []
    watch = kind_watch(api)
    watch.on_reading = lambda kind, is_reading: reading.append(is_reading)
    assert watch.age(watch.clock.monotonic()) == float("inf")
    task = asyncio.create_task(watch.async_run())
    async with asyncio.timeout(5.0):
        await api.is_exhausted.wait()
    task.cancel()
    assert watch.age(watch.clock.monotonic()) < 1.0
    assert reading == [True]
