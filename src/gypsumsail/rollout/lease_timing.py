"""Times of the lease that permits orders to engines."""

from __future__ import annotations

from gypsumsail.orders.lease import LeaseTiming
from gypsumsail.rollout.const import (
    LEASE_MARGIN_SECONDS,
    LEASE_RENEW_SECONDS,
    LEASE_VALIDITY_SECONDS,
    ORDER_TIMEOUT_SECONDS,
)


def rollout_lease_timing(min_holder_gap_seconds: float) -> LeaseTiming:
    """Return the times of the lease.

    An order that leaves at the last moment arrives up to its time limit later. The
    first order of the next holder must come ``min_holder_gap_seconds`` after that.
    """
    order_margin = ORDER_TIMEOUT_SECONDS + LEASE_MARGIN_SECONDS + min_holder_gap_seconds
    return LeaseTiming(
        seconds=LEASE_VALIDITY_SECONDS + order_margin,
        order_margin=order_margin,
        renew_after=LEASE_RENEW_SECONDS,
    )
