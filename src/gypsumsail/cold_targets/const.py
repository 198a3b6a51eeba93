"""Times and limits for cold targets."""

from __future__ import annotations

from typing import Final

DEFAULT_COLD_PER_SECOND: Final = 1.0
"""Requests per second to a cold target whose service names no valid rate."""
MIN_COLD_PER_SECOND: Final = 0.01
"""Lowest rate that is valid; a lower one is replaced by the default."""
MAX_COLD_PER_SECOND: Final = 1e6
"""Highest valid rate; a higher one counts as invalid."""
DEFAULT_COLD_SECONDS: Final = 60.0
"""Cold time of the targets of a service whose cold time can't be read."""
MAX_COLD_SECONDS: Final = 3_600.0
"""Longest valid cold time; a longer one counts as invalid."""
ENTRY_LAG_SECONDS: Final = 1.5
"""Age above which an event at a target is older than an entry that is read now.

The list of targets lags by up to 0.8 s, and some VMs get it from others, so an entry
that is read sooner may have been written before the event.
"""
MAX_ENTRY_GAP_SECONDS: Final = 2.5
"""Time without an entry after which a target that stalls may have stopped.

Targets write their entries every 1.2 s, and the list of targets lags by up to 0.8 s.
"""
SPACING_MARGIN: Final = 1.1
"""Factor on the time between two sends of one VM to a cold target.

Calls reach a target after differing delays (connecting, for example), which brings some
of them closer together than they were sent.
"""
MAX_DIVIDED_SENDER_SETS: Final = 2
"""Sets of senders that may exist at once.

Two parts of a zone that don't hear each other may each choose senders.
"""
MAX_SENDERS: Final = 64
"""Largest number of permitted senders of a target."""
SUSPENSION_SECONDS: Final = 1.0
"""Time without a periodic step after which the process counts as suspended meanwhile.

The steps are 0.05 s apart.
"""
MIN_CONTACT_CHECK_SECONDS: Final = 1.0
"""Shortest time between two connections that only show whether a target is back."""
