"""Tests of following a kind through the store's troubles."""

from __future__ import annotations

import asyncio

from gypsumsail.catalog.kind_state import Changes
from gypsumsail.catalog.kind_watch import KindWatch
from gypsumsail.catalog.store_link import StoreLink, StoreTrouble
from gypsumsail.core.clock import SystemClock
from gypsumsail.object_api.port import Listing, WatchExpiredError
from tests.catalog.common import LOST, DrivenApi, listing, stored


async def follow(
    *answers: Listing | Exception, has_duty: bool = True
) -> tuple[DrivenApi, list[Changes], list[bool]]:
    """Follow a kind until the answers are used up."""
    api = DrivenApi(*answers)
    clock = SystemClock()
    changes: list[Changes] = []
    links: list[bool] = []
    watch = KindWatch(
        api,
        "k",
        StoreLink(clock.monotonic()),
        clock,
        lambda kind, found: changes.append(found),
        lambda is_up, reason: links.append(is_up),
        lambda kind: has_duty,
    )
    task = asyncio.create_task(watch.async_run())
    async with asyncio.timeout(5.0):
        if has_duty:
            await api.is_used_up.wait()
        else:
            await asyncio.sleep(0.3)
    task.cancel()
    return api, changes, links


async def test_a_watch_goes_on_from_its_revision() -> None:
    api, changes, _ = await follow(
        listing(5, stored("k/a", 3, 1)), listing(9, stored("k/b", 8, 1)), listing(12)
    )
    assert api.calls == ["list", "watch 5", "watch 9", "watch 12"]
    assert [len(found.written) for found in changes] == [1, 1]


async def test_forgotten_history_is_listed_anew() -> None:
    api, changes, links = await follow(
        listing(5, stored("k/a", 3, 1)),
        WatchExpiredError("forgotten"),
        listing(9, stored("k/b", 8, 1)),
    )
    assert api.calls[:3] == ["list", "watch 5", "list"]
    assert changes[1].removed == ("k/a",)
    assert not links


async def test_a_lost_store_is_told_once_and_its_return() -> None:
    _, _, links = await follow(listing(5), LOST, LOST, listing(6))
    assert links == [False, True]


async def test_a_vm_without_the_duty_lists_once() -> None:
    api, _, _ = await follow(listing(5), has_duty=False)
    assert api.calls == ["list"]


def test_a_link_tells_trouble_from_calm() -> None:
    link = StoreLink(answered_at=0.0)
    assert link.trouble(100.0) is StoreTrouble.NONE
    assert link.failed()
    assert not link.failed()
    assert link.trouble(101.0) is StoreTrouble.NOW
    assert link.answered(103.0)
    assert link.trouble(104.0) is StoreTrouble.LATELY
    assert link.trouble(110.0) is StoreTrouble.NONE
