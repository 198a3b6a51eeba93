"""Timeouts, intervals and limits of a rollout."""

from __future__ import annotations

from typing import Final

STEP_SECONDS: Final = 0.1
"""Interval between the steps of a rollout in progress."""
IDLE_STEP_SECONDS: Final = 0.25
"""Interval between checks when no rollout is in progress."""
MAX_LOADING_SHARE: Final = 0.4
"""Maximum share of the engines of a model that load at once; the others serve calls.

At least one engine may load, even if it is the only one.
"""
ANNOUNCEMENT_DELAY_SECONDS: Final = 0.2
"""Delay between announcing an order to the other VMs and sending it.

The other VMs stop sending calls to the engine in this time.
"""
ORDER_TIMEOUT_SECONDS: Final = 0.8
"""Timeout of an order, and the time for which the kernel sends it."""
ORDER_TIMEOUT_MARGIN_SECONDS: Final = 0.1
"""Delay of that timeout's timer above which it counts as having stood still.

Timers stand still while the VM is suspended.
"""
REPORT_TIMEOUT_SECONDS: Final = 0.5
"""Timeout of a request for an engine's report."""
FIRST_REPORT_DELAY_SECONDS: Final = 1.3
"""Delay between an order and the first request for the engine's report."""
REPORT_INTERVAL_SECONDS: Final = 0.4
"""Interval between requests for the report of an engine that is loading."""
LOAD_TIMEOUT_SECONDS: Final = 8.0
"""Time after which an engine that has not loaded the weights is ordered again."""
ORDER_RETRY_DELAY_SECONDS: Final = 1.5
"""Time for which an engine gets no new order after an attempt to update it failed."""
TAKEOVER_DELAY_SECONDS: Final = 0.7
"""Time without progress, per rank of a VM, before the VM takes over the rollout."""
MAX_ROLLOUT_VMS: Final = 3
"""Number of VMs, in order of rank, that may take over the rollout."""
LEASE_VALIDITY_SECONDS: Final = 1.0
"""Time after a confirmed renewal during which the holder may send orders."""
LEASE_MARGIN_SECONDS: Final = 0.2
"""Margin on the minimum time between two holders, for clock skew and link delays.

The time in which an order may still arrive is counted by itself, see
``lease_timing.py``.
"""
LEASE_RENEW_SECONDS: Final = 0.4
"""Interval at which the holder renews its lease."""
LEASE_POLL_SECONDS: Final = 0.4
"""Interval at which a VM that waits for another VM's lease reads the lease."""
