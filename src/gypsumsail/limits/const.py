"""Constants of limits and fairness."""

from __future__ import annotations

from typing import Final

REPORT_INTERVAL_SECONDS: Final = 0.5
MAX_REPORTS_PER_INTERVAL: Final = 30
"""Maximum number of reports to an owner in one `REPORT_INTERVAL_SECONDS`.

In a zone with more entries the report interval grows in proportion.
"""
REPORT_TIMEOUT_SECONDS: Final = 0.3
REPORT_LIFETIME_SECONDS: Final = 3.0
"""Time after which the demand that an entry reported no longer counts."""
ZONE_LIFETIME_SECONDS: Final = 30.0
"""Time after which the demand of another zone no longer counts."""
GRANT_LIFETIME_SECONDS: Final = 3.0
"""Time after which an entry no longer applies the rates of its last grant."""
IDLE_SERVICE_SECONDS: Final = 10.0
"""Currently unused."""

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
"""Relative change of the admitted rate per second of backlog error."""
INTEGRAL_GAIN_RISING: Final = 0.15
"""Relative rise of the estimate per second of backlog error and second of time."""
INTEGRAL_GAIN_FALLING: Final = 0.03
"""Relative fall of the estimate per second of backlog error and second of time."""
MIN_CORRECTION: Final = 0.4
"""Minimum factor from the estimate to the admitted rate."""
MAX_CORRECTION: Final = 1.2
"""Maximum factor from the estimate to the admitted rate."""

PRIORITY_LEVELS: Final = 10
"""Number of priorities, from 0, the most urgent, to 9."""
MAX_BACKLOG_MOST_URGENT_SECONDS: Final = 8.0
"""Backlog above which requests of the most urgent priority are shed."""
MAX_BACKLOG_LEAST_URGENT_SECONDS: Final = 1.0
"""Backlog above which requests of the least urgent priority are shed.

The limits of the priorities in between form a geometric sequence.
"""
UNDER_SHARE_FACTOR: Final = 2.0
"""Factor on the backlog limit of a customer that uses less than its share."""

MIN_RETRY_AFTER_SECONDS: Final = 0.5
MAX_RETRY_AFTER_SECONDS: Final = 60.0
RETRY_JITTER_SHARE: Final = 0.5

RETRIES_PER_SUCCESS: Final = 0.1
RETRIES_PER_SECOND: Final = 0.1
MAX_RETRY_BALANCE: Final = 20.0
"""Balance up to which successes earn retries."""
INITIAL_RETRY_BALANCE: Final = 5.0
"""Initial balance, and the balance up to which retries accrue with time."""

LINK_CUSTOMER: Final = "\0link"
"""Pseudo-customer for the link between engines and stores.

Its amounts are bytes instead of tokens.
"""
