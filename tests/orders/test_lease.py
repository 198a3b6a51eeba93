"""Tests of the lease with paused holders, lost answers and a deleted object."""

from __future__ import annotations

from contextlib import suppress

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.eras import EraTracker, fence_floor
from gypsumsail.orders.codec import decode_lease, decode_rollout_state
from gypsumsail.orders.const import LEASE_DURATION_SECONDS, LEASE_RENEW_SECONDS
from gypsumsail.orders.errors import OrdersCorruptError
from gypsumsail.orders.lease import may_order
from gypsumsail.orders.lease_manager import LeaseManager
from tests.common import ManualClock
from tests.once.common import FakeObjectApi

ZONE = "karen"


class Pair:
    """Two entries that compete for the same lease."""

    def __init__(self) -> None:
        self.api = FakeObjectApi()
        self.clock = ManualClock()
        self.first = LeaseManager(self.api, self.clock, ZONE, "entry-1/a")
        self.second = LeaseManager(self.api, self.clock, ZONE, "entry-2/a")

    def may_order(self, lease_manager: LeaseManager) -> bool:
        return may_order(lease_manager.held, self.clock.now)


async def test_successor_waits_for_expiry_and_gets_a_higher_fence() -> None:
    pair = Pair()
    await pair.first.async_step(0)
    pair.clock.now += LEASE_DURATION_SECONDS - 1.0
    await pair.second.async_step(0)
    assert not pair.may_order(pair.first)
    pair.clock.now += LEASE_DURATION_SECONDS - 1.0
    await pair.second.async_step(0)
    assert not pair.may_order(pair.second)
    pair.clock.now += 1.0
    await pair.second.async_step(0)
    assert pair.may_order(pair.second)
    assert pair.first.held is not None
    assert pair.second.held is not None
    assert pair.second.held.fence > pair.first.held.fence
    await pair.first.async_step(0)
    assert pair.first.held is None


@pytest.mark.parametrize("step", [0.5, 2.0, 5.0, 7.5])
async def test_two_entries_may_never_order_at_the_same_time(step: float) -> None:
    pair = Pair()
    for number in range(200):
        pair.clock.now += step
        pair.api.lost_answers = 1 if number % 5 == 0 else 0
        paused = number // 20 % 2
        for lease_manager in (pair.first, pair.second)[paused:]:
            try:
                await lease_manager.async_step(0)
            except TransportError:
                continue
        assert not (pair.may_order(pair.first) and pair.may_order(pair.second))


async def test_unconfirmed_write_does_not_renew_the_lease() -> None:
    pair = Pair()
    await pair.first.async_step(0)
    assert pair.first.held is not None
    order_until = pair.first.held.order_until
    pair.clock.now += LEASE_RENEW_SECONDS
    pair.api.lost_answers = 1
    with pytest.raises(TransportError):
        await pair.first.async_step(0)
    assert pair.first.held.order_until == order_until
    await pair.first.async_step(0)
    assert not pair.may_order(pair.first)
    await pair.first.async_step(0)
    assert pair.may_order(pair.first)
    assert pair.first.held is not None
    assert pair.first.held.fence == 1


async def test_deleted_lease_does_not_reset_the_fence() -> None:
    pair = Pair()
    await pair.first.async_step(6)
    assert pair.first.held is not None
    fence = pair.first.held.fence
    pair.api.objects.clear()
    await pair.second.async_step(fence)
    assert pair.second.held is not None
    assert pair.second.held.fence > fence


async def test_released_lease_is_acquired_immediately() -> None:
    pair = Pair()
    await pair.first.async_step(0)
    await pair.first.async_release()
    assert not pair.may_order(pair.first)
    await pair.second.async_step(0)
    assert pair.may_order(pair.second)
    assert pair.second.held is not None
    assert pair.second.held.fence == 2


SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
MALFORMED = st.recursive(SCALARS, st.lists, max_leaves=20)


@given(st.binary(max_size=100) | MALFORMED.map(cbor2.dumps))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_malformed_values_raise_no_other_error(value: bytes) -> None:
    for decode in (decode_lease, decode_rollout_state):
        with suppress(OrdersCorruptError):
            decode(value)


class RestoredPair(Pair):
    """Two entries that know the era of a store that loses the lease."""

    def __init__(self) -> None:
        super().__init__()
        self.eras = EraTracker(current=1)
        self.first.eras = self.second.eras = self.eras

    def lose_lease(self) -> None:
        self.api.objects.clear()
        self.eras.observe(2, self.clock.now)


async def test_lost_lease_is_not_given_out_while_its_holder_may_order() -> None:
    pair = RestoredPair()
    await pair.first.async_step(0)
    pair.lose_lease()
    await pair.second.async_step(0)
    assert pair.may_order(pair.first)
    assert not pair.may_order(pair.second)
    pair.clock.now += LEASE_DURATION_SECONDS
    await pair.second.async_step(0)
    assert not pair.may_order(pair.first)
    assert pair.may_order(pair.second)


async def test_fences_of_a_lost_lease_are_not_given_out_again() -> None:
    pair = RestoredPair()
    await pair.first.async_step(0)
    assert pair.first.held is not None
    lost = pair.first.held.fence
    pair.lose_lease()
    pair.clock.now += LEASE_DURATION_SECONDS
    await pair.second.async_step(0)
    assert pair.second.held is not None
    assert lost <= fence_floor(2) < pair.second.held.fence


async def test_holder_does_not_continue_its_own_older_lease() -> None:
    pair = RestoredPair()
    await pair.second.async_step(0)
    older = dict(pair.api.objects)
    pair.clock.now += LEASE_DURATION_SECONDS
    await pair.first.async_step(0)
    pair.clock.now += LEASE_DURATION_SECONDS
    await pair.first.async_step(0)
    assert pair.may_order(pair.first)
    pair.lose_lease()
    pair.api.objects.update(older)
    pair.second.held = None
    await pair.second.async_step(0)
    assert not pair.may_order(pair.second)
