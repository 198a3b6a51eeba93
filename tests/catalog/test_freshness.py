"""Tests of the age of copies, and of who reads the store because of it."""

from __future__ import annotations

import asyncio

import pytest

from gypsumsail.catalog.const import MAX_AGE_SHARE, USUAL_TICK_SECONDS
from gypsumsail.catalog.freshness import CopyConfirmation, is_too_old, watch_seconds
from gypsumsail.core.clock import SystemClock
from gypsumsail.object_api.port import Listing
from gypsumsail.platform.objects import WATCH_TIMEOUT_MARGIN_SECONDS
from tests.catalog.common import (
    KINDS,
    LOST,
    Catalog,
    ScriptedApi,
    document_spec,
    kind_watch,
    listing,
    stored,
)

BOUNDS = [0.5, 2.0, 3.0, 4.0, 7.0]
# Time to notice that a copy is too old, and for a call that the store answers slowly.
READING_SECONDS = 0.2
LATE_SECONDS = 0.2


@pytest.mark.parametrize("bound", BOUNDS)
def test_a_copy_is_read_again_while_the_bound_leaves_time_for_it(bound: float) -> None:
    assert not is_too_old(bound * 0.5, bound)
    assert is_too_old(bound - READING_SECONDS, bound)


@pytest.mark.parametrize("bound", BOUNDS)
def test_two_lost_confirmations_make_no_copy_too_old(bound: float) -> None:
    assert not is_too_old(2 * watch_seconds(bound, is_relied_on=True), bound)


def test_watch_on_which_nobody_relies_waits_longer() -> None:
    assert watch_seconds(2.0, is_relied_on=False) > watch_seconds(
        2.0, is_relied_on=True
    )


def confirmation(changed_revision: int, age: float = 0.0) -> CopyConfirmation:
    """Return what another VM has read of the documents."""
    return CopyConfirmation(
        kind=KINDS.documents, changed_revision=changed_revision, age=age
    )


def reader() -> Catalog:
    """Return a catalog that has listed the document and watches nothing."""
    catalog = Catalog(is_watcher=lambda kind: False)
    document = stored("config/main", 5, document_spec())
    catalog.replace(KINDS.documents, listing(9, document))
    catalog.coordinator.watches[KINDS.documents].confirmed_at = catalog.clock.now
    return catalog


def test_reader_reads_the_store_itself_once_nobody_confirms_its_copy() -> None:
    catalog = reader()
    assert not catalog.coordinator.reads_store(KINDS.documents)
    catalog.clock.now += 1.9
    assert catalog.coordinator.reads_store(KINDS.documents)


def test_reader_relies_on_others_that_confirm_its_copy() -> None:
    catalog = reader()
    catalog.clock.now += 1.9
    assert catalog.coordinator.confirm(confirmation(5, age=0.3), catalog.clock.now)
    assert not catalog.coordinator.reads_store(KINDS.documents)
    assert catalog.coordinator.copy_age(KINDS.documents, catalog.clock.now) == (
        pytest.approx(0.3)
    )


def test_reader_that_knows_of_a_change_it_lacks_reads_the_store_itself() -> None:
    """A peer can announce a change and then not be there to tell it."""
    catalog = reader()
    catalog.clock.now += 1.9
    assert not catalog.coordinator.confirm(confirmation(10), catalog.clock.now)
    assert catalog.coordinator.reads_store(KINDS.documents)


def test_confirmation_that_waited_for_a_late_loop_counts_from_the_tick_before() -> None:
    catalog = reader()
    catalog.coordinator.tick(catalog.clock.now)
    catalog.clock.now += 0.8
    assert catalog.coordinator.confirm(confirmation(5), catalog.clock.now)
    age = catalog.coordinator.copy_age(KINDS.documents, catalog.clock.now)
    assert age == pytest.approx(0.8 - USUAL_TICK_SECONDS)


def test_late_confirmation_does_not_make_a_copy_newer() -> None:
    catalog = reader()
    catalog.clock.now += 1.9
    catalog.coordinator.confirm(confirmation(5, age=1.9), catalog.clock.now)
    assert catalog.coordinator.reads_store(KINDS.documents)


def test_after_a_suspension_confirmations_from_before_it_do_not_count() -> None:
    catalog = reader()
    catalog.coordinator.tick(catalog.clock.now)
    catalog.clock.now += 1.5
    catalog.coordinator.confirm(confirmation(5), catalog.clock.now)
    catalog.coordinator.tick(catalog.clock.now)
    assert catalog.coordinator.reads_store(KINDS.documents)


def test_document_is_not_confirmed_from_a_suspension_to_the_next_reading() -> None:
    """WALL: a VM that woke up shared what only an earlier document allowed."""
    catalog = reader()
    is_confirmed = catalog.coordinator.is_document_confirmed
    catalog.coordinator.tick(catalog.clock.now)
    assert is_confirmed(catalog.clock.now)
    catalog.clock.now += 3.0
    # The calls that have waited may be placed before the main loop runs.
    assert not is_confirmed(catalog.clock.now)
    catalog.coordinator.tick(catalog.clock.now)
    assert not is_confirmed(catalog.clock.now)
    catalog.coordinator.confirm(confirmation(10), catalog.clock.now)
    assert not is_confirmed(catalog.clock.now)
    catalog.coordinator.confirm(confirmation(9), catalog.clock.now)
    assert is_confirmed(catalog.clock.now)


def test_delay_of_a_change_that_another_vm_tells_counts_from_its_first_news() -> None:
    catalog = reader()
    watch = catalog.coordinator.watches[KINDS.documents]
    now = catalog.clock.now
    catalog.coordinator.note_behind(KINDS.documents, now + 1.0)
    catalog.coordinator.note_behind(KINDS.documents, now + 1.4)
    delay = watch.take_delay(was_read=False, now=now + 1.6)
    assert delay.at_most == pytest.approx(1.6)
    assert delay.at_least == pytest.approx(0.6)
    assert watch.take_delay(was_read=False, now=now + 1.7).at_least == 0


async def test_delay_of_a_change_that_is_read_counts_from_the_reading_before() -> None:
    delays: list[float] = []
    api = ScriptedApi(listing(9), listing(10, stored("k/a", 10, {})))
    watch = kind_watch(api)
    watch.on_changes = lambda kind, changes: delays.append(
        watch.take_delay(was_read=True, now=watch.clock.monotonic()).at_most
    )
    watch.must_list = False
    watch.state.revision = 9
    listed_at = watch.confirmed_at = watch.clock.monotonic() - 1.0
    task = asyncio.create_task(watch.async_run())
    await asyncio.wait_for(api.is_exhausted.wait(), 1.0)
    task.cancel()
    assert listed_at < watch.confirmed_at
    assert 0 <= delays[0] < LATE_SECONDS


class HangingApi(ScriptedApi):
    """Object API whose first call hangs, as on a connection that went silent."""

    async def async_watch(
        self, prefix: str, *, after_revision: int, wait: float
    ) -> Listing:
        if not self.calls:
            self.calls.append("hang")
            await asyncio.sleep(wait + WATCH_TIMEOUT_MARGIN_SECONDS)
            raise LOST
        return await super().async_watch(
            prefix, after_revision=after_revision, wait=wait
        )


async def test_reader_whose_call_hangs_has_the_change_in_time() -> None:
    api = HangingApi(listing(10, stored("k/a", 10, {})))
    bound = BOUNDS[1]
    watch = kind_watch(api, is_watcher=False, bound=bound)
    changed = asyncio.Event()
    watch.on_changes = lambda kind, changes: changed.set()
    watch.must_list = False
    watch.state.revision = 9
    watch.confirmed_at = watch.clock.monotonic() - bound * MAX_AGE_SHARE
    task = asyncio.create_task(watch.async_run())
    await asyncio.wait_for(changed.wait(), bound * (1 - MAX_AGE_SHARE))
    task.cancel()


def test_settings_change_the_bound() -> None:
    catalog = reader()
    catalog.clock.now += 1.9
    watch = catalog.coordinator.watches[KINDS.documents]
    watch.bound = 7.0
    assert not catalog.coordinator.reads_store(KINDS.documents)


async def test_reader_with_a_copy_that_is_too_old_gets_the_change_it_missed() -> None:
    api = ScriptedApi(listing(5), listing(9, stored("k/a", 8, 1)))
    changed = asyncio.Event()
    watch = kind_watch(api, is_watcher=False, bound=0.5)
    watch.on_changes = lambda kind, found: changed.set()
    task = asyncio.create_task(watch.async_run())
    async with asyncio.timeout(5.0):
        await changed.wait()
    task.cancel()
    assert api.calls[:2] == ["list", "watch 5"]


async def test_answer_before_the_end_of_the_wait_confirms_its_start_only() -> None:
    """A store may cut a watch, and the answer may be held up on its way."""
    clock = SystemClock()
    watched_at: list[float] = []

    class LateApi(ScriptedApi):
        async def async_watch(
            self, prefix: str, *, after_revision: int, wait: float
        ) -> Listing:
            watched_at.append(clock.monotonic())
            await asyncio.sleep(LATE_SECONDS)
            return await super().async_watch(
                prefix, after_revision=after_revision, wait=wait
            )

    api = LateApi(listing(5), listing(5))
    watch = kind_watch(api, bound=2.0)
    task = asyncio.create_task(watch.async_run())
    async with asyncio.timeout(5.0):
        await api.is_exhausted.wait()
    task.cancel()
    assert watched_at[0] - LATE_SECONDS / 2 < watch.confirmed_at
    assert watch.confirmed_at < watched_at[0] + LATE_SECONDS / 2
