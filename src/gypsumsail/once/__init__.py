"""At-most-once execution of requests, by reservations in a ledger."""

from __future__ import annotations
