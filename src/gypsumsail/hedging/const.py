"""Constants of second sends."""

from __future__ import annotations

from typing import Final

MAX_SHARE: Final = 0.2
"""Largest share of second sends that an operator may allow, per call."""
THRESHOLD_PERCENTILE: Final = 95.0
"""Percentile of the time to the first event or answer after which a call is slow."""
HALF_PERIOD_SECONDS: Final = 30.0
"""Half of the recent period from which the threshold is measured."""
MIN_SAMPLES: Final = 40
"""Answers of a route without which there is no second send.

The 95th percentile then depends on two answers. A VM of a large fleet sees some calls
per second of a route, so that more would take most of a period.
"""
THRESHOLD_LIFETIME_SECONDS: Final = 1.0
"""Time for which a computed threshold is used, since computing it takes long."""
MIN_MICROSECONDS: Final = 1
MAX_MICROSECONDS: Final = 600_000_000
"""Largest time that is told apart from longer ones."""
SIGNIFICANT_DIGITS: Final = 2
MICROSECONDS_PER_SECOND: Final = 1_000_000

MAX_CREDIT: Final = 10.0
"""Second sends that a route may save up for a moment with many slow answers."""
REMEMBERED_RESULTS: Final = 50
"""Latest second sends of a route by which it is judged whether they help."""
MIN_RESULTS: Final = 20
"""Second sends before which a route is not judged."""
MIN_WIN_SHARE: Final = 0.2
"""Share of second sends that must answer first.

Below it, the time depends on the request rather than on the target.
"""
WITHDRAWN_SECONDS: Final = 60.0
"""Time for which a route whose second sends do not help has none."""
MAX_TIMER_DELAY_SECONDS: Final = 0.1
"""Delay of the timer above which this VM was held up itself.

Answers may then have arrived that it has not read yet.
"""
MIN_TIME_LEFT_SECONDS: Final = 0.15
"""Time, beyond the expected work, that must remain for a second send."""
SILENT_LOSSES: Final = 2
"""Lost first sends without any progress after which a target seems silent."""
MAX_SILENT_TARGETS: Final = 1_024
"""Targets that are remembered as silent; the oldest are forgotten first."""
MAX_ROUTES: Final = 1_024
"""Routes whose times are kept; the oldest are forgotten first."""
