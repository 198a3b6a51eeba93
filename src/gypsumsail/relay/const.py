"""Constants of the relay."""

from __future__ import annotations

from typing import Final

MAX_ATTEMPTS: Final = 4
"""Attempts after which a request fails."""

VERDICT_POLL_SECONDS: Final = 0.02
"""Pause between two queries for the verdict on a request."""

MAX_VERDICT_POLLS: Final = 50
"""Queries for a verdict after which the request is refused as overload."""

MAX_SLOT_TARGETS: Final = 4
"""Targets on which a suspect slot is requested before the request waits."""

SLOT_RETRY_SECONDS: Final = 0.1
"""Pause before a suspect request retries to get a slot."""

PROBE_INTERVAL_SECONDS: Final = 0.02
"""Pause between two probes of a target whose connection was lost."""

PROBE_TIMEOUT_SECONDS: Final = 0.5
"""Limit for finding out whether a target has crashed."""

REQUEST_FAILED_RETRY_AFTER_SECONDS: Final = 2.0
"""Retry delay returned to callers if a request failed after it was admitted."""
