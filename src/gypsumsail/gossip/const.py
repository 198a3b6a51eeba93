"""Times and sizes of the gossip."""

from __future__ import annotations

from typing import Final

FORMAT: Final = 1
"""Number of the message format; messages of another one are left out."""
INTERVAL_SECONDS: Final = 0.1
"""Pause between messages in a small fleet; loads are as old at their targets."""
VMS_AT_FULL_RATE: Final = 12
"""VMs up to which the pause stays the same; beyond, it grows with their number."""
QUIET_INTERVAL_SECONDS: Final = 1.0
"""Pause between messages to a VM that has not been heard."""
HEARD_SECONDS: Final = 3.0
"""Time after which a VM that is silent is not counted any more."""
FORGOTTEN_SECONDS: Final = 120.0
"""Time after which a VM that is silent is forgotten."""
LARGEST_DATAGRAM: Final = 1_400
"""Bytes of a datagram that no link has to split."""
NEWS_IN_A_MESSAGE: Final = 8
"""Most strikes, cached prompts and versions in one message, each."""
HOSTS_IN_A_MESSAGE: Final = 6
"""Hosts of other VMs that one message names."""
CATCH_UP_SECONDS: Final = 0.3
"""Time for which a peer knows more before its copy is asked for."""
