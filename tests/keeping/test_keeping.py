"""Tests of what is fetched, saved and believed of stores."""

from __future__ import annotations

import asyncio
from collections import deque
from random import Random

import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.targets import TargetTable
from gypsumsail.keeping.const import FETCH_SECONDS
from gypsumsail.keeping.coordinator import KeepingCoordinator
from gypsumsail.keeping.planner import (
    PartFacts,
    SavePlace,
    Source,
    plan_fetch,
    plan_save,
)
from gypsumsail.keeping.relay import (
    StoreTeller,
    decode_view,
    encode_view,
    relayed,
)
from gypsumsail.keeping.store_view import StoreView
from tests.common import ManualClock
from tests.gateway.common import document, engine
from tests.keeping.common import (
    FAR,
    NEAR,
    PART,
    DrivenStores,
    answer,
    change,
    context_store,
    coordinator,
    job_at,
    view,
)


def facts(**changes: object) -> PartFacts:
    values: dict[str, object] = {
        "part": PART,
        "is_shared": True,
        "is_kept": False,
        "sources": (),
        "places": (),
    }
    return PartFacts(**(values | changes))  # type: ignore[arg-type]


def source(address: object, *, is_near: bool, speed: float = 1.0) -> Source:
    return Source(address=address, is_near=is_near, bytes_per_second=speed)  # type: ignore[arg-type]


def place(
    address: object, *, is_near: bool = True, free: int = 9_000, speed: float = 1.0
) -> SavePlace:
    return SavePlace(
        address=address,  # type: ignore[arg-type]
        is_near=is_near,
        bytes_per_second=speed,
        free_tokens=free,
    )


def test_the_nearest_source_is_fetched_from() -> None:
    sources = (source(FAR, is_near=False, speed=9.0), source(NEAR, is_near=True))
    assert plan_fetch([facts(sources=sources), facts()]) == (NEAR, None)


def test_a_part_that_is_kept_is_not_saved_again() -> None:
    places = (place(NEAR),)
    assert plan_save([facts(places=places, is_kept=True)], 0.5) == (None,)
    assert plan_save([facts(places=places, is_shared=False)], 0.5) == (None,)
    assert plan_save([facts(places=places)], 0.5) == (NEAR,)


def test_near_stores_are_saved_to_by_their_room_and_speed() -> None:
    fast, slow = place(NEAR, speed=8.0, free=10_000), place(FAR, speed=2.0, free=80_000)
    draws = [(number + 0.5) / 300 for number in range(300)]
    found = [plan_save([facts(places=(fast, slow))], draw)[0] for draw in draws]
    assert found.count(NEAR) == 100
    assert found.count(FAR) == 200


def test_what_begins_many_prompts_goes_to_the_fastest_store() -> None:
    """Fetches of four parts that all prompts begin with queued at slow stores."""
    fast, slow = place(NEAR, speed=8.0, free=10_000), place(FAR, speed=2.0, free=80_000)
    both = facts(places=(fast, slow))
    question = facts(is_shared=False)
    assert plan_save([both, both, question], 0.9) == (NEAR, FAR, None)
    assert plan_save([both, question], 0.9) == (FAR, None)


def test_vms_do_not_fill_a_store_that_each_believes_has_room() -> None:
    """VMs hear of a save after ten others; the fastest store first lost many."""
    random = Random(1)
    sizes = {NEAR: 167_000, FAR: 1_136_000}
    speeds = {NEAR: 8e9, FAR: 2.4e9}
    free, known = dict(sizes), deque([dict(sizes)] * 10)
    lost = saves = 0
    while sum(free.values()) > 0.1 * sum(sizes.values()):
        places = tuple(
            place(address, speed=speeds[address], free=known[0][address])
            for address in sizes
        )
        (chosen,) = plan_save([facts(places=places)], random.random())
        saves += 1
        if chosen is None or free[chosen] < PART.tokens:
            lost += 1
        else:
            free[chosen] -= PART.tokens
        known.append(dict(free))
        known.popleft()
    assert saves >= 200
    assert lost <= 1


def test_a_full_store_gets_no_save() -> None:
    places = (place(NEAR, free=10), place(FAR, is_near=False))
    assert plan_save([facts(places=places)], 0.5) == (FAR,)
    assert plan_save([facts(places=places[:1])], 0.5) == (None,)


def test_a_view_holds_only_what_is_whole() -> None:
    found = view()
    found.expect("1", (PART,), 1_000.0)
    assert found.expects("1", PART, 1_001.0)
    assert not found.holds("1", PART)
    found.take(answer(change()), 1_001.0)
    assert found.holds("1", PART)
    assert not found.holds("2", PART)


def test_a_part_shorter_than_needed_is_not_held() -> None:
    assert not view(change(tokens=4_999)).holds("1", PART)


def test_a_save_that_is_never_reported_is_given_up() -> None:
    found = view()
    found.expect("1", (PART,), 1_000.0)
    assert not found.expects("1", PART, 1_010.0)


@pytest.mark.parametrize("bad", [answer(life=8), answer(has_gap=True)])
def test_a_restart_or_a_gap_forgets_all(bad: object) -> None:
    found = view(change())
    assert not found.take(bad, 1_001.0)  # type: ignore[arg-type]
    assert not found.holds("1", PART)
    assert not found.is_fresh(1_001.0)


def test_a_silent_store_is_not_fetched_from() -> None:
    found = view(change())
    assert found.is_fresh(1_001.0)
    assert not found.is_fresh(1_002.0)


def test_the_room_counts_what_is_on_its_way() -> None:
    found = view(change())
    before = found.free_tokens()
    found.expect("1", (PART,), 1_000.0)
    assert found.free_tokens() == before - PART.tokens


def relays() -> tuple[StoreView, StoreTeller, StoreView]:
    """Return a followed view, its teller, and a view that took it over."""
    followed = view(change())
    teller = StoreTeller()
    other = StoreView(context_store())
    taken = decode_view(encode_view(followed, teller.number, 1_000.0))
    other.begin(taken, 1_000.0, "v1")
    return followed, teller, other


def test_news_keep_another_view_whole() -> None:
    followed, teller, other = relays()
    for news in teller.news(followed, (change("b", 100),), 1_000.5):
        assert other.take_relay(relayed("v1", news), 1_000.6)
    assert other.parts == {("1", "own"): 5_000, ("1", "b"): 100}
    assert other.clock_ms(1_000.6) == pytest.approx(50_500, abs=200)


def test_lost_news_forget_all() -> None:
    followed, teller, other = relays()
    teller.news(followed, (change("b", 100),), 1_000.5)
    (late,) = teller.news(followed, (change("c", 100),), 1_000.6)
    assert not other.take_relay(relayed("v1", late), 1_000.7)
    assert not other.holds("1", PART)


def test_news_of_another_life_forget_all() -> None:
    followed, teller, other = relays()
    followed.begin(answer(life=9), 1_000.4)
    (news,) = teller.news(followed, (), 1_000.5)
    assert not other.take_relay(relayed("v1", news), 1_000.6)


def test_news_told_twice_change_nothing() -> None:
    followed, teller, other = relays()
    (news,) = teller.news(followed, (change("b", 100),), 1_000.5)
    assert other.take_relay(relayed("v1", news), 1_000.6)
    assert other.take_relay(relayed("v1", news), 1_000.7)
    assert other.parts[("1", "b")] == 100


def test_a_view_that_is_fresh_keeps_to_its_teller() -> None:
    followed, teller, other = relays()
    (news,) = teller.news(followed, (change("b", 100),), 1_000.5)
    assert other.take_relay(relayed("v9", news), 1_000.6)
    assert ("1", "b") not in other.parts
    assert not other.take_relay(relayed("v9", news), 1_010.0)


def test_many_changes_are_told_in_pieces() -> None:
    followed, teller, other = relays()
    changes = tuple(change(f"p{number}", 100) for number in range(50))
    pieces = teller.news(followed, changes, 1_000.5)
    assert len(pieces) > 1
    for news in pieces:
        assert other.take_relay(relayed("v1", news), 1_000.6)
    assert len(other.parts) == 51


async def followed(
    stores: DrivenStores,
) -> tuple[TargetTable, ManualClock, KeepingCoordinator]:
    clock = ManualClock()
    targets = TargetTable()
    keeping = coordinator(targets, clock, stores)
    keeping.set_document(document(stores=(context_store(),)))
    await asyncio.sleep(0.02)
    return targets, clock, keeping


async def test_a_document_that_is_stored_is_fetched() -> None:
    stores = DrivenStores()
    stores.contents = answer(change("head", 2_500), change("own", 5_000))
    targets, clock, keeping = await followed(stores)
    job, place_ = job_at(targets, "e1", clock)
    move = keeping.plan(job, place_, clock.now)
    assert move.fetch == (NEAR, NEAR, None)
    assert move.save == (None, None, None)
    assert move.fetch_until_ms == 50_100 + FETCH_SECONDS * 1_000
    keeping.stop()


async def test_a_new_document_is_saved_once() -> None:
    targets, clock, keeping = await followed(DrivenStores())
    job, place_ = job_at(targets, "e1", clock)
    first = keeping.plan(job, place_, clock.now)
    second = keeping.plan(job, place_, clock.now)
    assert first.save == (NEAR, NEAR, None)
    assert second.save == (None, None, None)
    keeping.stop()


async def test_another_engines_cache_goes_before_a_store() -> None:
    stores = DrivenStores()
    stores.contents = answer(change("head", 2_500))
    targets, clock, keeping = await followed(stores)
    targets.update(engine("e2"), clock.now)
    other = targets.states["e2"]
    other.cache.capacity_tokens = 40_000
    job, place_ = job_at(targets, "e1", clock)
    prompt = job.call.prompt
    assert prompt is not None
    other.cache.add("1", prompt.parts[:2], 0)
    move = keeping.plan(job, place_, clock.now)
    assert move.fetch == (other.entry.address, other.entry.address, None)
    movable = keeping.movable_parts
    assert movable(place_.state.entry.service, "1", prompt.parts, clock.now) == 2
    assert movable(place_.state.entry.service, "2", prompt.parts, clock.now) == 0
    keeping.stop()


async def test_a_store_that_is_lost_holds_nothing() -> None:
    stores = DrivenStores()
    stores.contents = answer(change("head", 2_500))
    stores.changes = [TransportError("lost", sent=True)]
    targets, clock, keeping = await followed(stores)
    job, place_ = job_at(targets, "e1", clock)
    move = keeping.plan(job, place_, clock.now)
    assert move.fetch == (None, None, None)
    keeping.stop()


async def test_a_store_whose_fetches_come_late_is_left_alone_for_a_while() -> None:
    """With links slowed by four, fetches were thrown away and prompts read again."""
    stores = DrivenStores()
    stores.contents = answer(change("head", 2_500), change("own", 5_000))
    targets, clock, keeping = await followed(stores)
    job, place_ = job_at(targets, "e1", clock)
    keeping.plan(job, place_, clock.now)
    keeping.first_token(place_, 0.1 + FETCH_SECONDS - 0.1, clock.now)
    assert keeping.plan(job, place_, clock.now).fetch == (NEAR, NEAR, None)
    keeping.first_token(place_, 0.1 + FETCH_SECONDS + 0.1, clock.now)
    assert keeping.plan(job, place_, clock.now).fetch == (None, None, None)
    clock.now += 2.5
    keeping.views[NEAR].answered_at = clock.now
    assert keeping.plan(job, place_, clock.now).fetch == (NEAR, NEAR, None)
    keeping.stop()
