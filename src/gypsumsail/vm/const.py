"""Times of a VM of the gateway."""

from __future__ import annotations

from typing import Final

TICK_SECONDS: Final = 0.05
"""Pause between two looks at what is due."""
TASK_RESTART_SECONDS: Final = 0.5
"""Pause before a background task that failed unexpectedly runs again."""
CALL_TIMEOUT_SECONDS: Final = 1.5
"""Time after which a call to the platform's store is taken as lost."""
PEER_TIMEOUT_SECONDS: Final = 1.0
"""Time after which a call to another VM is taken as lost."""
VM_LIST_POLL_SECONDS: Final = 5.0
"""Pause between two looks at the platform's list of VMs."""
PEER_RETRY_SECONDS: Final = 0.5
"""Pause between two calls to the same peer for its copies."""
SETTINGS_POLL_SECONDS: Final = 1.0
"""Pause between two looks at the settings file."""
BALANCER_NOTICE_SECONDS: Final = 2.6
"""Time after a stop signal in which the balancer may still send connections."""
RETRY_AFTER_SECONDS: Final = 0.1
"""Time after which a caller may come back that met a VM which is about to end."""
EXIT_MARGIN_SECONDS: Final = 0.4
"""Time before the end of the grace in which the process ends by itself."""
LEASE_VALIDITY_SECONDS: Final = 1.3
"""Time for which a confirmed renewal lets its holder give orders."""
LEASE_MARGIN_SECONDS: Final = 0.3
"""Time added to the least time between two holders, for clocks and late orders."""
LEASE_RENEW_SECONDS: Final = 0.4
"""Time after which the holder renews its lease."""
LEASE_NAME: Final = "weights"
"""Name of the one lease for orders to engines."""
