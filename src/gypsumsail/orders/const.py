"""Constants of orders to targets."""

from __future__ import annotations

from typing import Final

LEASE_PREFIX: Final = "orders/lease/"
ROLLOUT_STATE_KEY: Final = "orders/turns"

LEASE_SECONDS: Final = 15.0
LEASE_MARGIN_SECONDS: Final = 5.0
LEASE_RENEW_SECONDS: Final = 5.0
LEASE_CANDIDATES: Final = 2

STEP_INTERVAL_SECONDS: Final = 2.0
CALL_TIMEOUT_SECONDS: Final = 2.0

MAX_CONCURRENT_LOADS: Final = 4
