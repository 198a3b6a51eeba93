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
SAVE_END_SECONDS: Final = 3.0
"""Time after a call's deadline by which its engine has ended or dropped its saves.

An engine doesn't start a transfer that would wait for more than two seconds.
"""
SAVE_BEGIN_SECONDS: Final = 2.5
"""Time after a call's first token by which its saves have reserved their space."""
LATE_ANSWER_SECONDS: Final = 0.05
"""Time that an answer of a store may take to arrive."""
MAX_LISTING_AGE_SECONDS: Final = 5.0
"""Age of a store's list above which a VM saves only if others confirm its view.

A change of a store may never be reported, so that only a list shows it.
"""
MISMATCH_SECONDS: Final = 1.0
"""Time for which the views of two VMs may differ before they list the store."""
MAX_REMEMBERED_DIGESTS: Final = 512
"""Maximum number of earlier states of a view that others' states are compared with."""
MAX_REPORTED_SAVES: Final = 40
"""Maximum number of saves in a report; a VM with more sends none."""
MAX_REPORTS_PER_MESSAGE: Final = 16
"""Maximum number of stores in a datagram."""
REPORT_REPEAT_SECONDS: Final = 1.0
"""Interval at which unchanged reports are repeated, because datagrams may be lost."""
REPORT_INTERVAL_SECONDS: Final = 0.15
"""Minimum interval between reports that change, in a small fleet."""
LARGE_REPORT_INTERVAL_SECONDS: Final = 0.4
"""The same in a large fleet."""
MAX_SAVING_STORES: Final = 2
"""Number of stores to which a VM of a large fleet saves without polling them."""
RELAY_MEMORY_SECONDS: Final = 5.0
"""Time for which a VM that relayed a store is told that another one does now."""
PERMISSION_SECONDS: Final = 1.5
"""Time for which a polling VM's permission to save to its store counts."""
MAX_REPORT_GAP_SECONDS: Final = 5.0
"""Longest time from a VM's last report to its restart after which that report tells
which of its saves may go on."""
LATE_REPORT_SECONDS: Final = 1.0
"""Time that a report may take to arrive."""
LATE_CONFIRMATION_SECONDS: Final = 2.0
"""Time after which the confirmation of a part is logged."""
SAVER_RETENTION_SECONDS: Final = 120.0
"""Time without a report after which a VM no longer counts as one that may save."""
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
