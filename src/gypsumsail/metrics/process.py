"""Processor time and memory used by this process."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
import resource
import time
from typing import Final

_STATM: Final = Path("/proc/self/statm")
_RESIDENT_FIELD: Final = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessUsage:
    """Processor time and memory of a process."""

    cpu_seconds: float
    resident_bytes: int


def read_process_usage() -> ProcessUsage:
    """Return the current resource usage of this process."""
    pages = int(_STATM.read_text(encoding="ascii").split()[_RESIDENT_FIELD])
    return ProcessUsage(
        cpu_seconds=time.process_time(),
        resident_bytes=pages * resource.getpagesize(),
    )
