"""Tests of the specification of orders in flight."""

from __future__ import annotations

import pytest

from . import orders_in_flight_spec
from .common import assert_invariants_hold, shortest_violation
from .orders_in_flight_spec import ALL_GUARDS, Guards

BOTH_INVARIANTS = ["fences_never_fall", "holders_take_no_turns"]


def without(*guards: str) -> Guards:
    """Return the guards with some of them disabled."""
    return ALL_GUARDS._replace(**dict.fromkeys(guards, False))


def test_orders_in_flight_keep_to_one_holder() -> None:
    assert_invariants_hold(orders_in_flight_spec.specification())


@pytest.mark.parametrize("invariant", BOTH_INVARIANTS)
@pytest.mark.parametrize("guard", ["kernel_limit", "lease_checked_at_write"])
def test_late_order_of_former_holder_arrives_without_guard(
    guard: str, invariant: str
) -> None:
    assert shortest_violation(
        orders_in_flight_spec.specification(without(guard)), invariant
    )


@pytest.mark.parametrize("guard", ["lease_counts_order", "lease_counts_kernel"])
def test_holders_take_turns_if_lease_counts_without_a_bound(guard: str) -> None:
    specification = orders_in_flight_spec.specification(without(guard))
    assert shortest_violation(specification, "holders_take_no_turns")


@pytest.mark.parametrize("invariant", BOTH_INVARIANTS)
def test_given_up_order_arrives_without_reset_and_kernel_limit(invariant: str) -> None:
    """It needs no pause: a sender that runs on or is killed is enough."""
    guards = without("resets_on_close", "kernel_limit", "pauses")
    assert shortest_violation(orders_in_flight_spec.specification(guards), invariant)


@pytest.mark.parametrize("guard", ["resets_on_close", "kernel_limit"])
def test_one_bound_at_the_sender_is_enough_without_pauses(guard: str) -> None:
    assert_invariants_hold(
        orders_in_flight_spec.specification(without(guard, "pauses"))
    )


def test_reset_bounds_an_order_more_tightly_than_the_kernel() -> None:
    """Without pauses, the lease needs the kernel's delay only if nothing is reset."""
    tight = without("lease_counts_kernel", "pauses")
    assert_invariants_hold(orders_in_flight_spec.specification(tight))
    guards = tight._replace(resets_on_close=False)
    assert shortest_violation(
        orders_in_flight_spec.specification(guards), "holders_take_no_turns"
    )
