"""Times and shares of a rollout."""

from __future__ import annotations

from typing import Final

STEP_SECONDS: Final = 0.1
"""Pause between two looks at a rollout that is under way."""
IDLE_STEP_SECONDS: Final = 0.25
"""Pause between two looks when nothing is to be done."""
MAX_LOADING_SHARE: Final = 0.4
"""Share of a service's engines that load at once; the rest serve meanwhile."""
ANNOUNCEMENT_DELAY_SECONDS: Final = 0.2
"""Time between the word to the other VMs and the order, in which they stop sending."""
ORDER_TIMEOUT_SECONDS: Final = 0.8
"""Time after which an order without an answer is taken as lost."""
REPORT_TIMEOUT_SECONDS: Final = 0.5
"""Time after which a report without an answer is taken as lost."""
FIRST_REPORT_DELAY_SECONDS: Final = 1.3
"""Time after an order at which the engine is first asked whether it is done."""
REPORT_INTERVAL_SECONDS: Final = 0.4
"""Pause between two such questions."""
LOAD_TIMEOUT_SECONDS: Final = 8.0
"""Time after which an engine that is not done gets another turn."""
UNREACHABLE_RETRY_SECONDS: Final = 1.5
"""Time for which an engine that can't be reached gets no order."""
TAKEOVER_DELAY_SECONDS: Final = 0.7
"""Time that each further VM waits for the one before it to do the rollout."""
MAX_ROLLOUT_VMS: Final = 3
"""VMs that may do the rollout, by their rank."""
LEASE_POLL_SECONDS: Final = 0.8
"""Pause between two looks of a VM that waits for the lease of another."""
