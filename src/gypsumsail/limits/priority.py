"""Effective priority of a request."""

from __future__ import annotations

from gypsumsail.document.models import Customer, ServiceDocument
from gypsumsail.limits.const import PRIORITIES


def effective_priority(
    asked: int | None, customer: Customer, document: ServiceDocument
) -> int:
    """Return the priority, 0 the most urgent, capped at the customer's maximum."""
    wanted = document.default_priority if asked is None else asked
    return min(max(wanted, customer.max_priority, 0), PRIORITIES - 1)
