"""Timeouts, intervals and sizes for context stores."""

from __future__ import annotations

from typing import Final

LONG_POLL_SECONDS: Final = 1.0
"""Maximum time for which a store holds a request for changes open."""
LONG_POLL_MARGIN_SECONDS: Final = 0.6
"""Time beyond `LONG_POLL_SECONDS` after which the store is considered lost."""
RETRY_DELAY_SECONDS: Final = 0.3
"""Delay after a request that a store did not answer."""
OTHER_SERVER_DELAY_SECONDS: Final = 2.0
"""Delay after a request that another server than the store answered.

All VMs ask each store, and the other server has callers of its own to serve.
"""
POLLING_CHECK_SECONDS: Final = 0.6
"""Interval at which a VM that doesn't poll a store checks whether it has to.

The interval is shorter than `VIEW_MAX_AGE_SECONDS`, so that views stay fresh when this
VM takes over polling from another one.
"""
VIEW_MAX_AGE_SECONDS: Final = 1.5
"""Age of a store's last response above which nothing is fetched from the store."""
MAX_POLLING_SHARE: Final = 0.7
"""Maximum share of a store's concurrent long polls that VMs occupy."""
POLLING_VMS_PER_ZONE: Final = 2
"""Number of VMs in each zone that poll a store for the others in a large fleet."""
MAX_CHANGES_PER_UPDATE: Final = 20
"""Maximum number of changes of a store in one update to other VMs."""
VIEW_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of a request for another VM's view of a store."""
MIN_PART_TOKENS: Final = 64
"""Number of tokens below which a part is not worth a transfer."""
SAVE_TIMEOUT_SECONDS: Final = 4.0
"""Time after which a save that the store did not report is considered failed."""
FETCH_TIMEOUT_SECONDS: Final = 1.5
"""Time after a job's expected start at which its engine discards unfinished fetches."""
OLD_FETCHES_SECONDS: Final = VIEW_MAX_AGE_SECONDS + FETCH_TIMEOUT_SECONDS
"""Time after which no fetch still reads what an earlier run of a store held.

Other VMs may plan fetches by an earlier view until it is too old, and engines discard
those that have not ended in time.
"""
SLOW_STORE_PAUSE_SECONDS: Final = 1.0
"""Time for which nothing is fetched from a store whose fetches were late."""
UNUSED_VERSION_SECONDS: Final = 10.0
"""Time without any engine on a version after which the version's parts are freed.

It is longer than a few short absences of an engine from the list of targets.
"""
ROLLOUT_MARGIN_SECONDS: Final = 5.0
"""Time after a rollout within which fetches of calls on the older weights end."""
FREE_INTERVAL_SECONDS: Final = 2.0
"""Interval between checks for parts that can be freed."""
MAX_PARTS_PER_CALL: Final = 200
"""Maximum number of parts that one call frees."""
FREE_CALL_TIMEOUT_SECONDS: Final = 1.0
"""Time after which a store ignores a call to free parts."""
MAX_FILL_SHARE: Final = 0.97
"""Share of a store's capacity above which no parts are saved to it."""
ASSUMED_FETCH_TOKENS_PER_SECOND: Final = 400_000.0
"""Assumed speed at which an engine fetches tokens."""
