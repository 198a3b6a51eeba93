"""Effective priority of a request."""

from __future__ import annotations

from gypsumsail.document.models import Customer, ServiceDocument
from gypsumsail.limits.const import PRIORITY_LEVELS


def effective_priority(
    requested: int | None, customer: Customer, document: ServiceDocument
) -> int:
    """Return the requested or default priority, limited by the customer's maximum.

    0 is the most urgent. The result is never more urgent (lower) than the customer's
    ``max_priority``.
    """
    priority = document.default_priority if requested is None else requested
    return min(max(priority, customer.max_priority, 0), PRIORITY_LEVELS - 1)
