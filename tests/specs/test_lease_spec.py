"""Tests of the lease and order specifications and of the code against them."""

from __future__ import annotations

import logging

import minicheck
import pytest

from gypsumsail.orders.const import LEASE_DURATION_SECONDS, LEASE_MARGIN_SECONDS
from gypsumsail.orders.lease import (
    DEFAULT_TIMING,
    EraFences,
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
from .common import assert_invariants_hold, shortest_violation, step_labels
from .lease_spec import Entry

LOGGER = logging.getLogger(__name__)

NOW = 1_000.0
TIME_STEP_SECONDS = LEASE_MARGIN_SECONDS / lease_spec.LEASE_MARGIN_STEPS


def test_at_most_one_entry_may_order() -> None:
    assert_invariants_hold(lease_spec.specification())


@pytest.mark.parametrize(
    "guard",
    [
        "lease_counted_from_send",
        "waits_full_lease",
        "conditional_write",
        "answer_required",
    ],
)
def test_two_entries_may_order_without_guard(guard: str) -> None:
    guards = lease_spec.ALL_GUARDS._replace(**{guard: False})
    assert shortest_violation(lease_spec.specification(guards), "at_most_one_may_order")


def test_at_most_one_entry_may_order_although_the_store_is_restored() -> None:
    assert_invariants_hold(lease_spec.specification(restores=True))


@pytest.mark.parametrize(
    ("guard", "invariant"),
    [
        ("waits_after_restore", "at_most_one_may_order"),
        ("fences_rise_with_era", "fences_never_fall"),
        ("versions_carry_era", "at_most_one_may_order"),
    ],
)
def test_restore_breaks_the_lease_without_guard(guard: str, invariant: str) -> None:
    guards = lease_spec.ALL_GUARDS._replace(**{guard: False})
    specification = lease_spec.specification(guards, restores=True)
    assert shortest_violation(specification, invariant)


def test_code_matches_lease_specification() -> None:
    assert LEASE_DURATION_SECONDS == lease_spec.LEASE_DURATION_STEPS * TIME_STEP_SECONDS
    seen = {
        (number, entry)
        for transition in lease_spec.specification(restores=True).iter_transitions()
        for number, entry in enumerate(transition.state.entries)
    }
    LOGGER.info(
        "compared the code with the specification in %s entry states", len(seen)
    )
    for number, entry in seen:
        check_held_lease(entry, number)
        check_acquisition(entry, number)


def check_held_lease(entry: Entry, number: int) -> None:
    held = HeldLease(
        version=entry.version,
        fence=entry.fence,
        renewed_at=float("-inf"),
        order_until=NOW + entry.order_time_left * TIME_STEP_SECONDS,
    )
    present = held if entry.version else None
    assert may_order(present, NOW) is lease_spec.may_order(entry)
    # A renewal depends only on the lease, so it is also checked for version 0. The
    # highest fence that an engine has reported is 0 here and below: none was reported.
    decision = decide_renewal(held, str(number), 0, NOW)
    assert isinstance(decision, WriteLease)
    assert (decision.if_version, decision.record.fence) == (entry.version, entry.fence)
    renewed = held_after_write(decision, entry.version + 1, NOW)
    order_time_left = lease_spec.LEASE_DURATION_STEPS - lease_spec.LEASE_MARGIN_STEPS
    assert renewed.order_until == NOW + order_time_left * TIME_STEP_SECONDS


def check_acquisition(entry: Entry, number: int) -> None:
    if entry.seen_version == lease_spec.UNSET or entry.version:
        return
    record = LeaseRecord(
        holder=str(entry.seen_holder),
        fence=entry.seen_fence,
        seconds=LEASE_DURATION_SECONDS,
    )
    view = LeaseView(
        version=entry.seen_version,
        record=record if entry.seen_holder != lease_spec.UNSET else None,
        since=NOW - entry.unchanged_for * TIME_STEP_SECONDS,
    )
    lost_grant_steps = lease_spec.LEASE_DURATION_STEPS - entry.era_known_for
    era_fences = EraFences(
        floor=lease_spec.era_floor(entry),
        lost_grants_until=NOW + lost_grant_steps * TIME_STEP_SECONDS,
    )
    decision = decide_acquisition(view, str(number), 0, NOW, DEFAULT_TIMING, era_fences)
    takes = lease_spec.may_acquire(entry, number, lease_spec.ALL_GUARDS)
    assert isinstance(decision, WriteLease) is takes
    if isinstance(decision, WriteLease):
        assert decision.if_version == entry.seen_version
        assert decision.record.fence == lease_spec.next_fence(entry, number)


@pytest.mark.parametrize("checks_fence", [True, False])
def test_engine_can_always_settle_on_newest_document(checks_fence: bool) -> None:
    specification = orders_spec.specification(checks_fence=checks_fence)
    assert_invariants_hold(specification)
    result = minicheck.check_liveness(specification.to_protocol(orders_spec.is_settled))
    LOGGER.info("%s: %s states", specification.name, result["reachable_states"])
    assert result["holds"] is True


def test_effect_of_late_order_persists_without_recheck() -> None:
    guards = orders_spec.Guards(rechecks_engine=False)
    specification = orders_spec.specification(checks_fence=False, guards=guards)
    result = minicheck.check_liveness(specification.to_protocol(orders_spec.is_settled))
    assert result["holds"] is False
    LOGGER.info("counterexample to liveness: %s", step_labels(result["counterexample"]))


@pytest.mark.parametrize("version", [0, orders_spec.OLD_ISSUER, orders_spec.NEW_ISSUER])
def test_code_issues_orders_as_specified(version: int) -> None:
    slot = RolloutSlot(target="e", service=SERVICE, zone=ZONES[0], document_version=2)
    engine = ObservedEngine(
        target="e", service=SERVICE, zone=ZONES[0], state=serving(f"v{version}")
    )
    newest = (document(2, f"v{orders_spec.NEW_ISSUER}"),)
    plan = plan_orders(newest, [engine], RolloutState(slots=(slot,)), ZONES[0])
    assert bool(plan.orders) is orders_spec.needs_order(version)
    for order in plan.orders:
        assert order.models == loaded(f"v{orders_spec.NEW_ISSUER}")
