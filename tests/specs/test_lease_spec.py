"""Checks the lease and late orders, and ties their specifications to the code."""

from __future__ import annotations

import logging

import minicheck
import pytest

from gypsumsail.orders.const import LEASE_DURATION_SECONDS, LEASE_MARGIN_SECONDS
from gypsumsail.orders.lease import (
    HeldLease,
    LeaseView,
    WriteLease,
    decide_acquisition,
    decide_renewal,
    held_after_write,
    may_order,
)
from gypsumsail.orders.models import (
    LeaseRecord,
    ObservedEngine,
    RolloutSlot,
    RolloutState,
)
from gypsumsail.orders.planner import plan_orders
from tests.orders.common import SERVICE, ZONES, document, loaded, serving

from . import lease_spec, orders_spec
from .common import assert_holds, labels, shortest_fault
from .lease_spec import Entry

LOGGER = logging.getLogger(__name__)

NOW = 1_000.0
UNIT_SECONDS = LEASE_MARGIN_SECONDS / lease_spec.MARGIN


def test_one_entry_at_most_may_order() -> None:
    assert_holds(lease_spec.specification())


@pytest.mark.parametrize(
    "guard",
    ["counted_from_before", "waits_whole_lease", "conditional_write", "answer_needed"],
)
def test_two_may_order_without_a_guard(guard: str) -> None:
    guards = lease_spec.ALL_GUARDS._replace(**{guard: False})
    assert shortest_fault(lease_spec.specification(guards), "one_may_order")


def test_code_takes_the_steps_of_the_lease() -> None:
    assert LEASE_DURATION_SECONDS == lease_spec.LEASE * UNIT_SECONDS
    seen = {
        (number, entry)
        for move in lease_spec.specification().moves()
        for number, entry in enumerate(move.state.entries)
    }
    LOGGER.info("%s states of an entry replayed", len(seen))
    for number, entry in seen:
        check_holding(entry, number)
        check_taking(entry, number)


def check_holding(entry: Entry, number: int) -> None:
    held = HeldLease(
        version=entry.version,
        fence=entry.fence,
        renewed_at=float("-inf"),
        order_until=NOW + entry.good_for * UNIT_SECONDS,
    )
    present = held if entry.version else None
    assert may_order(present, NOW) is lease_spec.may_order(entry)
    step = decide_renewal(held, str(number), 0, NOW)
    assert isinstance(step, WriteLease)
    assert (step.if_version, step.record.fence) == (entry.version, entry.fence)
    made = held_after_write(step, entry.version + 1, NOW)
    good_for = lease_spec.LEASE - lease_spec.MARGIN
    assert made.order_until == NOW + good_for * UNIT_SECONDS


def check_taking(entry: Entry, number: int) -> None:
    if entry.seen == lease_spec.NOBODY or entry.version:
        return
    record = LeaseRecord(
        holder=str(entry.seen_holder),
        fence=entry.seen_fence,
        seconds=LEASE_DURATION_SECONDS,
    )
    view = LeaseView(
        version=entry.seen,
        record=record if entry.seen else None,
        since=NOW - entry.waited * UNIT_SECONDS,
    )
    step = decide_acquisition(view, str(number), 0, NOW)
    takes = lease_spec.may_take(entry, number, lease_spec.ALL_GUARDS)
    assert isinstance(step, WriteLease) is takes
    if isinstance(step, WriteLease):
        assert step.if_version == entry.seen
        assert step.record.fence == lease_spec.next_fence(entry, number)


@pytest.mark.parametrize("fencing", [True, False])
def test_engine_always_can_still_settle_on_the_newest(fencing: bool) -> None:
    specification = orders_spec.specification(fencing=fencing)
    assert_holds(specification)
    result = minicheck.check_liveness(specification.protocol(orders_spec.settled))
    LOGGER.info("%s: %s states", specification.name, result["reachable_states"])
    assert result["holds"] is True


def test_late_order_lasts_when_nobody_looks_again() -> None:
    guards = orders_spec.Guards(looks_again=False)
    specification = orders_spec.specification(fencing=False, guards=guards)
    result = minicheck.check_liveness(specification.protocol(orders_spec.settled))
    assert result["holds"] is False
    LOGGER.info("trap: %s", labels(result["counterexample"]))


@pytest.mark.parametrize("version", [0, orders_spec.OLD, orders_spec.NEW])
def test_code_states_orders_as_the_specification(version: int) -> None:
    slot = RolloutSlot(target="e", service=SERVICE, zone=ZONES[0], document_version=2)
    engine = ObservedEngine(
        target="e", service=SERVICE, zone=ZONES[0], state=serving(f"v{version}")
    )
    newest = (document(2, f"v{orders_spec.NEW}"),)
    plan = plan_orders(newest, [engine], RolloutState(slots=(slot,)), ZONES[0])
    assert bool(plan.orders) is orders_spec.restates(version)
    for order in plan.orders:
        assert order.models == loaded(f"v{orders_spec.NEW}")
