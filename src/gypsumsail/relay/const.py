"""Constants of the relay."""

from __future__ import annotations

from typing import Final

MAX_ATTEMPTS: Final = 4
UNPLACED_WAIT_SECONDS: Final = 0.02
UNPLACED_WAITS: Final = 50
SLOT_TRIES: Final = 4
SLOT_WAIT_SECONDS: Final = 0.1
PROBE_TIMEOUT_SECONDS: Final = 0.5
GIVE_UP_RETRY_SECONDS: Final = 2.0
