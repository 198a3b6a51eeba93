"""Constants of the catalog."""

from __future__ import annotations

from typing import Final

WATCH_SECONDS: Final = 2.5
"""Maximum wait of one watch request; a silent connection is detected after it."""
OUTAGE_WATCH_SECONDS: Final = 0.2
"""Maximum wait of a watch request after a failed call to the store."""
WATCH_OVERRUN_SECONDS: Final = 0.3
"""Delay beyond the requested wait from which a response indicates an outage."""
MIN_WATCHERS: Final = 4
"""Number of VMs of all zones that watch a kind, at least.

Each zone has at least one, so that it follows the store while it is cut off from the
other zones. A zone whose only watcher fails learns of changes from the other zones.
"""
MAX_WATCHERS_PER_ZONE: Final = 3
"""Number of VMs per zone that watch a kind, at most."""
MAX_AGE_SHARE: Final = 0.55
"""Share of the bound on changes after which a VM reads the store itself.

The rest is for noticing it and for the call.
"""
MAX_CONFIRMATION_SHARE: Final = 0.25
"""Share of that bound that a watch waits at most if other VMs rely on its answers.

A VM then misses two of them before its copy is too old.
"""
HEDGE_SHARE: Final = 0.1
"""Share of that bound after which a fetch from another VM is hedged by a second one.

It is the delay of a call that hangs, so that several of them leave time for the rest.
"""
FETCH_SHARE: Final = 0.25
"""Share of that bound that one call to another VM may take."""
CONFIRM_SHARE: Final = 0.15
"""Share of that bound that the first call may take that reads a copy again."""
CONFIRM_WAIT_SECONDS: Final = 0.001
"""Wait of a watch that only returns the changes until now."""
CONFIRM_TIMEOUT_SECONDS: Final = 0.5
"""Maximum time of a call that confirms a copy."""
WATCHER_CHECK_SECONDS: Final = 0.2
"""Interval at which a VM checks whether it has to watch a kind."""
FIRST_RETRY_SECONDS: Final = 0.05
"""Pause after the first failed call to the store.

The call may only have met a connection that had ended.
"""
RETRY_SECONDS: Final = 0.25
"""Pause after the second consecutive failed call to the store."""
MAX_RETRY_SECONDS: Final = 1.0
"""Maximum pause after consecutive failed calls to the store."""
RELISTING_GRACE_SECONDS: Final = 2.3
"""Time after the store recovers in which removed targets may be listed again."""
RECENT_OUTAGE_SECONDS: Final = 6.0
"""Time after an outage during which a removal may still be caused by it."""
RESTORED_CONFIRM_SECONDS: Final = 8.0
"""Time after which a removed target that a restored store lists again is alive.

The platform removes the record of a target that has been silent for a few heartbeats.
"""
MAX_REMEMBERED_REMOVALS: Final = 500
"""Maximum number of removed targets that are recognized in a restored store."""
USUAL_TICK_SECONDS: Final = 0.1
"""Longest usual time between two ticks of the main loop."""
CLOCK_GAP_SECONDS: Final = 1.0
"""Time without a tick of the main loop from which the process counts as suspended."""
GAP_CATCH_UP_SECONDS: Final = 2.0
"""Time after a suspension in which changes from before its end are still received."""
MAX_LEFT_OUT_REASONS: Final = 1_000
"""Maximum number of invalid objects that are remembered, so as to log them once."""
MAX_CONFIRMED_REMOVALS: Final = 500
"""Maximum number of removals confirmed by other VMs that are remembered."""
