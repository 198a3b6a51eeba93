"""Times of the lease that permits orders to engines."""

from __future__ import annotations

from gypsumsail.orders.lease import LeaseTiming
from gypsumsail.rollout.const import (
    LEASE_MARGIN_SECONDS,
    LEASE_RENEW_SECONDS,
    LEASE_VALIDITY_SECONDS,
    ORDER_TIMEOUT_SECONDS,
)
from gypsumsail.transport.socket_options import KERNEL_DELAY_SECONDS


def rollout_lease_timing(min_holder_gap_seconds: float) -> LeaseTiming:
    """Return the times of the lease.

    An order that leaves at the last moment arrives up to its time limit later, or, if
    its sender stands still, when the kernel last sends it. The first order of the next
    holder must come ``min_holder_gap_seconds`` after that.
    """
    last_arrival = ORDER_TIMEOUT_SECONDS + KERNEL_DELAY_SECONDS
    order_margin = last_arrival + LEASE_MARGIN_SECONDS + min_holder_gap_seconds
    return LeaseTiming(
        seconds=LEASE_VALIDITY_SECONDS + order_margin,
        order_margin=order_margin,
        renew_after=LEASE_RENEW_SECONDS,
    )
