"""Times and sizes of the gossip."""

from __future__ import annotations

from typing import Final

FORMAT_VERSION: Final = 2
"""Number of the message format; messages of another one are left out."""
SEND_INTERVAL_SECONDS: Final = 0.1
"""Pause between messages; placements of other VMs are known that much later."""
MAX_FULL_RATE_VMS: Final = 12
"""VMs up to which all hear each other at the full rate."""
SAME_ZONE_MESSAGES_PER_SECOND: Final = 80
"""Messages that a VM of a large fleet gets from its zone, some 0.06 ms of work each."""
CROSS_ZONE_MIN_INTERVAL_SECONDS: Final = 0.8
"""Shortest pause between messages to VMs of other zones in a large fleet."""
CROSS_ZONE_MAX_INTERVAL_SECONDS: Final = 1.2
"""Longest one; the loads of a message are believed for 1.5 s."""
CROSS_ZONE_MESSAGES_PER_SECOND: Final = 60
"""Messages that a VM of a large fleet gets from other zones up to the longest pause."""
UNCHANGED_INTERVAL_SECONDS: Final = 0.6
"""Pause between messages that say nothing new."""
SILENT_PEER_INTERVAL_SECONDS: Final = 1.0
"""Pause between messages to a VM that has not been heard."""
ALIVE_TIMEOUT_SECONDS: Final = 3.0
"""Time after which a VM that is silent is not counted any more."""
ALIVE_CACHE_SECONDS: Final = 0.1
"""Time for which it is kept which VMs are alive; a silent one counts so much longer."""
PEER_RETENTION_SECONDS: Final = 120.0
"""Time after which a VM that is silent is forgotten."""
MAX_DATAGRAM_BYTES: Final = 1_400
"""Bytes of a datagram that no link has to split."""
MAX_UPDATES_PER_MESSAGE: Final = 8
"""Most strikes, cached prompts and versions in one message, each."""
MAX_UNREACHABLE_PER_MESSAGE: Final = 40
"""Most unreachable targets that one message names."""
MAX_HOSTS_PER_MESSAGE: Final = 6
"""Hosts of other VMs that one message names."""
CATCH_UP_DELAY_SECONDS: Final = 0.3
"""Time for which a peer knows more before a VM that watches asks for its copy."""
MAX_STORE_CHANGES_PER_MESSAGE: Final = 24
"""Most changes of stores in one message."""
