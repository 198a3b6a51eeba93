"""Times of the catalog."""

from __future__ import annotations

from typing import Final

WATCH_SECONDS: Final = 2.5
"""Longest wait of one watch; a silent connection is found out after it."""
PROBE_SECONDS: Final = 0.2
"""Wait of a watch while it is not known whether the store is back."""
WATCH_OVERRUN_SECONDS: Final = 0.3
"""Time beyond a watch's own wait from which its answer shows an outage."""
WATCHERS_PER_ZONE: Final = 3
"""VMs of each zone that watch a kind for the others."""
WATCHER_CHECK_SECONDS: Final = 0.2
"""Pause between two looks of a VM at whether it has to watch."""
RETRY_SECONDS: Final = 0.25
"""Pause after a call to the store that failed."""
MAX_RETRY_SECONDS: Final = 1.0
"""Longest pause after calls to the store that failed in a row."""
RELISTING_GRACE_SECONDS: Final = 2.3
"""Time after the store's return in which targets that it lost may be listed again."""
RECENT_OUTAGE_SECONDS: Final = 6.0
"""Time after an outage in which a removal may still come from it."""
MAX_CONFIRMED_REMOVALS: Final = 500
"""Removals that other VMs saw which are remembered."""
