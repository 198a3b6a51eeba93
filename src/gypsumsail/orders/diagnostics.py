"""What operators see of orders to targets."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.orders.coordinator import OrdersCoordinator
from gypsumsail.orders.lease import may_order


@dataclass(frozen=True, slots=True, kw_only=True)
class OrdersDiagnostics:
    """State of one entry as an issuer.

    Attributes
    ----------
    is_issuer
        Whether this entry may send orders.
    fence
        Fencing number of its lease; 0 without one.
    lease_seconds_left
        Time left for orders; 0 when there is none.
    highest_fence
        Highest fencing number that the zone's engines have shown.
    """

    is_issuer: bool
    fence: int
    lease_seconds_left: float
    highest_fence: int


def diagnostics(coordinator: OrdersCoordinator, now: float) -> OrdersDiagnostics:
    """Return the diagnostics of an entry."""
    held = coordinator.lease_manager.held
    return OrdersDiagnostics(
        is_issuer=may_order(held, now),
        fence=0 if held is None else held.fence,
        lease_seconds_left=0.0 if held is None else max(0.0, held.valid_until - now),
        highest_fence=coordinator.highest_fence,
    )
