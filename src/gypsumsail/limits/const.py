"""Constants of limits and fairness."""

from __future__ import annotations

from typing import Final

REPORT_INTERVAL_SECONDS: Final = 0.5
ENTRIES_PER_INTERVAL: Final = 30
"""Number of entries in a zone above which each of them reports less often."""
REPORT_TIMEOUT_SECONDS: Final = 0.3
REPORT_LIFETIME_SECONDS: Final = 3.0
ZONE_LIFETIME_SECONDS: Final = 30.0
GRANT_LIFETIME_SECONDS: Final = 3.0
IDLE_SERVICE_SECONDS: Final = 10.0

DEMAND_HALF_LIFE_SECONDS: Final = 1.0
MIN_DEMAND: Final = 0.01
"""Tokens per second up to which a customer counts as idle."""

BURST_SECONDS: Final = 2.0
"""Maximum credit of a token bucket, in seconds of its rate."""

RECOVERY_BACKLOG_SECONDS: Final = 0.5
"""Backlog below which an overload ends if all demand fits."""
OVERLOAD_BACKLOG_SECONDS: Final = 1.5
"""Backlog above which an overload begins."""
TARGET_BACKLOG_SECONDS: Final = 0.8
"""Setpoint of the backlog during an overload."""
PROPORTIONAL_GAIN: Final = 0.25
INTEGRAL_GAIN_RISING: Final = 0.15
INTEGRAL_GAIN_FALLING: Final = 0.03
MIN_CORRECTION: Final = 0.4
MAX_CORRECTION: Final = 1.2

PRIORITIES: Final = 10
MOST_URGENT_BACKLOG_SECONDS: Final = 8.0
LEAST_URGENT_BACKLOG_SECONDS: Final = 1.0
UNDER_SHARE_FACTOR: Final = 2.0
"""Factor on the backlog limit of a customer that uses less than its share."""

MIN_RETRY_SECONDS: Final = 0.5
MAX_RETRY_SECONDS: Final = 60.0
RETRY_JITTER_SHARE: Final = 0.5

RETRIES_PER_SUCCESS: Final = 0.1
RETRIES_PER_SECOND: Final = 0.1
MAX_RETRY_BALANCE: Final = 20.0
"""Balance up to which successes earn retries."""
INITIAL_RETRY_BALANCE: Final = 5.0
"""Initial balance, and the balance up to which retries accrue with time."""

LINK_CUSTOMER: Final = "\0link"
"""Name under which the link between tiers is limited like a customer."""
