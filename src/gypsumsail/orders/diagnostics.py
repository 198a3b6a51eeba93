"""Diagnostics of orders to targets."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.orders.coordinator import OrdersCoordinator
from gypsumsail.orders.lease import may_order


@dataclass(frozen=True, slots=True, kw_only=True)
class OrdersDiagnostics:
    """State of one entry as issuer of its zone.

    Attributes
    ----------
    is_issuer
        Whether this entry may send orders.
    fence
        Fencing number of its lease; 0 if it holds none.
    lease_seconds_left
        Seconds left in which it may send orders; 0 if it may not.
    highest_fence
        Highest fencing number that the zone's engines report.
    """

    is_issuer: bool
    fence: int
    lease_seconds_left: float
    highest_fence: int


def diagnostics(coordinator: OrdersCoordinator, now: float) -> OrdersDiagnostics:
    """Return the diagnostics of an entry at the monotonic time ``now``."""
    held = coordinator.lease_manager.held
    return OrdersDiagnostics(
        is_issuer=may_order(held, now),
        fence=0 if held is None else held.fence,
        lease_seconds_left=0.0 if held is None else max(0.0, held.order_until - now),
        highest_fence=coordinator.highest_fence,
    )
