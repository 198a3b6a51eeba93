"""Errors of orders to targets."""

from __future__ import annotations

from typing import ClassVar

from gypsumsail.core.errors import GypsumsailError


class OrdersCorruptError(GypsumsailError):
    """A lease or the rollout state can't be decoded."""

    code: ClassVar[str] = "orders_corrupt"
