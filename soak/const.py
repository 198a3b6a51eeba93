"""Constants of the soak test."""

from __future__ import annotations

from typing import Final

API_KEY: Final = "key-of-a"
REVOKED_API_KEY: Final = "key-taken-away"

CALLS_PER_SECOND: Final = 25.0
FINAL_CALLS: Final = 30
"""Calls after the faults, all of which must be served."""
SETTLE_SECONDS: Final = 3.0
MAX_READY_POLLS: Final = 1_000
"""Bound of the loop only: 100 s, but the VMs must be ready within 20 s."""
START_POLL_SECONDS: Final = 0.05
"""Interval at which a started process is checked for its signal handlers."""
MAX_START_POLLS: Final = 100
"""Number of these checks; a VM that is not running then gets no signal."""
LISTED_SECONDS: Final = 5.0
"""Time after which all VMs know a new incarnation, also if the store was silent."""

ZONES: Final = ("z0", "z1")
"""Zones of the VMs, and of the targets in runs that distinguish these."""

RESTORE_SHARE: Final = 0.5
"""Share of the seeds in which the store is restored."""
LIMITS: Final = ["0.5", "1", "1.1", "4", "0", "1e9"]
PAUSES: Final = ["1", "0.3", "0", "-1", "soon"]
LONG_PAUSES: Final = ["1.5", "2", "3"]

MAX_PAUSE_SECONDS: Final = 4.0
"""Time from which no long pause begins before the end of the load."""
PAUSE_NOTICE_SECONDS: Final = 0.5
"""Time after a request for a pause from which the VM's calls are counted."""
MAX_CALLS_IN_PAUSE: Final = 2
MAX_CUT_SECONDS: Final = 3.0
"""Longest cut of VMs from all targets."""
MAX_REUSE_SECONDS: Final = 3.0
"""Longest time in which an address passes from one process to another."""
STREAM_CALLERS: Final = 8
"""Callers that take up streams, in runs with such callers."""
MAX_RELEASE_SECONDS: Final = 4.0
"""Time from which no release of engines begins before the end of the load."""
MAX_DISTURBANCE_SECONDS: Final = 3.0
"""Longest freeze or cut, with the time to recover from it."""
MIN_HOLDER_GAP_SECONDS: Final = 3.0
"""Least time between the orders of two holders, by the VMs' settings (``lease_ms``)."""
FREEZE_SLACK_SECONDS: Final = 0.3
"""Time after a freeze or a cut in which orders that it held up don't count."""
MIN_HOLD_SECONDS: Final = 4.0
MAX_HOLD_SECONDS: Final = 9.0
"""Longest cut that holds up orders."""
MAX_DOWN_SECONDS: Final = 3.0
"""Longest time after a cut in which a VM that was killed stays down."""
MAX_ORDER_WAIT_SECONDS: Final = 10.0
"""Longest time from the naming of weights to an order that is held up.

A VM that has just started orders nothing for the time of a lease.
"""
