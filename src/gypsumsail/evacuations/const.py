"""Constants of evacuations."""

from __future__ import annotations

from typing import Final

REWRITE_GRACE_SECONDS: Final = 10.0
"""Time after a restore of the store in which operators write lost evacuations again.

A zone that is held back for longer than necessary costs capacity for this time; one
that gets calls too early breaks the evacuation.
"""
ZONE_CHECK_DELAY_SECONDS: Final = 5.0
"""Time after which a zone without any target or VM is reported as unknown.

A VM that has just started reads the targets and hears of the other VMs in that time.
"""
SUSPENSION_SECONDS: Final = 1.0
"""Time between two checks from which the process counts as suspended.

The main loop checks every 0.05 s.
"""
SUSPENSION_HOLD_SECONDS: Final = 1.0
"""Maximum time after a suspension in which no call is placed.

The hold ends with the first reading of the store. The maximum covers one that fails
after 0.5 s, a pause of the watch (0.25 s) and its next call.
"""
MAX_LOGGED_ZONES: Final = 1_000
"""Maximum number of zones that are remembered so that each fault is logged once."""
