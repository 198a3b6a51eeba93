"""Constants of orders to targets."""

from __future__ import annotations

from typing import Final

LEASE_PREFIX: Final = "orders/lease/"
ROLLOUT_STATE_KEY: Final = "orders/turns"

# Other entries may acquire a lease that has not changed for LEASE_DURATION_SECONDS; its
# holder stops sending orders LEASE_MARGIN_SECONDS before that time.
LEASE_DURATION_SECONDS: Final = 15.0
LEASE_MARGIN_SECONDS: Final = 5.0
LEASE_RENEW_SECONDS: Final = 5.0
# Entries of a zone that try to acquire its lease.
MAX_LEASE_CANDIDATES: Final = 2

STEP_INTERVAL_SECONDS: Final = 2.0
# Timeout of one call to the platform or to an engine; a step may take four times as
# long, because some of its calls run one after the other.
CALL_TIMEOUT_SECONDS: Final = 2.0

# Engines of all zones and services that may load at the same time.
MAX_CONCURRENT_LOADS: Final = 4
