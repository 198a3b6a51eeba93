"""Times and sizes of kept context."""

from __future__ import annotations

from typing import Final

LONG_POLL_SECONDS: Final = 1.0
"""Longest wait of one question for a store's changes."""
LONG_POLL_MARGIN_SECONDS: Final = 0.6
"""Time beyond that wait after which a store is taken as lost."""
RETRY_DELAY_SECONDS: Final = 0.3
"""Pause after a question that a store did not answer."""
FOLLOWER_CHECK_SECONDS: Final = 0.6
"""Pause until a VM without the duty for a store looks again; views are fresh longer."""
VIEW_MAX_AGE_SECONDS: Final = 1.5
"""Age of a store's last answer above which nothing is fetched from it."""
MAX_POLLING_SHARE: Final = 0.7
"""Share of the questions that a store takes at once which the VMs use."""
FOLLOWERS_PER_ZONE: Final = 2
"""VMs of each zone that follow a store for the others, in a larger fleet."""
MAX_CHANGES_PER_UPDATE: Final = 20
"""Most changes of a store in one piece of news."""
VIEW_TIMEOUT_SECONDS: Final = 1.0
"""Time after which a question for another VM's view is taken as lost."""
MIN_PART_TOKENS: Final = 64
"""Tokens of the smallest part that is worth a transfer."""
SAVE_TIMEOUT_SECONDS: Final = 4.0
"""Time after which a save that was not reported is taken as broken off."""
FETCH_TIMEOUT_SECONDS: Final = 1.5
"""Time after which a fetch that has not ended is thrown away."""
SLOW_STORE_PAUSE_SECONDS: Final = 1.0
"""Time for which nothing is fetched from a store whose fetches came late."""
UNUSED_VERSION_SECONDS: Final = 10.0
"""Time for which no engine has a version before its parts are freed; a few lapses."""
ROLLOUT_MARGIN_SECONDS: Final = 5.0
"""Time after the end of a rollout in which the last fetches for it end."""
FREE_INTERVAL_SECONDS: Final = 2.0
"""Pause between two looks at what may be freed."""
MAX_PARTS_PER_CALL: Final = 200
"""Most parts that one call frees."""
FREE_CALL_TIMEOUT_SECONDS: Final = 1.0
"""Time after which a store takes a call to free parts no more."""
MAX_FILL_SHARE: Final = 0.97
"""Share of a store's room above which no more is sent to it."""
ASSUMED_FETCH_TOKENS_PER_SECOND: Final = 400_000.0
"""Speed at which a fetch is taken to bring tokens to an engine."""
