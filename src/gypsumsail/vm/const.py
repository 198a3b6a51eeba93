"""Constants of a VM of the gateway."""

from __future__ import annotations

from typing import Final

TICK_SECONDS: Final = 0.05
"""Interval of the main loop."""
LATE_LOOP_SECONDS: Final = 0.3
"""Delay of the main loop from which a line is logged."""
TASK_RESTART_SECONDS: Final = 0.5
"""Pause before a background task restarts after an unexpected failure."""
FAILURE_LOG_SECONDS: Final = 5.0
"""Minimum pause between two lines on failing steps of one periodic task."""
STORE_TIMEOUT_SECONDS: Final = 1.5
"""Timeout of a call to the platform's store."""
PEER_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of a call to another VM."""
VM_LIST_POLL_SECONDS: Final = 5.0
"""Mean interval at which the platform's list of VMs is read."""
IDLE_VM_LIST_POLL_SECONDS: Final = 60.0
"""The same of a VM of a large fleet without the duty to read the list.

Such a VM learns of others from their messages.
"""
VM_LIST_READERS_PER_ZONE: Final = 1
"""Number of VMs per zone of a large fleet with the duty to read the list of VMs."""
VM_LIST_DUTY: Final = "list of VMs"
"""Name of that duty."""
PEER_RETRY_SECONDS: Final = 0.2
"""Pause after a failed call until the same peer may be asked again."""
AVOID_FAILED_SECONDS: Final = 2.0
"""Time after a failed call in which other peers are preferred."""
MAX_FETCHES: Final = 3
"""Number of peers that a VM asks for changes at once, at most."""
SETTINGS_POLL_SECONDS: Final = 1.0
"""Interval at which the settings file is checked for changes."""
BALANCER_NOTICE_SECONDS: Final = 2.6
"""Time after a stop signal in which the balancer may still send requests."""
RETRY_AFTER_SECONDS: Final = 0.1
"""Value of ``retry-after`` in responses of a VM that is about to exit."""
EXIT_MARGIN_SECONDS: Final = 0.4
"""Margin by which the process exits before the grace period ends."""
LEASE_NAME: Final = "weights"
"""Name of the lease that permits orders to engines."""
LIMIT_RING_DELAY_SECONDS: Final = 2.0
"""Time after its start in which a VM sends no call to a target with a limit.

It hears of the other VMs in that time.
"""
MAX_VMS_PER_LINE: Final = 12
"""Maximum number of VMs that one line of the log names."""
MAX_NAMINGS_TOLD: Final = 4
"""Latest versions of each model whose naming times a started VM is told."""
