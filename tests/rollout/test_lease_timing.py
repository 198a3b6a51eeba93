"""Tests of the times of the lease that permits orders."""

from __future__ import annotations

import pytest

from gypsumsail.orders.lease import WriteLease, held_after_write
from gypsumsail.orders.models import LeaseRecord
from gypsumsail.rollout.const import LEASE_MARGIN_SECONDS, ORDER_TIMEOUT_SECONDS
from gypsumsail.rollout.lease_timing import rollout_lease_timing
from gypsumsail.transport.socket_options import KERNEL_DELAY_SECONDS

GRANTED_AT = 100.0


@pytest.mark.parametrize("gap", [0.0, 0.5, 3.0, 10.0])
def test_last_order_arrives_the_minimum_gap_before_the_next_holder(gap: float) -> None:
    """An order may arrive up to its time limit after the check of the lease (ONE)."""
    timing = rollout_lease_timing(gap)
    record = LeaseRecord(holder="v1", fence=1, seconds=timing.seconds)
    write = WriteLease(if_version=0, record=record)
    held = held_after_write(write, 1, GRANTED_AT, timing)
    last_sent = held.order_until + ORDER_TIMEOUT_SECONDS + KERNEL_DELAY_SECONDS
    last_arrival = last_sent + LEASE_MARGIN_SECONDS
    assert held.order_until > GRANTED_AT
    assert GRANTED_AT + timing.seconds >= last_arrival + gap


def test_lease_is_renewed_before_its_holder_may_order_no_more() -> None:
    timing = rollout_lease_timing(3.0)
    assert 2 * timing.renew_after < timing.seconds - timing.order_margin
