"""Constants of membership."""

from __future__ import annotations

from typing import Final

PROBE_INTERVAL_SECONDS: Final = 1.0
"""Interval at which an entry probes its next partner."""
PROBE_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of a direct probe."""
INDIRECT_TIMEOUT_SECONDS: Final = 2.0
"""Timeout of an indirect probe through a helper."""
PROBE_PARTNERS: Final = 3
"""Number of entries that each entry probes in rotation."""
INDIRECT_HELPERS: Final = 2
"""Number of helpers that are asked for an indirect probe."""

SYNC_INTERVAL_SECONDS: Final = 1.0
"""Interval at which an entry compares its tables with another one."""
SYNC_TIMEOUT_SECONDS: Final = 2.0
"""Timeout of each request of a comparison."""
SYNC_ATTEMPTS: Final = 3
"""Maximum number of partners that are tried for one comparison."""
ISOLATION_SECONDS: Final = 3.0
"""Time without a comparison after which an entry calls the platform directly."""

SUSPICION_SECONDS: Final = 5.0
"""Time after which a suspect that has not refuted the suspicion is declared dead."""
RETENTION_SECONDS: Final = 600.0
"""Time for which dead members and unlisted leaving VMs are remembered."""
SWEEP_INTERVAL_SECONDS: Final = 0.5
"""Interval at which suspicions and dead members are checked."""
FREEZE_GAP_SECONDS: Final = 3.0
"""Unexpected delay from which this process counts as having been paused."""

LIST_INTERVAL_SECONDS: Final = 1.0
"""Target interval between two readings of the VM list in a zone."""
LIST_CHECK_SECONDS: Final = 0.5
"""Interval at which an entry checks whether it has to read the VM list."""
LIST_READERS: Final = 3
"""Maximum number of entries of a zone that read the VM list concurrently."""
LIST_READER_ROTATION_SECONDS: Final = 10.0
"""Age of the last reading after which other entries are chosen as readers."""
LIST_TIMEOUT_SECONDS: Final = 3.0
"""Timeout of a reading of the VM list."""
REJOIN_INTERVAL_SECONDS: Final = 5.0
"""Interval at which an entry probes addresses of absent entries."""
REJOIN_ISOLATED_INTERVAL_SECONDS: Final = 1.0
"""The same interval while no other entry is present."""
REJOIN_ATTEMPTS: Final = 3
"""Maximum number of addresses that are probed per interval."""

RELAYS_PER_ZONE: Final = 2
"""Minimum number of relays: entries in a zone that watch the platform for others."""
ENTRIES_PER_RELAY: Final = 32
"""Number of entries in a zone per relay."""

MEMBER_BUCKETS: Final = 16
"""Number of buckets in the digest of the members."""
VM_BUCKETS: Final = 64
"""Number of buckets in the digest of the VM list."""
DIGEST_BYTES: Final = 8
"""Size of each digest in bytes."""

LEAVING_REPORT_SECONDS: Final = 60.0
"""Time for which a leaving report is shared with other entries."""
